#include "dragonflyvane/core/ownership/grant_tracker.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_incarnation Incarnation{"i-1", 1000};
constexpr milliseconds MaxHoldDuration{10'000};
constexpr milliseconds MoveDelay{900};

struct book_trial {
  book_trial() {
    Map.Ranges[0].Owner = "here";
    Map.Ranges[0].Incarnation = Incarnation;
    Map.Ranges[0].Token = 5;
  }

  std::optional<grant> sendHeartbeat(const held_keys &Keys = {}) {
    Grants.observe(Map, ReleaseAll, Clock.now());
    return Grants.onHeartbeat(Incarnation, Keys, Map,
                              Clock.now() + milliseconds(4000), Clock.now());
  }

  size_t freeCount() {
    Grants.observe(Map, ReleaseAll, Clock.now());
    return Grants.releasableRanges(Map, Clock.now()).size();
  }

  manual_clock Clock;
  grant_tracker Grants{{"here", MaxHoldDuration, MoveDelay}, Clock.now()};
  ownership_map Map;
  bool ReleaseAll = false;
};

const held_keys HoldsAll{{{0, LastPoint, 5}}, {}};

} // namespace

TEST_CASE("a grant ends before the lease by any clock that is 2 % slow") {
  book_trial Trial;
  auto Grant = Trial.sendHeartbeat();
  REQUIRE(Grant);
  CHECK(Grant->Ranges.size() == 1);
  CHECK(Grant->HoldDuration * 1.02 <= milliseconds(4000));
  CHECK(Trial.Grants.holds(77, Trial.Clock.now()));
  Trial.Clock.advance(milliseconds(4000));
  CHECK(!Trial.Grants.holds(77, Trial.Clock.now()));
}

TEST_CASE("a range that is to move stays until its receiver is ready for it") {
  book_trial Trial;
  Trial.sendHeartbeat();
  Trial.Map.Ranges[0].NextOwner = "there";
  CHECK(Trial.sendHeartbeat(HoldsAll)->Ranges.size() == 1);
  Trial.Clock.advance(MoveDelay);
  CHECK(Trial.sendHeartbeat(HoldsAll)->Ranges.empty());
  CHECK(Trial.freeCount() == 0);
  Trial.sendHeartbeat({{}, {{0, LastPoint, "h"}}});
  CHECK(Trial.freeCount() == 1);
  CHECK(
      Trial.Grants.releasableRanges(Trial.Map, Trial.Clock.now())[0].Handover ==
      "h");
}

TEST_CASE("a silent server's holds count until they have run out") {
  book_trial Trial;
  Trial.sendHeartbeat();
  // By now only what this daemon granted can be out.
  Trial.Clock.advance(MaxHoldDuration);
  Trial.sendHeartbeat(HoldsAll);
  Trial.ReleaseAll = true;
  Trial.freeCount();
  Trial.Clock.advance(milliseconds(3000));
  CHECK(Trial.freeCount() == 0);
  Trial.Clock.advance(milliseconds(1100));
  CHECK(Trial.freeCount() == 1);
}

TEST_CASE("what an earlier run of the daemon granted counts too") {
  book_trial Trial;
  Trial.ReleaseAll = true;
  Trial.freeCount();
  Trial.Clock.advance(milliseconds(5000));
  CHECK(Trial.freeCount() == 0);
  Trial.Clock.advance(milliseconds(5001));
  CHECK(Trial.freeCount() == 1);
}

TEST_CASE("a relinquished range is not granted again under its token") {
  book_trial Trial;
  Trial.Grants.relinquish(Trial.Map.Ranges[0]);
  CHECK(Trial.sendHeartbeat()->Ranges.empty());
  Trial.Map.Ranges[0].Token = 6;
  CHECK(Trial.sendHeartbeat()->Ranges.size() == 1);
}

TEST_CASE(
    "a server that waits for a range is made to send heartbeats quickly") {
  book_trial Trial;
  Trial.Map.splitBefore(60000);
  Trial.Map.Ranges[1].Owner = "there";
  Trial.Map.Ranges[1].NextOwner = "here";
  auto Last = [](const grant &Grant, key_point Point) {
    for (const granted_range &Range : Grant.Ranges)
      if (Range.First <= Point && Point <= Range.Last)
        return true;
    return false;
  };
  auto First = Trial.sendHeartbeat();
  CHECK(!Last(*First, 59999));
  CHECK(Last(*First, 59998));
  auto Second = Trial.sendHeartbeat({{{0, 59998, 5}}, {{59999, 59999, "h"}}});
  CHECK(Last(*Second, 59999));
  CHECK(!Last(*Second, 59998));
}

TEST_CASE("a server that gives a range away sends heartbeats quickly too") {
  book_trial Trial;
  Trial.Map.splitBefore(10000);
  Trial.Map.Ranges[0].NextOwner = "there";
  auto Grant = Trial.sendHeartbeat();
  // The range that goes is whole, a point of the one that stays is left out.
  REQUIRE(Grant->Ranges.size() == 2);
  CHECK(Grant->Ranges[0].Last == 9999);
  CHECK(Grant->Ranges[1].Last == LastPoint - 1);
}
