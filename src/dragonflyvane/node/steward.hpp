/// Plans ownership, on one host at a time: takes over what lapsed hosts owned,
/// gives it to others, balances. Two stewards at once do no harm, since every
/// change is a compare-and-set.
#ifndef DRAGONFLYVANE_NODE_STEWARD_HPP
#define DRAGONFLYVANE_NODE_STEWARD_HPP

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
class steward {
public:
  struct parts {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    cluster_sync &Sync;
    const order_book &Orders;
  };

  explicit steward(const parts &Parts);

  /// Orders, hosts or maps have changed.
  void onClusterChange();
  /// A host, this one or another, tells its load.
  void onReport(const std::string &Host, const load_report &Report);
  /// The host that plans at present answered, or did not.
  void onStewardHeard() { LastHeard = Parts.Clock.now(); }
  bool isActive() const;
  /// Tokens of the rate pool; none unless this host plans.
  double takeTokens(const std::string &Workspace, double Amount,
                    duration &AskAfter);

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
  void takeOverLapsed();
  void planTakeOver(const std::string &Service,
                    const std::set<std::string> &Lapsed);
  void removeHosts(const std::set<std::string> &Lapsed);
  bool ownsAnything(const std::string &Host) const;

  struct settling {
    size_t Candidates = 0;
    time_point Since{};
  };

  parts Parts;
  lease_watch Leases;
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

#endif // DRAGONFLYVANE_NODE_STEWARD_HPP
