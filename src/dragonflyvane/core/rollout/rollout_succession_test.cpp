#include "dragonflyvane/core/rollout/rollout_succession.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

rollout_state stateOf(const std::string &To, rollout_outcome Outcome) {
  rollout_state State;
  State.Order = 5;
  State.Sequence = 8;
  State.To = To;
  State.Outcome = Outcome;
  return State;
}

rollout_order orderOf(const std::string &To, row_version Version) {
  return {"desk", To, std::chrono::seconds(12), Version};
}

} // namespace

// Guards against an untried version that gets requests because another order
// has taken its place.
TEST_CASE("an order that is replaced bars its version") {
  rollout_state Running = stateOf("v2", rollout_outcome::Running);
  rollout_state Next = firstState(orderOf("v3", 6), &Running);
  CHECK(Next.Barred == std::set<std::string>{"v2"});
  CHECK(Next.Sequence == 8);
  CHECK(Next.Step == rollout_step::Waiting);
}

TEST_CASE("an order that is repeated lifts the bar of its version") {
  rollout_state Ended = stateOf("v2", rollout_outcome::RolledBack);
  CHECK(!belongsTo(Ended, orderOf("v2", 6)));
  CHECK(firstState(orderOf("v2", 6), &Ended).Barred.empty());
}

// Guards against a completed rollout that is repeated after a return of the
// store.
TEST_CASE("the same order in a new era belongs to the same state") {
  rollout_state Ended = stateOf("v2", rollout_outcome::Completed);
  CHECK(belongsTo(Ended, orderOf("v2", 5)));
  CHECK(belongsTo(Ended, orderOf("v2", versionIn(1, 3))));
  CHECK(!belongsTo(Ended, orderOf("v3", versionIn(1, 3))));
}
