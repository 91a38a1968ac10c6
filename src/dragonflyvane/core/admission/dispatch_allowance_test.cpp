#include "dragonflyvane/core/admission/dispatch_allowance.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point Start{std::chrono::hours(1)};

/// The dispatches within `Span` if there is always one to make.
int dispatchesWithin(dispatch_allowance &Allowance, time_point Begin,
                     duration Span) {
  int Count = 0;
  for (time_point Now = Begin; Now < Begin + Span; Now += milliseconds(10))
    for (; Allowance.delayOf(0, Now) == duration{0}; ++Count)
      Allowance.take(Now);
  return Count;
}

} // namespace

TEST_CASE("without limits every dispatch is allowed") {
  dispatch_allowance Allowance;
  Allowance.update({}, Start);
  CHECK(Allowance.delayOf(1000, Start) == duration{0});
}

// Guards against a burst at the moment at which a server, already in need,
// names its limit.
TEST_CASE("a new limit begins with no tokens") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 4}, Start);
  CHECK(Allowance.delayOf(0, Start) == milliseconds(250));
  CHECK(Allowance.delayOf(3, Start) == seconds(1));
}

TEST_CASE("dispatches keep to the limit, also after a pause") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 10}, Start);
  CHECK(dispatchesWithin(Allowance, Start, seconds(4)) <= 40);
  CHECK(dispatchesWithin(Allowance, Start + seconds(60), seconds(4)) <= 45);
}

TEST_CASE("a limit below one request a second lets whole requests pass") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 0.8}, Start);
  CHECK(dispatchesWithin(Allowance, Start, seconds(10)) == 7);
}

// Guards against a limit of zero that nothing can end, since only a response
// shows its end.
TEST_CASE("a server that takes nothing is tried now and then") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 0}, Start);
  int Count = dispatchesWithin(Allowance, Start, seconds(20));
  CHECK(Count >= 5);
  CHECK(Count <= 10);
}

TEST_CASE("the limit and the warm-up rate both bind") {
  dispatch_allowance Allowance;
  Allowance.update({3, 10}, Start);
  CHECK(dispatchesWithin(Allowance, Start, seconds(4)) <= 4 * 3);
  Allowance.update({30, 2}, Start + seconds(4));
  CHECK(dispatchesWithin(Allowance, Start + seconds(4), seconds(4)) <=
        4 * 2 + 1);
}

TEST_CASE("a lower limit discards the tokens of the higher one") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 100}, Start);
  time_point Now = Start + seconds(5);
  Allowance.update({{}, 2}, Now);
  CHECK(dispatchesWithin(Allowance, Now, seconds(4)) <= 4 * 2 + 1);
}

TEST_CASE("an enormous limit limits nothing") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 1e300}, Start);
  CHECK(Allowance.delayOf(1000, Start + milliseconds(10)) == duration{0});
}

TEST_CASE("nothing is dispatched at a warm-up rate of zero") {
  dispatch_allowance Allowance;
  Allowance.update({0, {}}, Start);
  CHECK(dispatchesWithin(Allowance, Start, seconds(20)) == 0);
}

// Guards against dispatches that take no token, because the time until there is
// a whole one is too short for the clock.
TEST_CASE("a request that may be dispatched takes a token") {
  dispatch_allowance Allowance;
  Allowance.update({{}, 3}, Start);
  for (int I = 0; I < 1000; ++I) {
    time_point Now = Start + I * std::chrono::nanoseconds(333'333'333);
    int Count = 0;
    for (; Count < 5 && Allowance.delayOf(0, Now) == duration{0}; ++Count)
      Allowance.take(Now);
    CHECK(Count <= 1);
  }
}
