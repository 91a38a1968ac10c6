#include "dragonflyvane/core/rollout/rollout_succession.hpp"

namespace dragonflyvane {

bool belongsTo(const rollout_state &State, const rollout_order &Order) {
  if (State.To != Order.To)
    return false;
  return State.Order == Order.RowVersion ||
         eraOf(State.Order) != eraOf(Order.RowVersion);
}

rollout_state firstState(const rollout_order &Order,
                         const rollout_state *Previous) {
  rollout_state State;
  State.Order = Order.RowVersion;
  State.To = Order.To;
  State.Duration = Order.Duration;
  State.Reason = "ordered";
  if (!Previous)
    return State;
  State.Barred = Previous->Barred;
  State.Sequence = Previous->Sequence;
  if (Previous->isRunning() || Previous->Outcome == rollout_outcome::RolledBack)
    State.Barred.insert(Previous->To);
  State.Barred.erase(Order.To);
  return State;
}

} // namespace dragonflyvane
