#include "dragonflyvane/core/admission/graceful_shutdown.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct shutdown_fixture {
  /// A request with 10 s until its deadline that usually takes `UsualTime`.
  beginning_request request(std::optional<duration> UsualTime,
                            bool Idempotent) const {
    return {Clock.now() + seconds(10), UsualTime, Idempotent, false};
  }

  manual_clock Clock;
  graceful_shutdown Shutdown{Clock, milliseconds(5600)};
};

} // namespace

// Guards against requests that are accepted late in a planned stop and cut off
// at its end, those first that must not be repeated.
TEST_CASE("a request begins in a shutdown only if it can end before the "
          "process does") {
  shutdown_fixture F;
  CHECK(F.Shutdown.admits(F.request(std::nullopt, false)));
  F.Shutdown.begin();
  CHECK(F.Shutdown.admits(F.request(milliseconds(3200), true)));
  CHECK(!F.Shutdown.admits(F.request(milliseconds(3200), false)));
  CHECK(F.Shutdown.admits(F.request(milliseconds(100), false)));
  CHECK(!F.Shutdown.admits(F.request(std::nullopt, true)));
  F.Clock.advance(milliseconds(2150));
  CHECK(F.Shutdown.admits(F.request(milliseconds(3200), true)));
  F.Clock.advance(milliseconds(49));
  CHECK(!F.Shutdown.admits(F.request(milliseconds(3300), true)));
}

TEST_CASE("a request whose deadline passes before the process ends may begin") {
  shutdown_fixture F;
  F.Shutdown.begin();
  beginning_request Request;
  Request.Deadline = F.Clock.now() + milliseconds(5350);
  CHECK(F.Shutdown.admits(Request));
  Request.Deadline += milliseconds(1);
  CHECK(!F.Shutdown.admits(Request));
}

// Guards against running requests that fail because their own calls are
// refused.
TEST_CASE("after the time to accept requests, only nested calls begin") {
  shutdown_fixture F;
  F.Shutdown.begin();
  F.Clock.advance(milliseconds(2200));
  beginning_request Request;
  Request.Deadline = F.Clock.now() + milliseconds(100);
  CHECK(!F.Shutdown.admits(Request));
  Request.IsNestedCall = true;
  CHECK(F.Shutdown.admits(Request));
}

TEST_CASE("deadlines end before the process does") {
  shutdown_fixture F;
  time_point Late = F.Clock.now() + seconds(10);
  CHECK(F.Shutdown.deadlineOf(Late) == Late);
  F.Shutdown.begin();
  CHECK(F.Shutdown.deadlineOf(Late) == F.Shutdown.lastResponseAt());
  CHECK(F.Shutdown.lastResponseAt() < F.Shutdown.end());
  CHECK(!F.Shutdown.isOver());
  F.Clock.advance(milliseconds(5350));
  CHECK(F.Shutdown.isOver());
}
