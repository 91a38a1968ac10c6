#include "dragonflyvane/core/admission/call_pressure.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// Requests of a route that arrive every 10 ms and end after 50 ms. The called
/// service has room for one of `RoomForOneOf` requests that arrive.
struct pressed_route {
  int run(int Requests, int RoomForOneOf, const std::string &Route = "order") {
    int Wasted = 0;
    for (int I = 0; I < Requests; ++I) {
      Now += milliseconds(10);
      if (!Pressure.admits(Route, Now)) {
        ++Refused;
        continue;
      }
      bool HasRoom = I % RoomForOneOf == 0;
      if (!HasRoom)
        Pressure.onNestedCallRefused("queue-full", Now);
      Wasted += HasRoom ? 0 : 1;
      Pressure.onEnd({Route, Now - milliseconds(50), !HasRoom}, Now);
    }
    return Wasted;
  }

  call_pressure Pressure;
  time_point Now{std::chrono::hours(1)};
  int Refused = 0;
};

} // namespace

// Guards against slots that are wasted on requests whose nested calls are
// refused. Pattern: lasting overload of the called service.
TEST_CASE("under lasting overload of a called service few requests begin in "
          "vain") {
  pressed_route Route;
  Route.run(500, 1000);
  int Wasted = Route.run(1000, 1000);
  CHECK(Wasted <= 150);
  CHECK(Wasted >= 50);
}

// Guards against a route that stays refused after the overload has ended.
TEST_CASE("after the overload of a called service all requests begin again") {
  pressed_route Route;
  Route.run(500, 1000);
  Route.run(2000, 1);
  Route.Refused = 0;
  Route.run(500, 1);
  CHECK(Route.Refused == 0);
}

// Guards against refusals for failures that have another cause, and of routes
// that make no calls.
TEST_CASE("only failures with refused nested calls count, and only for their "
          "route") {
  pressed_route Route;
  Route.run(500, 1000);
  CHECK(Route.Pressure.refusedShare("order", Route.Now) > 0.5);
  CHECK(Route.Pressure.refusedShare("stock", Route.Now) == 0);
  call_pressure Failing;
  for (int I = 0; I < 500; ++I) {
    Route.Now += milliseconds(10);
    CHECK(Failing.admits("order", Route.Now));
    Failing.onNestedCallRefused("no-owner", Route.Now);
    Failing.onEnd({"order", Route.Now - milliseconds(50), true}, Route.Now);
  }
}
