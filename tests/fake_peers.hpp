/// Calls between daemons on a fake clock, with their faults.
#ifndef DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP
#define DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP

#include "dragonflyvane/net/call_result.hpp"
#include "dragonflyvane/net/endpoint.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "manual_scheduler.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>

namespace dragonflyvane {

/// The daemons that can be called, by address. A frozen one takes calls only
/// when it thaws, and its callers give up before; nothing reaches or leaves one
/// that is cut off; one that was removed refuses, and its open calls are lost.
class fake_peers {
public:
  using callback = std::function<void(call_result)>;

  explicit fake_peers(manual_scheduler &Loop) : Loop(Loop) {}

  void add(const endpoint &Peer, http_handler Handler);
  void remove(const endpoint &Peer);
  void setFrozen(const endpoint &Peer, bool Value);
  void setDisconnected(const endpoint &Peer, bool Value);
  void send(const endpoint &From, const endpoint &To,
            const http_request &Request, std::chrono::milliseconds Timeout,
            callback Callback);

private:
  struct peer {
    http_handler Handler;
    bool IsFrozen = false;
    bool IsDisconnected = false;
    /// Differs for each start of a daemon.
    uint64_t Start = 0;
  };
  struct open_call;
  using call_pointer = std::shared_ptr<open_call>;

  void deliver(const endpoint &To, uint64_t Start, const call_pointer &Call,
               const http_request &Request);
  void watchSilence(const endpoint &To, const call_pointer &Call, int Silent);
  void finish(const call_pointer &Call, const call_result &Result);
  bool isFrozen(const endpoint &Peer) const;
  bool isDisconnected(const endpoint &Peer) const;
  bool stands(const endpoint &Peer, uint64_t Start) const;

  manual_scheduler &Loop;
  std::map<endpoint, peer> Peers;
  uint64_t LastStart = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_PEERS_HPP
