#include "dragonflyvane/core/ownership/grant_book.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const server_life Life{"i-1", 1000};
constexpr milliseconds LongestHold{10'000};
constexpr milliseconds MoveDelay{900};

struct book_trial {
  book_trial() {
    Map.Ranges[0].Owner = "here";
    Map.Ranges[0].Life = Life;
    Map.Ranges[0].Token = 5;
  }

  std::optional<grant> beat(const held_keys &Keys = {}) {
    Book.observe(Map, GiveUp, Clock.now());
    return Book.onHeartbeat(Life, Keys, Map, Clock.now() + milliseconds(4000),
                            Clock.now());
  }

  size_t freeCount() {
    Book.observe(Map, GiveUp, Clock.now());
    return Book.freeRanges(Map, Clock.now()).size();
  }

  manual_clock Clock;
  grant_book Book{{"here", LongestHold, MoveDelay}, Clock.now()};
  ownership_map Map;
  bool GiveUp = false;
};

const held_keys HoldsAll{{{0, LastPoint, 5}}, {}};

} // namespace

TEST_CASE("a grant ends before the lease by any clock that is 2 % slow") {
  book_trial Trial;
  auto Grant = Trial.beat();
  REQUIRE(Grant);
  CHECK(Grant->Ranges.size() == 1);
  CHECK(Grant->Hold * 1.02 <= milliseconds(4000));
  CHECK(Trial.Book.holds(77, Trial.Clock.now()));
  Trial.Clock.advance(milliseconds(4000));
  CHECK(!Trial.Book.holds(77, Trial.Clock.now()));
}

TEST_CASE("a range that is to move stays until its receiver is ready for it") {
  book_trial Trial;
  Trial.beat();
  Trial.Map.Ranges[0].Next = "there";
  CHECK(Trial.beat(HoldsAll)->Ranges.size() == 1);
  Trial.Clock.advance(MoveDelay);
  CHECK(Trial.beat(HoldsAll)->Ranges.empty());
  CHECK(Trial.freeCount() == 0);
  Trial.beat({{}, {{0, LastPoint, "h"}}});
  CHECK(Trial.freeCount() == 1);
  CHECK(Trial.Book.freeRanges(Trial.Map, Trial.Clock.now())[0].Handover == "h");
}

TEST_CASE("a silent server's holds count until they have run out") {
  book_trial Trial;
  Trial.beat();
  // By now only what this daemon granted can be out.
  Trial.Clock.advance(LongestHold);
  Trial.beat(HoldsAll);
  Trial.GiveUp = true;
  Trial.freeCount();
  Trial.Clock.advance(milliseconds(3000));
  CHECK(Trial.freeCount() == 0);
  Trial.Clock.advance(milliseconds(1100));
  CHECK(Trial.freeCount() == 1);
}

TEST_CASE("what an earlier run of the daemon granted counts too") {
  book_trial Trial;
  Trial.GiveUp = true;
  Trial.freeCount();
  Trial.Clock.advance(milliseconds(5000));
  CHECK(Trial.freeCount() == 0);
  Trial.Clock.advance(milliseconds(5001));
  CHECK(Trial.freeCount() == 1);
}

TEST_CASE("a relinquished range is not granted again under its token") {
  book_trial Trial;
  Trial.Book.relinquish(Trial.Map.Ranges[0]);
  CHECK(Trial.beat()->Ranges.empty());
  Trial.Map.Ranges[0].Token = 6;
  CHECK(Trial.beat()->Ranges.size() == 1);
}

TEST_CASE(
    "a server that waits for a range is made to send heartbeats quickly") {
  book_trial Trial;
  Trial.Map.cutBefore(60000);
  Trial.Map.Ranges[1].Owner = "there";
  Trial.Map.Ranges[1].Next = "here";
  auto Last = [](const grant &Grant, key_point Point) {
    for (const granted_range &Range : Grant.Ranges)
      if (Range.First <= Point && Point <= Range.Last)
        return true;
    return false;
  };
  auto First = Trial.beat();
  CHECK(!Last(*First, 59999));
  CHECK(Last(*First, 59998));
  auto Second = Trial.beat({{{0, 59998, 5}}, {{59999, 59999, "h"}}});
  CHECK(Last(*Second, 59999));
  CHECK(!Last(*Second, 59998));
}

TEST_CASE("a server that gives a range away sends heartbeats quickly too") {
  book_trial Trial;
  Trial.Map.cutBefore(10000);
  Trial.Map.Ranges[0].Next = "there";
  auto Grant = Trial.beat();
  // The range that goes is whole, a point of the one that stays is left out.
  REQUIRE(Grant->Ranges.size() == 2);
  CHECK(Grant->Ranges[0].Last == 9999);
  CHECK(Grant->Ranges[1].Last == LastPoint - 1);
}
