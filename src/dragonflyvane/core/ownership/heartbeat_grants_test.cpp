#include "dragonflyvane/core/ownership/grant_tracker.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_incarnation Incarnation{"i-1", 1000};
constexpr milliseconds MaxHoldDuration{10'000};
constexpr milliseconds ReleaseDelay{900};

struct grant_tracker_fixture {
  grant_tracker_fixture() {
    Map.Ranges[0].Owner = "here";
    Map.Ranges[0].Incarnation = Incarnation;
    Map.Ranges[0].Token = 5;
  }

  std::optional<grant> sendHeartbeat(const held_keys &Keys = {}) {
    Tracker.observe(Map, ReleaseAll, Clock.now());
    return Tracker.onHeartbeat(Incarnation, Keys, Map,
                               Clock.now() + milliseconds(4000), Clock.now());
  }

  size_t countReleasable() {
    Tracker.observe(Map, ReleaseAll, Clock.now());
    return Tracker.releasableRanges(Map, Clock.now()).size();
  }

  manual_clock Clock;
  grant_tracker Tracker{{"here", MaxHoldDuration, ReleaseDelay}, Clock.now()};
  ownership_map Map;
  bool ReleaseAll = false;
};

const held_keys HoldsAll{{{0, LastPoint, 5}}, {}};

} // namespace

TEST_CASE("a grant ends before the lease even by a clock that is 2 % slow") {
  grant_tracker_fixture Fixture;
  auto Grant = Fixture.sendHeartbeat();
  REQUIRE(Grant);
  CHECK(Grant->Ranges.size() == 1);
  CHECK(Grant->HoldDuration * 1.02 <= milliseconds(4000));
  CHECK(Fixture.Tracker.holds(77, Fixture.Clock.now()));
  Fixture.Clock.advance(milliseconds(4000));
  CHECK(!Fixture.Tracker.holds(77, Fixture.Clock.now()));
}

TEST_CASE("an outgoing range is granted until its release delay has passed") {
  grant_tracker_fixture Fixture;
  Fixture.sendHeartbeat();
  Fixture.Map.Ranges[0].NextOwner = "there";
  CHECK(Fixture.sendHeartbeat(HoldsAll)->Ranges.size() == 1);
  Fixture.Clock.advance(ReleaseDelay);
  CHECK(Fixture.sendHeartbeat(HoldsAll)->Ranges.empty());
  CHECK(Fixture.countReleasable() == 0);
  Fixture.sendHeartbeat({{}, {{0, LastPoint, "h"}}});
  CHECK(Fixture.countReleasable() == 1);
  CHECK(Fixture.Tracker.releasableRanges(Fixture.Map, Fixture.Clock.now())[0]
            .Handover == "h");
}

TEST_CASE(
    "holds of a server without heartbeats count until they have expired") {
  grant_tracker_fixture Fixture;
  Fixture.sendHeartbeat();
  // From now on only grants of this run of the daemon can be in force.
  Fixture.Clock.advance(MaxHoldDuration);
  Fixture.sendHeartbeat(HoldsAll);
  Fixture.ReleaseAll = true;
  Fixture.countReleasable();
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(milliseconds(1100));
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE(
    "grants of an earlier run of the daemon count until they have expired") {
  grant_tracker_fixture Fixture;
  Fixture.ReleaseAll = true;
  Fixture.countReleasable();
  Fixture.Clock.advance(milliseconds(5000));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(milliseconds(5001));
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE("a relinquished range is not granted again under its token") {
  grant_tracker_fixture Fixture;
  Fixture.Tracker.relinquish(Fixture.Map.Ranges[0]);
  CHECK(Fixture.sendHeartbeat()->Ranges.empty());
  Fixture.Map.Ranges[0].Token = 6;
  CHECK(Fixture.sendHeartbeat()->Ranges.size() == 1);
}

TEST_CASE(
    "the next owner of a moving range is made to send heartbeats quickly") {
  grant_tracker_fixture Fixture;
  Fixture.Map.splitBefore(60000);
  Fixture.Map.Ranges[1].Owner = "there";
  Fixture.Map.Ranges[1].NextOwner = "here";
  auto Covers = [](const grant &Grant, key_point Point) {
    for (const granted_range &Range : Grant.Ranges)
      if (Range.First <= Point && Point <= Range.Last)
        return true;
    return false;
  };
  auto First = Fixture.sendHeartbeat();
  CHECK(!Covers(*First, 59999));
  CHECK(Covers(*First, 59998));
  auto Second = Fixture.sendHeartbeat({{{0, 59998, 5}}, {{59999, 59999, "h"}}});
  CHECK(Covers(*Second, 59999));
  CHECK(!Covers(*Second, 59998));
}

TEST_CASE("the owner of a moving range is made to send heartbeats quickly") {
  grant_tracker_fixture Fixture;
  Fixture.Map.splitBefore(10000);
  Fixture.Map.Ranges[0].NextOwner = "there";
  auto Grant = Fixture.sendHeartbeat();
  // The outgoing range is whole; one point of the other range is withheld.
  REQUIRE(Grant->Ranges.size() == 2);
  CHECK(Grant->Ranges[0].Last == 9999);
  CHECK(Grant->Ranges[1].Last == LastPoint - 1);
}
