#include "dragonflyvane/core/admission/return_schedule.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point Now{std::chrono::hours(1)};

refused_request request(int Priority) {
  return {Priority, milliseconds(60), seconds(3)};
}

} // namespace

// Guards against callers that return together and are refused again. Pattern: a
// burst of which 30 requests are refused.
TEST_CASE("callers return no faster than the server has room") {
  return_schedule Schedule;
  room_forecast Forecast{milliseconds(100), 3};
  duration Previous{0};
  for (int I = 0; I < 30; ++I) {
    duration Delay = Schedule.reserve(request(1), Forecast, Now);
    CHECK(Delay == milliseconds(100 + 20 * I));
    CHECK(Delay > Previous);
    Previous = Delay;
  }
}

TEST_CASE("urgent callers do not return behind less urgent ones") {
  return_schedule Schedule;
  room_forecast Forecast{milliseconds(100), 3};
  for (int I = 0; I < 5; ++I)
    Schedule.reserve(request(1), Forecast, Now);
  CHECK(Schedule.reserve(request(0), Forecast, Now) == milliseconds(100));
  CHECK(Schedule.reserve(request(2), Forecast, Now) == milliseconds(200));
}

// Guards against an early return that has no chance, and against a schedule
// that grows without end. Pattern: lasting overload.
TEST_CASE("a time beyond what callers honour is named but not reserved") {
  return_schedule Schedule;
  room_forecast NoRoom{milliseconds(1500), 0.2};
  for (int I = 0; I < 100; ++I)
    CHECK(Schedule.reserve(request(1), NoRoom, Now) == milliseconds(1500));
  room_forecast Room{milliseconds(20), 9};
  CHECK(Schedule.reserve(request(1), Room, Now) == milliseconds(20));
}

TEST_CASE("reserved room that has passed delays nobody") {
  return_schedule Schedule;
  room_forecast Forecast{milliseconds(100), 3};
  for (int I = 0; I < 30; ++I)
    Schedule.reserve(request(1), Forecast, Now);
  CHECK(Schedule.reserve(request(1), Forecast, Now + seconds(2)) ==
        milliseconds(100));
}
