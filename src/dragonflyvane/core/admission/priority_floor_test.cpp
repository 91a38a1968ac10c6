#include "dragonflyvane/core/admission/priority_floor.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const time_point Now{std::chrono::hours(1)};

/// Three quarters of the work are of priority 0, the rest of priority 1.
priority_demand usualDemand() {
  priority_demand Demand;
  for (int I = 0; I < 100; ++I)
    Demand.recordArrival(I % 4 == 0, milliseconds(60), true, Now);
  return Demand;
}

} // namespace

// Guards against starvation. Pattern: only urgent requests start.
TEST_CASE("a priority that is not served saves the credit of its floor, up to "
          "two requests") {
  priority_demand Demand = usualDemand();
  priority_floor Floor;
  for (int I = 0; I < 14; ++I)
    Floor.onStart(0, milliseconds(60), Demand, Now);
  CHECK(Floor.creditOf(1) >= milliseconds(60));
  CHECK(Floor.creditOf(1) <= milliseconds(64));
  for (int I = 0; I < 100; ++I)
    Floor.onStart(0, milliseconds(60), Demand, Now);
  CHECK(Floor.creditOf(1) == milliseconds(120));
}

// Guards against less urgent requests that go first without need. Pattern: both
// priorities are served by their shares.
TEST_CASE("a priority that gets more than its floor saves nothing") {
  priority_demand Demand = usualDemand();
  priority_floor Floor;
  for (int I = 0; I < 100; ++I)
    Floor.onStart(I % 4 == 0, milliseconds(60), Demand, Now);
  CHECK(Floor.creditOf(0) < milliseconds(60));
  CHECK(Floor.creditOf(1) < milliseconds(60));
}
