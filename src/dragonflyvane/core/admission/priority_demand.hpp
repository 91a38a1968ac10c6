/// How much work arrives at a backend server for each priority.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_DEMAND_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_DEMAND_HPP

#include "dragonflyvane/core/clock.hpp"

#include <map>

namespace dragonflyvane {

/// A moving average of the work that arrives, in slots that it keeps busy.
class work_rate {
public:
  void record(duration Work, time_point Now);
  double at(time_point Now) const;

private:
  double Rate = 0;
  time_point UpdatedAt{};
};

/// Keeps the rates of arriving work. All results are in slots that the work
/// keeps busy.
class priority_demand {
public:
  /// Records a request that arrives. `CanBeInTime` says whether an immediate
  /// start would meet its soft deadline.
  void recordArrival(int Priority, duration Work, bool CanBeInTime,
                     time_point Now);
  /// Records a request that was admitted.
  void recordAdmission(int Priority, duration Work, time_point Now);
  /// The admitted work of more urgent priorities.
  double admittedBefore(int Priority, time_point Now) const;
  /// The arriving work of a priority that can be in time, admitted or not.
  double inTimeOf(int Priority, time_point Now) const;
  /// The share of each priority in all arriving work.
  std::map<int, double> shares(time_point Now) const;

private:
  struct rates {
    work_rate Arriving;
    work_rate InTime;
    work_rate Admitted;
  };

  std::map<int, rates> Priorities;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_DEMAND_HPP
