/// A simulated network for calls between daemons, with faults, on a manual
/// clock.
#ifndef DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP
#define DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "manual_scheduler.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace dragonflyvane {

/// The daemons of a test, by address. Calls to a frozen daemon, and the results
/// of its own calls, are delivered when it is no longer frozen; calls may time
/// out before. A disconnected daemon neither receives nor sends anything. A
/// removed daemon refuses connections, pending calls to it end as lost, and the
/// callbacks of its own calls do not run.
class fake_peers {
public:
  using callback = std::function<void(call_result)>;

  explicit fake_peers(manual_scheduler &Loop) : Loop(Loop) {}

  /// Starts a daemon, or restarts it.
  void add(const endpoint &Peer, http_handler Handler);
  /// Ends a daemon.
  void remove(const endpoint &Peer);
  void setFrozen(const endpoint &Peer, bool Value);
  void setDisconnected(const endpoint &Peer, bool Value);
  /// Sends a request from a running daemon. The callback runs once, unless the
  /// sender is removed first.
  void send(const endpoint &From, const endpoint &To,
            const http_request &Request, std::chrono::milliseconds Timeout,
            callback Callback);

private:
  struct peer {
    http_handler Handler;
    bool IsFrozen = false;
    bool IsDisconnected = false;
    /// Differs between the starts of a daemon.
    uint64_t StartId = 0;
  };
  struct pending_call;
  using call_pointer = std::shared_ptr<pending_call>;

  void deliver(const endpoint &To, uint64_t StartId, const call_pointer &Call,
               const http_request &Request);
  void scheduleSilenceCheck(const endpoint &To, const call_pointer &Call,
                            int SilentChecks);
  void finish(const call_pointer &Call, const call_result &Result);
  bool isFrozen(const endpoint &Peer) const;
  bool isDisconnected(const endpoint &Peer) const;
  bool isCurrentStart(const endpoint &Peer, uint64_t StartId) const;

  manual_scheduler &Loop;
  std::map<endpoint, peer> Peers;
  uint64_t LastStartId = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP
