/// Planning of ownership by the one elected host, which also holds the rate
/// pool: takes over ranges of hosts with expired leases, assigns ranges without
/// an owner and balances the load. Two coordinators at the same time are
/// harmless, since every change is a compare-and-set.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_COORDINATOR_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_COORDINATOR_HPP

#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/rate/workspace_rates.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster/cluster_sync.hpp"
#include "dragonflyvane/node/cluster/host_takeover.hpp"

#include <map>
#include <set>
#include <string>

namespace dragonflyvane {

/// The coordinator role of one host. Every host has an object of this class,
/// but only the object of the elected host plans. Not thread-safe; used on the
/// scheduler's thread.
class cluster_coordinator {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    cluster_sync &Sync;
    const operator_state &OperatorState;
  };

  explicit cluster_coordinator(const dependencies &Dependencies);

  /// Schedules planning after a change of the operator state, the hosts, the
  /// maps or this host's lease. If the coordinator row has changed, also
  /// restarts the timeout until the next election.
  void onClusterChange();
  /// Records a load report of a host, this one included.
  void onReport(const std::string &Host, const load_report &Report);
  /// Records that the coordinator responded to a report, which restarts the
  /// timeout until the next election.
  void onCoordinatorContact() { LastContactAt = Deps.Clock.now(); }
  /// Whether this host is the coordinator and holds its lease.
  bool isActive() const;
  /// Takes up to `Amount` tokens from the rate pool and returns how many it
  /// took; 0 if this host is not the active coordinator or has no
  /// configuration, and while the previous coordinator may still grant tokens.
  /// Sets `PoolRetryAfter` to the time to wait before the next request.
  double takeTokens(const std::string &Workspace, double Amount,
                    duration &PoolRetryAfter);

  /// What the takeovers of expired hosts have done since the start.
  const host_takeover::counters &takeoverCounts() const {
    return Takeover.counts();
  }

private:
  void tick();
  void considerElection();
  void claimRole();
  void readLeases();
  void plan();
  void planService(const std::string &Service);
  /// Whether a host may own ranges of a service, as far as its row shows.
  bool mayOwnRanges(const host_info &Info, const std::string &Service) const;
  std::vector<candidate> candidatesOf(const std::string &Service) const;
  /// Returns the hosts that lack nothing but a lease to be candidates.
  std::set<std::string> unleasedHosts(const std::string &Service) const;
  bool isCandidateCountStable(const std::string &Service,
                              const std::vector<candidate> &Candidates);

  /// Number of candidates of a service, and the time of its last change.
  struct candidate_count {
    size_t Count = 0;
    time_point Since{};
  };

  dependencies Deps;
  lease_tracker Leases;
  host_takeover Takeover;
  bool IsLeaseReadInFlight = false;
  bool IsClaimInFlight = false;
  time_point LastContactAt;
  /// Version of the coordinator row at the last cluster change.
  row_version KnownRoleVersion = 0;
  /// The pool grants no tokens before this time.
  time_point PoolAvailableAt{};
  /// Whether this host was active and had a configuration at the last planning.
  bool WasActive = false;
  rate_pool Pool;
  /// The version of the coordinator's row since which the pool has filled.
  row_version PoolRoleVersion = 0;
  /// Newest load report of each host, with a smoothed request rate.
  std::map<std::string, load_report> Loads;
  std::map<std::string, candidate_count> CandidateCounts;
  std::map<std::string, time_point> LastBalance;
  timer TickTimer;
  timer LeaseReadTimer;
  timer PlanTimer;
  bool IsPlanScheduled = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_COORDINATOR_HPP
