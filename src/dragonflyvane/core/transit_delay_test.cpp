#include "dragonflyvane/core/transit_delay.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A path whose delay tests set, between two clocks that started at different
/// times.
struct measured_path {
  /// Sends a message now that takes this long.
  duration send(duration Transit) {
    milliseconds SentAt = std::chrono::duration_cast<milliseconds>(SenderClock);
    return Delay.observe(SentAt, ReceiverClock + Transit);
  }

  void advance(duration Step) {
    ReceiverClock += Step;
    SenderClock += duration(
        static_cast<int64_t>(static_cast<double>(Step.count()) * SenderRate));
  }

  transit_delay Delay;
  duration SenderClock = std::chrono::hours(9);
  time_point ReceiverClock{std::chrono::hours(2)};
  double SenderRate = 1;
};

} // namespace

TEST_CASE("the transit delay of a message is its wait beyond the fastest one") {
  measured_path Path;
  CHECK(Path.send(milliseconds(40)) == milliseconds(0));
  Path.advance(milliseconds(10));
  CHECK(Path.send(milliseconds(340)) == milliseconds(300));
  Path.advance(milliseconds(10));
  CHECK(Path.send(milliseconds(40)) == milliseconds(0));
}

// Guards against a base that follows the queue: messages behind a queue that
// builds over seconds would count as prompt.
TEST_CASE("a queue that builds and drains is measured in full") {
  measured_path Path;
  Path.send(milliseconds(2));
  for (int Step = 1; Step <= 40; ++Step) {
    Path.advance(milliseconds(50));
    CHECK(Path.send(milliseconds(2 + 25 * Step)) == milliseconds(25 * Step));
  }
  for (int Step = 39; Step >= 0; --Step) {
    Path.advance(milliseconds(50));
    CHECK(Path.send(milliseconds(2 + 25 * Step)) == milliseconds(25 * Step));
  }
}

// A connection that was opened behind a queue learns the base as it drains.
TEST_CASE("a faster message than all before sets the base") {
  measured_path Path;
  CHECK(Path.send(milliseconds(900)) == milliseconds(0));
  Path.advance(seconds(1));
  CHECK(Path.send(milliseconds(100)) == milliseconds(0));
  Path.advance(seconds(1));
  CHECK(Path.send(milliseconds(900)) == milliseconds(800));
}

// Guards against a delay that grows without end because the clocks of two
// machines run at different rates.
TEST_CASE("clocks that drift by 100 ppm show no delay") {
  for (double Rate : {0.9999, 1.0001}) {
    measured_path Path;
    Path.SenderRate = Rate;
    duration Largest{0};
    for (int I = 0; I < 6'000; ++I) {
      Path.advance(milliseconds(100));
      Largest = std::max(Largest, Path.send(milliseconds(3)));
    }
    CHECK(Largest <= milliseconds(8));
  }
}

// Guards against requests that are refused as too late since a clock jumped.
TEST_CASE("a jump of a clock counts as no delay and sets a new base") {
  for (duration Jump : {duration(seconds(3600)), duration(seconds(-3600))}) {
    measured_path Path;
    Path.send(milliseconds(3));
    Path.advance(seconds(1));
    Path.SenderClock += Jump;
    CHECK(Path.send(milliseconds(5)) == milliseconds(0));
    Path.advance(seconds(1));
    CHECK(Path.send(milliseconds(85)) == milliseconds(80));
    Path.advance(seconds(1));
    CHECK(Path.send(milliseconds(5)) == milliseconds(0));
  }
}

TEST_CASE("a send time that no clock has is ignored") {
  measured_path Path;
  Path.send(milliseconds(3));
  for (milliseconds SentAt : {milliseconds(-1), milliseconds::max(),
                              milliseconds::min(), milliseconds(INT64_MAX / 2)})
    CHECK(Path.Delay.observe(SentAt, Path.ReceiverClock) == milliseconds(0));
  CHECK(Path.send(milliseconds(23)) == milliseconds(20));
}

// A path that becomes longer, as by another route, counts as a delay only until
// the shorter one is forgotten.
TEST_CASE("the base is kept for one window and forgotten after two") {
  measured_path Path;
  Path.send(milliseconds(10));
  for (int Second = 1; Second < 30; ++Second) {
    Path.advance(seconds(1));
    CHECK(Path.send(milliseconds(50)) == milliseconds(40));
  }
  for (int Second = 30; Second <= 62; ++Second) {
    Path.advance(seconds(1));
    Path.send(milliseconds(50));
  }
  CHECK(Path.send(milliseconds(50)) == milliseconds(0));
  CHECK(Path.send(milliseconds(60)) == milliseconds(10));
}

TEST_CASE("the base survives a short idle time and not a long one") {
  measured_path Path;
  Path.send(milliseconds(10));
  Path.advance(seconds(25));
  CHECK(Path.send(milliseconds(70)) == milliseconds(60));
  Path.advance(seconds(600));
  CHECK(Path.send(milliseconds(70)) == milliseconds(0));
  CHECK(Path.send(milliseconds(90)) == milliseconds(20));
}
