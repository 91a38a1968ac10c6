/// Keeps a share of the slots for each priority, so that urgent requests do not
/// starve the less urgent ones.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_FLOOR_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_FLOOR_HPP

#include "dragonflyvane/core/admission/priority_demand.hpp"
#include "dragonflyvane/core/clock.hpp"

#include <map>

namespace dragonflyvane {

/// Gives each priority credit, in processing time, for the work that starts at
/// the server (deficit round robin). A priority that is served less than its
/// floor saves its credit, up to that of a few requests.
class priority_floor {
public:
  /// The floor of a priority as a fraction of its share in the demand. A
  /// priority must not be served less than a quarter as often as all.
  static constexpr double FractionOfShare = 0.3;

  /// Records that a request starts.
  void onStart(int Priority, duration Work, const priority_demand &Demand,
               time_point Now);
  /// The credit that a priority has saved.
  duration creditOf(int Priority) const;

private:
  struct account {
    duration Credit{0};
    /// The processing time of the latest request.
    duration Work{0};
  };

  std::map<int, account> Accounts;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_PRIORITY_FLOOR_HPP
