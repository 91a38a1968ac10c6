/// Where callers come in: authenticates, finds the owner, forwards, and brings
/// the whole answer back.
#ifndef DRAGONFLYVANE_NODE_ENTRANCE_HPP
#define DRAGONFLYVANE_NODE_ENTRANCE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration.hpp"
#include "dragonflyvane/core/member.hpp"
#include "dragonflyvane/core/refusal.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_link.hpp"
#include "dragonflyvane/node/door.hpp"

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace dragonflyvane {

/// Serves callers. Used on the event loop's thread.
class entrance {
public:
  struct parts {
    std::string Host;
    event_loop &Loop;
    const clock_source &Clock;
    member &Member;
    door &Door;
    peer_client &Peers;
    metrics &Metrics;
    std::chrono::milliseconds RequestTimeout;
    /// Sends what the member wants sent.
    std::function<void()> ActForMember;
  };

  explicit entrance(parts Parts);
  ~entrance();

  /// A request of a caller.
  void serve(const exchange_pointer &Exchange);
  /// A request that another daemon's entrance forwarded to this host's door.
  void serveForwarded(const exchange_pointer &Exchange);
  /// Whether the caller key behind a hash still stands for the workspace.
  bool isCallerValid(const door_request &Request) const;
  /// A workspace's share of scarce slots: its rate.
  double weightOf(const std::string &Workspace) const;
  size_t open() const { return Open; }

  /// What a stopping entrance does with callers.
  enum class stop_phase {
    Running,
    /// Serves, and closes each connection after its answer.
    Closing,
    /// Refuses new requests, "not run", and ends what it has.
    Refusing,
  };
  void setPhase(stop_phase Next) { Phase = Next; }

private:
  class journey;
  friend class journey;

  const configuration *config() const;

  parts Parts;
  std::mt19937_64 Random;
  size_t Open = 0;
  stop_phase Phase = stop_phase::Running;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ENTRANCE_HPP
