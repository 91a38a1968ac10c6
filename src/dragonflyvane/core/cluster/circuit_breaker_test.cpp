#include "dragonflyvane/core/cluster/circuit_breaker.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

struct breaker {
  void fail() {
    time_point SentAt = Clock.now();
    Breaker.onSent(SentAt);
    Clock.advance(milliseconds(10));
    Breaker.onFailure(SentAt, Clock.now());
  }
  bool admits(call_length Length = call_length::Short) const {
    return Breaker.admits(Length, Clock.now());
  }

  manual_clock Clock;
  circuit_breaker Breaker{milliseconds(500)};
};

} // namespace

// Guards against calls of all kinds, in any number, on a path that has failed.
TEST_CASE("an open circuit breaker admits one short call per delay") {
  breaker B;
  CHECK(B.admits(call_length::Long));
  B.fail();
  CHECK_FALSE(B.admits());
  B.Clock.advance(milliseconds(500));
  CHECK_FALSE(B.admits(call_length::Long));
  CHECK(B.admits());
  B.Breaker.onSent(B.Clock.now());
  CHECK_FALSE(B.admits());
  B.Breaker.onSuccess(B.Clock.now());
  CHECK(B.admits(call_length::Long));
}

// Guards against a path that counts as lost because one call on it is slow.
TEST_CASE("a call does not open a circuit breaker if a later one has succeeded "
          "meanwhile") {
  breaker B;
  time_point SentAt = B.Clock.now();
  B.Clock.advance(milliseconds(300));
  B.Breaker.onSuccess(B.Clock.now());
  B.Clock.advance(milliseconds(700));
  B.Breaker.onFailure(SentAt, B.Clock.now());
  CHECK(B.Breaker.isClosed());
}

// Guards against a delay that several calls which fail together lengthen.
TEST_CASE("calls that were sent before a circuit breaker opened do not put off "
          "the probe") {
  breaker B;
  time_point SentAt = B.Clock.now();
  B.fail();
  B.Clock.advance(milliseconds(400));
  B.Breaker.onFailure(SentAt, B.Clock.now());
  B.Clock.advance(milliseconds(100));
  CHECK(B.admits());
}

// Guards against hosts that leave a path on which the store responds, since it
// is overloaded, and against those that stay where it never serves them.
TEST_CASE("refusals open a circuit breaker only if there is no success for a "
          "while") {
  breaker B;
  for (int I = 0; I < 14; ++I) {
    B.Breaker.onRefusal(B.Clock.now(), B.Clock.now());
    CHECK(B.Breaker.isClosed());
    B.Clock.advance(milliseconds(100));
  }
  B.Breaker.onSuccess(B.Clock.now());
  for (int I = 0; I < 14; ++I) {
    B.Breaker.onRefusal(B.Clock.now(), B.Clock.now());
    B.Clock.advance(milliseconds(100));
  }
  CHECK(B.Breaker.isClosed());
  B.Clock.advance(milliseconds(100));
  B.Breaker.onRefusal(B.Clock.now(), B.Clock.now());
  CHECK_FALSE(B.Breaker.isClosed());
}
