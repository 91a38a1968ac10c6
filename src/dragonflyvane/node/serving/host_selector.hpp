/// Selects hosts for requests without keys, by the load that hosts reported and
/// by the results of calls to them.
#ifndef DRAGONFLYVANE_NODE_SERVING_HOST_SELECTOR_HPP
#define DRAGONFLYVANE_NODE_SERVING_HOST_SELECTOR_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/node/serving/forwarding.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace dragonflyvane {

/// The bodies of a request and its response, in bytes.
struct message_sizes {
  size_t Request = 0;
  size_t Response = 0;
};

/// Load and reachability of all hosts, as seen by one request router.
class host_selector {
public:
  /// `Host` and `FailureDomain` are those of this daemon. `Seed` is for the
  /// random choices.
  host_selector(const cluster_view &View, const operator_state &OperatorState,
                const clock_source &Clock, std::string Host,
                std::string FailureDomain,
                uint64_t Seed = std::random_device{}())
      : View(View), OperatorState(OperatorState), Clock(Clock),
        LocalHost(std::move(Host)),
        LocalFailureDomain(std::move(FailureDomain)), Random(Seed) {}

  /// Returns the host with the shortest expected time among two random hosts of
  /// the service and this host; for large responses, also among all hosts of
  /// the local failure domain. `Sizes` has the size of the request and the
  /// expected size of the response. Hosts in `TriedHosts` and unreachable hosts
  /// are returned only if there is no other. During a rollout, a random draw
  /// decides which version gets the request. Returns nothing if no host outside
  /// the evacuated failure domains has a ready server of the service.
  std::optional<std::string> pick(const std::string &Service,
                                  const message_sizes &Sizes,
                                  const std::set<std::string> &TriedHosts);

  /// Counts a call to the host as outstanding.
  void onSent(const std::string &Host) { ++Hosts[Host].Outstanding; }
  /// Called when a call has ended. A load with 0 slots is unknown and ignored;
  /// a known load also ends the backoff.
  void onFinished(const std::string &Host, const dispatcher_load &Load);
  /// Starts a backoff for a host that could not be reached.
  void onUnreachable(const std::string &Host);
  /// Whether the backoff that `onUnreachable` started for the host still runs.
  bool isInBackoff(const std::string &Host) const;

private:
  struct state {
    /// Calls that were sent and have not ended.
    uint32_t Outstanding = 0;
    dispatcher_load Load;
    time_point LoadAt{};
    time_point BackoffUntil{};
  };

  bool isInLocalDomain(const std::string &Name) const;
  /// Adds the processing time of a report to that of the service.
  void observeServiceTime(const std::string &Host, const dispatcher_load &Load);
  /// The usual processing time in milliseconds over the known hosts of the
  /// service.
  double serviceTime(const std::string &Service) const;
  /// The usual processing time on a host in milliseconds.
  double processingTime(const std::string &Service, const state &State) const;
  /// Expected time in milliseconds until a response arrives, with penalties for
  /// hosts that are farther away.
  double expectedTime(const std::string &Name,
                      const message_sizes &Sizes) const;
  /// How long a large request is likely to wait for the incoming link of the
  /// host, in milliseconds.
  double incomingDelay(const state &State) const;

  const cluster_view &View;
  const operator_state &OperatorState;
  const clock_source &Clock;
  std::string LocalHost;
  std::string LocalFailureDomain;
  std::map<std::string, state> Hosts;
  /// Moving averages in milliseconds, by service, as of a server of usual
  /// speed.
  std::map<std::string, double> ServiceTimes;
  std::mt19937_64 Random;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_HOST_SELECTOR_HPP
