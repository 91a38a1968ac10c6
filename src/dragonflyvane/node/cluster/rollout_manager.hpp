/// The coordinator's part in rollouts: collects the reports of the hosts, and
/// writes the state and the status of each rollout.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_ROLLOUT_MANAGER_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_ROLLOUT_MANAGER_HPP

#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/rollout/rollout_bounds.hpp"
#include "dragonflyvane/core/rollout/rollout_evidence.hpp"
#include "dragonflyvane/core/rollout/rollout_order.hpp"
#include "dragonflyvane/core/rollout/rollout_policy.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster/cluster_sync.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dragonflyvane {

/// The rollouts of all services. Every host has an object of this class, but
/// only that of the coordinator acts. Two coordinators at the same time are
/// harmless, since every change is a compare-and-set. Not thread-safe; used on
/// the scheduler's thread.
class rollout_manager {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    scheduler &Loop;
    const clock_source &Clock;
    cluster_sync &Sync;
    const operator_state &OperatorState;
    /// The bounds; none if rollouts are not in force.
    std::optional<rollout_bounds> Bounds;
    /// Whether this host is the coordinator and holds its lease.
    std::function<bool()> IsActive;
    rollout_status_encoder EncodeStatus;
  };

  explicit rollout_manager(dependencies Dependencies);

  /// Records a load report of a host, this one included.
  void onReport(const std::string &Host, const load_report &Report);

private:
  /// The newest report of a host.
  struct host_report {
    time_point At;
    load_report Load;
  };
  /// What this coordinator knows about one rollout besides its state.
  struct progress {
    /// The order that the evidence belongs to.
    row_version Order = 0;
    rollout_evidence Evidence;
    /// Requests before this host became the coordinator.
    uint64_t ExposedBefore = 0;
    uint64_t TotalBefore = 0;
    bool IsWriteInFlight = false;
    /// The version and outcome in the status row that was written last.
    std::optional<std::pair<std::string, rollout_outcome>> PublishedStatus;
    /// Since when one of the versions has had no servers.
    std::optional<time_point> SingleVersionSince;
  };

  void tick();
  /// Whether the store was reachable a short time ago.
  bool isStoreReachable() const;
  /// Does what is due for the rollout of a service, unless a write is in
  /// flight.
  void manage(const std::string &Service);
  void begin(const rollout_order &Order, const known_rollout *Previous);
  void advance(const std::string &Service, const known_rollout &Known);
  /// Closes an ended rollout once one of the versions has had no servers for
  /// some time.
  void closeEnded(const std::string &Service, const known_rollout &Known);
  /// Writes the status row if the version or the outcome has changed.
  void publishStatus(const std::string &Service, const known_rollout &Known);
  /// Writes a state with the next sequence number, or with the same one if it
  /// is the known state, which the store has lost.
  void write(const std::string &Service, rollout_state State);
  rollout_situation situationOf(const std::string &Service,
                                const rollout_state &State) const;
  void addServers(const std::string &Service, const rollout_state &State,
                  rollout_situation &Situation) const;
  /// Whether nothing is in flight to servers of other versions, and none of
  /// them owns keys.
  bool hasLeftOld(const std::string &Service, const rollout_state &State) const;
  bool isKeyed(const std::string &Service) const;
  const host_report *recentReport(const std::string &Host) const;

  dependencies Deps;
  std::map<std::string, host_report> Reports;
  std::map<std::string, progress> Rollouts;
  /// Since when this host has been the coordinator.
  std::optional<time_point> ActiveSince;
  timer TickTimer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_ROLLOUT_MANAGER_HPP
