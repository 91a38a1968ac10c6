#include "dragonflyvane/core/rollout/rollout_order.hpp"

#include "dragonflyvane/core/error.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

// Guards against a successor of the coordinator that does not continue where
// the row says, because a field was lost on the way.
TEST_CASE("a rollout state is the same after it was written and read") {
  rollout_state State;
  State.Order = versionIn(1, 40);
  State.Sequence = 7;
  State.To = "v2";
  State.Outcome = rollout_outcome::Running;
  State.Step = rollout_step::Load;
  State.Share = 0.06;
  State.Canaries = {"host-1", "host-2"};
  State.Barred = {"v0"};
  State.OrderedAt = milliseconds(1000);
  State.StepAt = milliseconds(2000);
  State.Duration = milliseconds(12'000);
  State.Exposed = 33;
  State.Total = 1200;
  State.Reason = "evidence";
  CHECK(decodeRollout(encodeRollout(State)) == State);
}

// Guards against routing by a row that another program wrote.
TEST_CASE("a rollout row that is malformed is not decoded") {
  CHECK_THROWS_AS(decodeRollout("{}"), step_error);
  CHECK_THROWS_AS(decodeRollout("x"), step_error);
  rollout_state State;
  State.To = "v2";
  State.Share = 1;
  std::string Text = encodeRollout(State);
  Text.replace(Text.find("\"share\":1"), 9, "\"share\":7");
  CHECK_THROWS_AS(decodeRollout(Text), step_error);
}
