#include "dragonflyvane/core/ownership/store_clock.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("the estimate is never below the store's clock") {
  store_clock Clock;
  time_point Sent{seconds(100)};
  CHECK(Clock.upperBound(Sent) == milliseconds(0));
  // The store read 7000 ms at an unknown moment of these 300 ms.
  Clock.onResponse(milliseconds(7000), Sent, Sent + milliseconds(300));
  CHECK(Clock.upperBound(Sent + milliseconds(300)) == milliseconds(7300));
  CHECK(Clock.upperBound(Sent + milliseconds(1300)) >= milliseconds(8300));
  CHECK(Clock.upperBound(Sent + milliseconds(1300)) <= milliseconds(8303));
}

TEST_CASE("a slow call does not loosen the bound from a quick one") {
  store_clock Clock;
  time_point Sent{seconds(100)};
  Clock.onResponse(milliseconds(7000), Sent, Sent + milliseconds(10));
  Clock.onResponse(milliseconds(8000), Sent + milliseconds(500),
                   Sent + milliseconds(1010));
  CHECK(Clock.upperBound(Sent + milliseconds(1010)) <= milliseconds(8013));
}
