/// The choice of the path on which a host calls the store.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_STORE_PATHS_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_STORE_PATHS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/circuit_breaker.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/cluster/fleet_pace.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster/peer_sender.hpp"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace dragonflyvane {

/// What the result of a call shows about its path to the store.
enum class store_answer {
  None,
  /// The store has responded, but refused the call: it is overloaded, or does
  /// not serve the host that made the call.
  Refusal,
  Success
};

/// `OtherRelay` is a relay of another failure domain; `None` means that no path
/// may be used now.
enum class store_path_kind { Relay, Direct, OtherRelay, AnyPeer, None };

/// The way of a call to the store.
struct store_path {
  store_path_kind Kind = store_path_kind::None;
  /// The host that makes the call, unless this host makes it or none does.
  std::string Host = {};
  endpoint Peer = {};
  /// Whether the path may well not work: the peer's breaker is open, or the
  /// peer is no relay.
  bool IsProbe = false;
};

/// Chooses a path in this order: a relay of this failure domain, the direct
/// path from this host, a relay of another failure domain, any peer. The direct
/// path comes before the other relays only if peers do not respond; otherwise
/// the direct path and random peers are used at a pace at which the whole fleet
/// makes few such calls, since a store that is down for all relays is likely to
/// be down for all hosts. A path that fails is probed with single calls until
/// it works; a peer that does not respond is asked for a sign of life by pings.
/// Not thread-safe; used on the scheduler's thread.
class store_paths {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    std::string FailureDomain;
    peer_sender Send;
    scheduler &Loop;
    const clock_source &Clock;
    /// Returns the view of the cluster from which relays and peers are chosen;
    /// may be null.
    std::function<const cluster_view *()> View;
  };

  explicit store_paths(dependencies Dependencies);

  /// Chooses the path of a call that is sent now.
  store_path choose(call_length Length);
  /// Whether this host may make a call for another one on the direct path.
  bool isDirectAvailable(call_length Length) const {
    return DirectBreaker.admits(Length, Deps.Clock.now());
  }
  /// To be called when such a call is sent. Returns whether it is a probe.
  bool beginDirect();
  /// To be called with the result of each call that was sent at `SentAt`.
  void onDirectResult(store_answer Answer, time_point SentAt);
  /// `HasResponded` says whether the peer itself has responded.
  void onPeerResult(const std::string &Host, time_point SentAt,
                    store_answer Answer, bool HasResponded,
                    const std::string &Error);

private:
  /// What is known of a path through a peer.
  struct peer_path {
    explicit peer_path(duration ProbeDelay) : Breaker(ProbeDelay) {}
    circuit_breaker Breaker;
    /// The peer did not respond. It gets no calls until it responds to a ping,
    /// so that no call waits for it.
    bool IsUnresponsive = false;
    int FailedPings = 0;
    timer PingTimer;
  };

  store_path findPath(const cluster_view &View, call_length Length);
  /// Returns the path that the fleet uses at a limited pace.
  store_path lastResort(const cluster_view &View, call_length Length);
  /// Returns any peer through which a call has reached the store lately.
  store_path provenPeer(const cluster_view &View, call_length Length) const;
  store_path relayOfOtherDomain(const cluster_view &View, call_length Length);
  store_path randomPeer(const cluster_view &View, call_length Length);
  store_path peerPath(store_path_kind Kind, const cluster_view &View,
                      const std::string &Host) const;
  bool admits(const std::string &Host, call_length Length) const;
  bool isUnresponsive(const std::string &Host) const;
  /// Whether the path of a breaker has been used with success lately.
  bool isProven(const circuit_breaker &Breaker) const;
  size_t hostCount() const;
  void notePath(const store_path &Path);
  peer_path &pathThrough(const std::string &Host);
  void onUnresponsive(const std::string &Host);
  void schedulePing(const std::string &Host);
  void ping(const std::string &Host);
  void onPingResult(const std::string &Host, const call_result &Result);

  dependencies Deps;
  time_point StartedAt;
  circuit_breaker DirectBreaker;
  std::map<std::string, peer_path> PeerPaths;
  fleet_pace LastResortPace;
  /// The kind of the path that was chosen last.
  store_path_kind LastKind = store_path_kind::Direct;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_STORE_PATHS_HPP
