#include "dragonflyvane/core/ownership/call_grants.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_incarnation Incarnation{"i-1", 1000};
constexpr milliseconds MaxHold{5000};
constexpr milliseconds Lease{5000};
constexpr milliseconds UnplannedReleaseDelay{900};

/// A host that owns all keys, once the grants of earlier daemons have expired.
struct call_grants_fixture {
  call_grants_fixture() {
    Map.Ranges[0].Owner = "here";
    Map.Ranges[0].Incarnation = Incarnation;
    Map.Ranges[0].Token = 5;
    Policy.startIncarnation(Incarnation);
    Clock.advance(MaxHold);
    // The run of the daemon began before the keys were assigned.
    Grants.takeDueCalls(Policy, ownership_map{}, Clock.now(), Clock.now());
  }

  std::vector<key_call> takeCalls() {
    Policy.observe(Map, ReleaseAllSince, Clock.now());
    return Grants.takeDueCalls(Policy, Map, Clock.now() + Lease, Clock.now());
  }

  /// Takes the one call that is due, and ends it.
  key_call makeCall(key_call_outcome Outcome) {
    std::vector<key_call> Calls = takeCalls();
    REQUIRE(Calls.size() == 1);
    end(Calls[0], Outcome);
    return Calls[0];
  }

  void end(const key_call &Call, key_call_outcome Outcome) {
    Grants.onResult(Call.Id, {Outcome, "handover", ""}, Clock.now());
  }

  size_t countReleasable() {
    Policy.observe(Map, ReleaseAllSince, Clock.now());
    return releasableRanges(Policy, Grants, Map, Clock.now()).size();
  }

  bool holds(key_point Point) { return Grants.holds(Point, Clock.now()); }

  manual_clock Clock;
  grant_policy Policy{
      {"here", milliseconds(10'000), UnplannedReleaseDelay, {}}};
  call_grants Grants{MaxHold, Clock.now()};
  ownership_map Map;
  std::optional<time_point> ReleaseAllSince;
};

} // namespace

// A hold that outlives the host's lease would overlap with the next owner's.
TEST_CASE("a granted hold ends before the lease, however late the call arrives "
          "and however slow the server's clock is") {
  call_grants_fixture Fixture;
  key_call Call = Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Call.Kind == key_call_kind::Grant);
  CHECK(MaxCallArrivalDelay + longestHold(Call.HoldDuration) <= Lease);
  CHECK(Fixture.holds(77));
  Fixture.Clock.advance(Call.HoldDuration);
  CHECK(!Fixture.holds(77));
}

TEST_CASE("a grant is renewed in time, under the same token") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Fixture.takeCalls().empty());
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.holds(77));
  key_call Renewal = Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Renewal.Range.Token == 5);
  CHECK(Renewal.IsRepeated);
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.holds(77));
}

TEST_CASE("a range is released by call before it moves, and no new work "
          "starts on it meanwhile") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Map.Ranges[0].NextOwner = "there";
  std::vector<key_call> Calls = Fixture.takeCalls();
  REQUIRE(Calls.size() == 1);
  CHECK(Calls[0].Kind == key_call_kind::Release);
  CHECK(!Fixture.holds(77));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.end(Calls[0], key_call_outcome::Accepted);
  CHECK(Fixture.countReleasable() == 1);
  CHECK(Fixture.Grants.handoverOf(Fixture.Map.Ranges[0]) == "handover");
  CHECK(Fixture.takeCalls().empty());
}

// The release of one part of a busy range must not end the grant of the rest,
// which may be due for renewal while the work on the part still runs.
TEST_CASE("a part is released while the rest is renewed") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Map.splitBefore(1000);
  Fixture.Map.Ranges[1].NextOwner = "there";
  std::vector<key_call> Calls = Fixture.takeCalls();
  REQUIRE(Calls.size() == 1);
  CHECK(Calls[0].Range.First == 1000);
  CHECK(Fixture.holds(999));
  CHECK(!Fixture.holds(1000));
  Fixture.Clock.advance(milliseconds(3000));
  key_call Renewal = Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Renewal.Kind == key_call_kind::Grant);
  CHECK(Renewal.Range.Last == 999);
  Fixture.end(Calls[0], key_call_outcome::Accepted);
  CHECK(Fixture.countReleasable() == 1);
}

