#include "dragonflyvane/net/event_loop_delay.hpp"

#include "dragonflyvane/net/event_loop.hpp"
#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct observed_loop {
  /// Lets the timers run this late.
  void stall(duration Delay) {
    Clock.advance(Delay);
    run(milliseconds(100));
  }
  void run(duration Span) {
    for (; Span > duration{0}; Span -= milliseconds(100)) {
      Clock.advance(milliseconds(100));
      Loop.runFor(milliseconds(100));
    }
  }

  manual_scheduler Loop;
  manual_clock Clock;
  metrics Metrics;
  std::vector<duration> Late;
  event_loop_delay Delay{Loop, Clock, Metrics,
                         [this](duration Time) { Late.push_back(Time); }};
};

} // namespace

// Guards against a process that did not run and whose late messages are taken
// for those of a full link.
TEST_CASE("an event loop that stood still is noticed") {
  observed_loop Observed;
  Observed.run(seconds(1));
  CHECK(Observed.Delay.publish() == duration{0});
  Observed.stall(milliseconds(750));
  REQUIRE(Observed.Late.size() == 1);
  CHECK(Observed.Late[0] == milliseconds(750));
  Observed.stall(milliseconds(150));
  CHECK(Observed.Late.size() == 1);
  CHECK(Observed.Delay.publish() == milliseconds(750));
  std::string Text = Observed.Metrics.exposition();
  CHECK(Text.find("event_loop_delay_seconds_count 12\n") != std::string::npos);
  CHECK(Text.find("event_loop_delay_seconds_bucket{le=\"0.5\"} 11\n") !=
        std::string::npos);
}

// What the loop did late may arrive in the period after that of the delay.
TEST_CASE("a delay of the event loop is reported for two periods") {
  observed_loop Observed;
  Observed.stall(milliseconds(750));
  CHECK(Observed.Delay.publish() == milliseconds(750));
  Observed.run(seconds(1));
  CHECK(Observed.Delay.publish() == milliseconds(750));
  Observed.run(seconds(1));
  CHECK(Observed.Delay.publish() == duration{0});
}

TEST_CASE("a handler that blocks makes the real event loop late") {
  event_loop Loop;
  boot_clock Clock;
  metrics Metrics;
  std::vector<duration> Late;
  event_loop_delay Delay(Loop, Clock, Metrics, [&](duration Time) {
    Late.push_back(Time);
    Loop.stop();
  });
  Loop.post([] { std::this_thread::sleep_for(milliseconds(500)); });
  timer Limit = Loop.after(seconds(10), [&] { Loop.stop(); });
  Loop.run();
  REQUIRE(Late.size() == 1);
  CHECK(Late[0] >= milliseconds(300));
}
