#include "dragonflyvane/core/admission/priority_demand.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

// Guards against an estimate of the room that is left which is off by more than
// callers notice. Pattern: steady arrivals that keep 6 slots busy.
TEST_CASE("the demand of a priority is the number of slots it keeps busy") {
  priority_demand Demand;
  time_point Now{std::chrono::hours(1)};
  for (int I = 0; I < 500; ++I) {
    Demand.recordArrival(1, milliseconds(60), I % 2 == 0, Now);
    Demand.recordAdmission(1, milliseconds(60), Now);
    Now += milliseconds(10);
  }
  CHECK(Demand.admittedBefore(2, Now) == doctest::Approx(6).epsilon(0.05));
  CHECK(Demand.admittedBefore(1, Now) == 0);
  CHECK(Demand.inTimeOf(1, Now) == doctest::Approx(3).epsilon(0.05));
  CHECK(Demand.shares(Now).at(1) == doctest::Approx(1));
  CHECK(!Demand.shares(Now).contains(2));
}

// Guards against a wave that limits others long after its end.
TEST_CASE("the demand of a wave is forgotten within seconds") {
  priority_demand Demand;
  time_point Now{std::chrono::hours(1)};
  for (int I = 0; I < 200; ++I)
    Demand.recordAdmission(0, milliseconds(60), Now += milliseconds(5));
  CHECK(Demand.admittedBefore(1, Now + std::chrono::seconds(5)) < 0.1);
}
