/// How rollouts of one service follow each other: which order a state belongs
/// to, and what a new order takes over from the rollout before it.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_SUCCESSION_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_SUCCESSION_HPP

#include "dragonflyvane/core/rollout/rollout_order.hpp"

namespace dragonflyvane {

/// Whether the state is about the order. Operators write their rows again after
/// a return of the store, under versions of the new era.
bool belongsTo(const rollout_state &State, const rollout_order &Order);

/// Returns the first state of a new order. `Previous` is the state of an
/// earlier order, or null. Its version stays barred if it was not completed,
/// unless the new order names it.
rollout_state firstState(const rollout_order &Order,
                         const rollout_state *Previous);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_SUCCESSION_HPP
