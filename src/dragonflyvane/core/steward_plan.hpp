/// What the steward would change: who should own which slice, and who should
/// follow. Planning only; safety never rests on it.
#ifndef DRAGONFLYVANE_CORE_STEWARD_PLAN_HPP
#define DRAGONFLYVANE_CORE_STEWARD_PLAN_HPP

#include "dragonflyvane/core/cluster_view.hpp"
#include "dragonflyvane/core/lapse_registry.hpp"
#include "dragonflyvane/core/messages.hpp"

#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A list that nobody can change but the steward: no entry has a lease.
struct list_assignment {
  slice_id Slice;
  succession_list List;
};

/// A change for the present owner to carry out.
struct owner_proposal {
  std::string Owner;
  std::string Service;
  proposed_list List;
};

/// The outcome of one round of planning.
struct steward_plan {
  std::vector<list_assignment> Assignments;
  std::vector<owner_proposal> Proposals;
};

/// Requests a second by slice.
using slice_loads = std::map<slice_id, double>;

/// The most slices moved for balance alone in a round, as a share of the
/// service's slices. It bounds churn and ramps up a host that returns.
inline constexpr uint32_t BalanceMovesDivisor = 16;
/// A host may carry so much more than the mean before slices are moved.
inline constexpr double BalanceTolerance = 1.15;

/// Plans one round for every service of the configuration.
steward_plan planRound(const cluster_view &View, const lapse_registry &Registry,
                       const slice_loads &Loads);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_STEWARD_PLAN_HPP
