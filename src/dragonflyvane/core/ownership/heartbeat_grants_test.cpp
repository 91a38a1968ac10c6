#include "dragonflyvane/core/ownership/heartbeat_grants.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_incarnation Incarnation{"i-1", 1000};
constexpr milliseconds MaxHoldDuration{10'000};
constexpr milliseconds ReleaseDelay{900};

struct heartbeat_grants_fixture {
  heartbeat_grants_fixture() {
    Map.Ranges[0].Owner = "here";
    Map.Ranges[0].Incarnation = Incarnation;
    Map.Ranges[0].Token = 5;
    Policy.startIncarnation(Incarnation);
  }

  std::optional<grant> sendHeartbeat(const held_keys &Keys = {}) {
    Policy.observe(Map, ReleaseAllSince, Clock.now());
    return Grants.onHeartbeat(Policy, Keys, Map,
                              Clock.now() + milliseconds(4000), Clock.now());
  }

  std::vector<releasable_range> releasable() {
    Policy.observe(Map, ReleaseAllSince, Clock.now());
    return releasableRanges(Policy, Grants, Map, Clock.now());
  }
  size_t countReleasable() { return releasable().size(); }

  manual_clock Clock;
  grant_policy Policy{{"here", MaxHoldDuration, ReleaseDelay, ReleaseDelay}};
  heartbeat_grants Grants{longestHold(MaxHoldDuration), Clock.now()};
  ownership_map Map;
  std::optional<time_point> ReleaseAllSince;
};

const held_keys HoldsAll{{{0, LastPoint, 5}}, {}};

} // namespace

TEST_CASE("a grant ends before the lease even by a clock that is 2 % slow") {
  heartbeat_grants_fixture Fixture;
  auto Grant = Fixture.sendHeartbeat();
  REQUIRE(Grant);
  CHECK(Grant->Ranges.size() == 1);
  CHECK(Grant->HoldDuration * 1.02 <= milliseconds(4000));
  CHECK(Fixture.Grants.holds(77, Fixture.Clock.now()));
  Fixture.Clock.advance(milliseconds(4000));
  CHECK(!Fixture.Grants.holds(77, Fixture.Clock.now()));
}

TEST_CASE("an outgoing range is granted until its release delay has passed") {
  heartbeat_grants_fixture Fixture;
  Fixture.sendHeartbeat();
  Fixture.Map.Ranges[0].NextOwner = "there";
  CHECK(Fixture.sendHeartbeat(HoldsAll)->Ranges.size() == 1);
  Fixture.Clock.advance(ReleaseDelay);
  CHECK(Fixture.sendHeartbeat(HoldsAll)->Ranges.empty());
  CHECK(Fixture.countReleasable() == 0);
  Fixture.sendHeartbeat({{}, {{0, LastPoint, "h"}}});
  CHECK(Fixture.countReleasable() == 1);
  CHECK(Fixture.releasable()[0].Handover == "h");
}

TEST_CASE(
    "holds of a server without heartbeats count until they have expired") {
  heartbeat_grants_fixture Fixture;
  Fixture.sendHeartbeat();
  // From now on only grants of this run of the daemon can be in force.
  Fixture.Clock.advance(longestHold(MaxHoldDuration));
  Fixture.sendHeartbeat(HoldsAll);
  Fixture.ReleaseAllSince = Fixture.Clock.now();
  Fixture.countReleasable();
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(milliseconds(1100));
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE(
    "grants of an earlier run of the daemon count until they have expired") {
  heartbeat_grants_fixture Fixture;
  Fixture.ReleaseAllSince = Fixture.Clock.now();
  Fixture.countReleasable();
  Fixture.Clock.advance(milliseconds(5000));
  CHECK(Fixture.countReleasable() == 0);
  // The clock of a backend server may be 2 % slow.
  Fixture.Clock.advance(milliseconds(5199));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(milliseconds(2));
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE("a relinquished range is not granted again under its token") {
  heartbeat_grants_fixture Fixture;
  Fixture.Policy.relinquish(Fixture.Map.Ranges[0]);
  CHECK(Fixture.sendHeartbeat()->Ranges.empty());
  Fixture.Map.Ranges[0].Token = 6;
  CHECK(Fixture.sendHeartbeat()->Ranges.size() == 1);
}

TEST_CASE(
    "the next owner of a moving range is made to send heartbeats quickly") {
  heartbeat_grants_fixture Fixture;
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
  heartbeat_grants_fixture Fixture;
  Fixture.Map.splitBefore(10000);
  Fixture.Map.Ranges[0].NextOwner = "there";
  auto Grant = Fixture.sendHeartbeat();
  // The outgoing range is whole; one point of the other range is withheld.
  REQUIRE(Grant->Ranges.size() == 2);
  CHECK(Grant->Ranges[0].Last == 9999);
  CHECK(Grant->Ranges[1].Last == LastPoint - 1);
}