// The server may apply the call after the release, and would hold the range
// again beside its next owner.
TEST_CASE("a grant without a response delays a release until it has expired") {
  call_grants_fixture Fixture;
  key_call Lost = Fixture.makeCall(key_call_outcome::Unknown);
  Fixture.Clock.advance(milliseconds(500));
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Map.Ranges[0].NextOwner = "there";
  Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(MaxCallArrivalDelay + longestHold(Lost.HoldDuration));
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE("a grant without a response has no effect after an answered one with "
          "a higher token") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Unknown);
  Fixture.Clock.advance(milliseconds(500));
  Fixture.Map.Ranges[0].Token = 6;
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Map.Ranges[0].NextOwner = "there";
  Fixture.makeCall(key_call_outcome::Accepted);
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE("a release without a response is repeated, and the hold counts until "
          "it has expired") {
  call_grants_fixture Fixture;
  key_call Grant = Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Map.Ranges[0].NextOwner = "there";
  Fixture.makeCall(key_call_outcome::Unknown);
  CHECK(Fixture.takeCalls().empty());
  Fixture.Clock.advance(milliseconds(200));
  CHECK(Fixture.makeCall(key_call_outcome::Unknown).Kind ==
        key_call_kind::Release);
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(longestHold(Grant.HoldDuration));
  CHECK(Fixture.countReleasable() == 1);
}

// Repeating it would be refused for ever, and the range would serve nobody.
TEST_CASE("a range is given up if the server has seen a higher token") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::HigherTokenSeen);
  CHECK(Fixture.takeCalls().empty());
  CHECK(Fixture.countReleasable() == 1);
  Fixture.Map.Ranges[0].Token = 9;
  CHECK(Fixture.makeCall(key_call_outcome::Accepted).Range.Token == 9);
}

TEST_CASE("a failed call is repeated after a delay, or with a heartbeat") {
  for (auto Outcome : {key_call_outcome::NotSent, key_call_outcome::Rejected,
                       key_call_outcome::ConnectionRefused}) {
    call_grants_fixture Fixture;
    Fixture.makeCall(Outcome);
    CHECK(Fixture.takeCalls().empty());
    CHECK(!Fixture.holds(77));
    Fixture.Grants.retryAtOnce();
    CHECK(!Fixture.makeCall(key_call_outcome::Accepted).IsRepeated);
    CHECK(Fixture.holds(77));
  }
}

// The server lost the hold, for instance because it restarted in place.
TEST_CASE("a range is granted again once the server refused one of its keys") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Grants.onKeyRefused(77);
  CHECK(!Fixture.holds(77));
  CHECK(Fixture.makeCall(key_call_outcome::Accepted).Kind ==
        key_call_kind::Grant);
}

TEST_CASE("grants of an earlier run of the daemon count until they have "
          "expired, and are renewed at once") {
  call_grants_fixture Fixture;
  Fixture.Grants = call_grants(MaxHold, Fixture.Clock.now());
  CHECK(Fixture.makeCall(key_call_outcome::Accepted).IsRepeated);
  Fixture.Map.Ranges[0].NextOwner = "there";
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Clock.advance(MaxHold - milliseconds(1));
  CHECK(Fixture.countReleasable() == 0);
  Fixture.Clock.advance(milliseconds(1));
  CHECK(Fixture.countReleasable() == 1);
}

// A call may have reached the new incarnation before its first heartbeat, so
// its holds are released and not forgotten.
TEST_CASE("a new incarnation has to release what the latest calls granted") {
  call_grants_fixture Fixture;
  Fixture.makeCall(key_call_outcome::Accepted);
  Fixture.Policy.startIncarnation({"i-1", 2000});
  Fixture.Grants.startIncarnation(Fixture.Clock.now());
  CHECK(Fixture.countReleasable() == 0);
  CHECK(Fixture.makeCall(key_call_outcome::Accepted).Kind ==
        key_call_kind::Release);
  CHECK(Fixture.countReleasable() == 1);
}

TEST_CASE("few repeated grants are open at once") {
  call_grants_fixture Fixture;
  for (key_point Point = 1000; Point < 9000; Point += 1000) {
    Fixture.Map.splitBefore(Point);
    Fixture.Map.Ranges.back().Token = 5 + Point;
  }
  std::vector<key_call> First = Fixture.takeCalls();
  CHECK(First.size() == 9);
  for (const key_call &Call : First)
    Fixture.end(Call, key_call_outcome::Accepted);
  Fixture.Clock.advance(milliseconds(3000));
  CHECK(Fixture.takeCalls().size() == 4);
}
