#include "dragonflyvane/core/admission/service_route_times.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a usual time that a few slow servers change. Pattern: one of
// five servers is ten times slower.
TEST_CASE("the usual time of a service is the median of its hosts") {
  manual_clock Clock;
  service_route_times Times;
  for (int I = 1; I <= 4; ++I)
    Times.onReport("h" + std::to_string(I), "desk",
                   {{"peek", milliseconds(100 + I)}}, Clock.now());
  Times.onReport("h5", "desk", {{"peek", milliseconds(1000)}}, Clock.now());
  Times.onReport("other", "shelf", {{"peek", milliseconds(1)}}, Clock.now());
  // Not yet all hosts may have reported to a new coordinator.
  CHECK(Times.mediansOf("desk", Clock.now()).empty());
  Clock.advance(seconds(2));
  route_times Medians = Times.mediansOf("desk", Clock.now());
  CHECK(Medians == route_times{{"peek", milliseconds(103)}});
  CHECK(Times.mediansOf("unknown", Clock.now()).empty());
}

// Guards against usual times of hosts that are gone, or whose server now
// belongs to another service.
TEST_CASE("old and replaced reports do not count") {
  manual_clock Clock;
  service_route_times Times;
  Times.onReport("h1", "desk", {{"peek", milliseconds(100)}}, Clock.now());
  Times.onReport("h1", "shelf", {{"find", milliseconds(50)}}, Clock.now());
  Clock.advance(seconds(2));
  CHECK(Times.mediansOf("desk", Clock.now()).empty());
  CHECK(Times.mediansOf("shelf", Clock.now()).size() == 1);
  Clock.advance(seconds(4));
  CHECK(Times.mediansOf("shelf", Clock.now()).empty());
}

// Guards against responses to reports that grow with the number of routes.
TEST_CASE("the routes that most hosts report are kept, and no more") {
  manual_clock Clock;
  service_route_times Times;
  for (int I = 0; I < 20; ++I)
    Times.onReport("h" + std::to_string(I), "desk",
                   {{"rare" + std::to_string(I), milliseconds(10)},
                    {"usual", milliseconds(20)}},
                   Clock.now());
  Clock.advance(seconds(2));
  route_times Medians = Times.mediansOf("desk", Clock.now());
  CHECK(Medians.size() == MaxReportedRoutes);
  CHECK(Medians.contains("usual"));
}
