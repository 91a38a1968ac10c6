#include "dragonflyvane/core/ownership/incarnation_tracker.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_incarnation First{"i-1", 5000};
const server_incarnation Later{"i-1", 6000};
constexpr milliseconds MaxSilence{1300};

struct incarnation_fixture {
  heartbeat_origin send(const server_incarnation &Sender, uint64_t Sequence) {
    return Tracker.onHeartbeat(Sender, Sequence, Clock.now());
  }

  manual_clock Clock;
  incarnation_tracker Tracker{MaxSilence};
};

} // namespace

// A heartbeat that a partition held back arrives after its sender has ended.
TEST_CASE("a heartbeat of a replaced incarnation is outdated") {
  incarnation_fixture Fixture;
  CHECK(Fixture.send(First, 1) == heartbeat_origin::New);
  CHECK(Fixture.send(Later, 1) == heartbeat_origin::New);
  CHECK(Fixture.send(First, 2) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(Later, 1) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(Later, 2) == heartbeat_origin::Current);
  CHECK(Fixture.Tracker.current() == Later);
}

// A sender that does not say when it started may belong to an earlier life.
TEST_CASE(
    "an unknown start time replaces no incarnation that sends heartbeats") {
  incarnation_fixture Fixture;
  const server_incarnation Unknown{"i-2", 0};
  CHECK(Fixture.send(First, 1) == heartbeat_origin::New);
  CHECK(Fixture.send(Unknown, 1) == heartbeat_origin::Outdated);
  CHECK(Fixture.send({"i-1", 0}, 9) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(First, 2) == heartbeat_origin::Current);
}

TEST_CASE("a known start time replaces an unknown one") {
  incarnation_fixture Fixture;
  CHECK(Fixture.send({"i-2", 0}, 1) == heartbeat_origin::New);
  CHECK(Fixture.send({"i-3", 0}, 1) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(First, 1) == heartbeat_origin::New);
}

// The wall clock of the server's host was set back between two starts, so that
// the new incarnation seems to be the older one.
TEST_CASE("an incarnation with an earlier start time is found after a clock "
          "was set back") {
  incarnation_fixture Fixture;
  Fixture.send(Later, 7);
  CHECK(Fixture.send(First, 1) == heartbeat_origin::Outdated);
  Fixture.Clock.advance(milliseconds(900));
  CHECK(Fixture.send(First, 2) == heartbeat_origin::Outdated);
  Fixture.Clock.advance(milliseconds(900));
  CHECK(Fixture.send(First, 3) == heartbeat_origin::New);
  CHECK(Fixture.send(Later, 8) == heartbeat_origin::Outdated);
}

// A single late heartbeat must not replace a server that is silent for a
// moment.
TEST_CASE("one late heartbeat replaces no incarnation, silent or not") {
  incarnation_fixture Fixture;
  Fixture.send(First, 1);
  Fixture.send(Later, 1);
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.send(First, 2) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(First, 2) == heartbeat_origin::Outdated);
  CHECK(Fixture.send(Later, 2) == heartbeat_origin::Current);
}
