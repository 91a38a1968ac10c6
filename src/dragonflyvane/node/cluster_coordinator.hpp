/// Plans ownership, on one host at a time: takes over what lapsed hosts owned,
/// gives it to others, balances. Two stewards at once do no harm, since every
/// change is a compare-and-set.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_COORDINATOR_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_COORDINATOR_HPP

#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/rate/workspace_rates.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster_sync.hpp"

#include <map>
#include <set>
#include <string>

namespace dragonflyvane {

/// Used on the event loop's thread.
class cluster_coordinator {
public:
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    cluster_sync &Sync;
    const operator_state &OperatorState;
  };

  explicit cluster_coordinator(const dependencies &Deps);

  /// Orders, hosts or maps have changed.
  void onClusterChange();
  /// A host, this one or another, tells its load.
  void onReport(const std::string &Host, const load_report &Report);
  /// The host that plans at present answered, or did not.
  void onCoordinatorContact() { LastHeard = Deps.Clock.now(); }
  bool isActive() const;
  /// Tokens of the rate pool; none unless this host plans.
  double takeTokens(const std::string &Workspace, double Amount,
                    duration &PoolRetryAfter);

private:
  void tick();
  void considerOffice();
  void takeOffice();
  void readLeases();
  void plan();
  void planService(const std::string &Service);
  std::vector<candidate> candidatesOf(const std::string &Service) const;
  bool isSettled(const std::string &Service,
                 const std::vector<candidate> &Candidates);
  void takeOverExpired();
  void planTakeOver(const std::string &Service,
                    const std::set<std::string> &Expired);
  void removeHosts(const std::set<std::string> &Expired);
  bool ownsAnything(const std::string &Host) const;

  struct settling {
    size_t Candidates = 0;
    time_point Since{};
  };

  dependencies Deps;
  lease_tracker Leases;
  bool ReadingLeases = false;
  bool TakingOffice = false;
  time_point LastHeard;
  row_version KnownOffice = 0;
  time_point PoolOpens{};
  bool WasActive = false;
  rate_pool Pool;
  std::map<std::string, load_report> Loads;
  std::map<std::string, settling> Settling;
  std::map<std::string, time_point> LastBalance;
  timer Tick;
  timer LeaseTick;
  timer Soon;
  bool PlanIsDue = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_COORDINATOR_HPP
