#include "dragonflyvane/core/ownership/assignment.hpp"

#include "dragonflyvane/core/error.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

/// The number of ranges that the response to a heartbeat can grant.
constexpr int MaxRangesPerResponse = 87;

std::vector<candidate> candidates(int Count) {
  std::vector<candidate> Result;
  Result.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Result.push_back({"host" + std::to_string(I), {"i", I}, 9});
  return Result;
}

double pointsOf(const ownership_map &Map, const std::string &Host) {
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    Points += Range.Owner == Host ? Range.size() : 0;
  return Points;
}

ownership_map firstMap(int Count) {
  ownership_map Map;
  assignUnownedRanges(Map, candidates(Count), {7, 0.2});
  return Map;
}

} // namespace

TEST_CASE("the first map gives each backend server its fair share") {
  ownership_map Map = firstMap(9);
  for (const candidate &C : candidates(9))
    CHECK(pointsOf(Map, C.Host) == doctest::Approx(65536.0 / 9).epsilon(0.01));
  CHECK(Map.Ranges.size() == 9);
  CHECK(Map.find(0).Token == 7);
}

TEST_CASE(
    "the keys of a lost host go to all other hosts, with a higher token") {
  ownership_map Map = firstMap(4);
  CHECK(unassignRanges(Map, {"host1"}));
  CHECK(pointsOf(Map, "host1") == 0);
  std::vector<candidate> Remaining = candidates(4);
  Remaining.erase(Remaining.begin() + 1);
  CHECK(assignUnownedRanges(Map, Remaining, {9, 0.2}));
  for (const candidate &C : Remaining)
    CHECK(pointsOf(Map, C.Host) == doctest::Approx(65536.0 / 3).epsilon(0.01));
  CHECK(Map.find(20000).Token == 9);
  CHECK(!unassignRanges(Map, {"host1"}));
}

TEST_CASE(
    "ranges move away from a leaving host, and not to another leaving host") {
  ownership_map Map = firstMap(3);
  std::vector<candidate> Remaining = candidates(3);
  Remaining.erase(Remaining.begin());
  CHECK(planMoves(Map, Remaining));
  for (const owned_range &Range : Map.Ranges)
    CHECK(Range.NextOwner.empty() == (Range.Owner != "host0"));
  // The next owner leaves too: the move is cancelled and planned again.
  std::vector<candidate> Last = {Remaining.back()};
  CHECK(planMoves(Map, Last));
  for (const owned_range &Range : Map.Ranges)
    CHECK((Range.Owner == "host2" || Range.NextOwner == "host2"));
}

TEST_CASE("an unowned range with a planned next owner is assigned to it") {
  ownership_map Map = firstMap(2);
  Map.Ranges[0].Owner.clear();
  Map.Ranges[0].NextOwner = "host1";
  Map.Ranges[0].Handover = "h";
  CHECK(assignUnownedRanges(Map, candidates(2), {9, 0.2}));
  CHECK(Map.find(0).Owner == "host1");
  CHECK(Map.find(0).Handover == "h");
  CHECK(Map.find(0).NextOwner.empty());
}

TEST_CASE("without load data a host that joins receives points") {
  ownership_map Map = firstMap(3);
  plan_options Options{9, 0.5};
  CHECK(planRebalance(Map, candidates(4), {}, Options));
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    Points += Range.NextOwner == "host3" ? Range.size() : 0;
  CHECK(Points > 1000);
}

TEST_CASE("a map is decoded as encoded, and an invalid row is rejected") {
  ownership_map Map = firstMap(5);
  Map.Ranges[2].NextOwner = "host0";
  Map.Ranges[3].Owner.clear();
  Map.Ranges[3].Incarnation = {};
  Map.Ranges[3].Handover = "5c0e";
  CHECK(decodeMap(encodeMap(Map)) == Map);
  CHECK_THROWS_AS(decodeMap("nonsense"), step_error);
  CHECK_THROWS_AS(decodeMap(R"({"ranges":[]})"), step_error);
  auto RowOf = [](const std::string &Ranges) {
    return R"({"owners":[["a","i",1]],"ranges":)" + Ranges + "}";
  };
  CHECK_NOTHROW(decodeMap(RowOf("[[0,0,1,-1]]")));
  CHECK_THROWS_AS(decodeMap(RowOf("[[5,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(RowOf("[[0,0,1,-1],[0,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(RowOf("[[0,0,1,-1],[70000,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(RowOf("[[0,7,1,-1]]")), step_error);
}

TEST_CASE("hot keys are moved while an earlier move is still pending") {
  std::vector<candidate> All;
  All.reserve(4);
  for (int I = 0; I < 4; ++I)
    All.push_back({"h" + std::to_string(I), {"i", I}, 6});
  ownership_map Map;
  for (key_point I = 1; I < 4; ++I)
    Map.splitBefore(I * 16384);
  for (int I = 0; I < 4; ++I)
    Map.Ranges[I].Owner = "h" + std::to_string(I);
  Map.splitBefore(60000);
  Map.Ranges.back().NextOwner = "h2";
  std::map<std::string, load_report> Loads;
  for (int I = 0; I < 4; ++I) {
    std::vector<key_point> Busy;
    for (key_point J = 0; J < 20; ++J)
      Busy.push_back(I * 16384 + J * 10);
    Loads["h" + std::to_string(I)] = {I == 0 ? 200.0 : 10.0, Busy, 0, 0.1};
  }
  ownership_map Before = Map;
  CHECK(planRebalance(Map, All, Loads, {7}));
  CHECK(Map != Before);
}

// After a restart of all backend servers, each daemon wrote the map itself, and
// the writes conflicted.
TEST_CASE("ranges of replaced servers stay at their hosts, in one change") {
  ownership_map Map = firstMap(4);
  std::vector<candidate> Replaced = candidates(4);
  for (candidate &C : Replaced)
    C.Incarnation.StartedAtMs += 1000;
  CHECK(renewIncarnations(Map, Replaced, {9, 0.2}));
  for (const owned_range &Range : Map.Ranges)
    CHECK(Range.Token == 9);
  CHECK(Map.find(0).Owner == "host0");
  CHECK(Map.find(0).Incarnation == Replaced[0].Incarnation);
  CHECK(!renewIncarnations(Map, Replaced, {11, 0.2}));
}

// Guards against splits that make a grant too large, where few servers divide
// the keys.
TEST_CASE("a map of few servers is not split without end") {
  constexpr size_t RangeLimit = 120;
  ownership_map Map = firstMap(1);
  while (Map.Ranges.size() < RangeLimit) {
    Map.splitBefore(static_cast<key_point>(100 * Map.Ranges.size()));
    Map.Ranges[Map.Ranges.size() - 1].Token = 100 + Map.Ranges.size();
  }
  ownership_map Smaller = Map;
  Smaller.Ranges[1].Token = Smaller.Ranges[0].Token;
  Smaller.mergeAdjacent();
  REQUIRE(Smaller.Ranges.size() == RangeLimit - 1);
  CHECK(!planRebalance(Map, candidates(2), {}, {1000, 0.2}));
  CHECK(planRebalance(Smaller, candidates(2), {}, {1000, 0.2}));
}

// Guards against owners with more ranges than the response to a heartbeat can
// hold (87), after the loss of all but a few hosts of a large service.
TEST_CASE("the keys of many lost hosts go to the others in few ranges") {
  for (int Remaining : {1, 2, 3, 5}) {
    CAPTURE(Remaining);
    constexpr int Hosts = 228;
    ownership_map Map = firstMap(Hosts);
    // Each range has another token, as after single moves.
    for (size_t I = 0; I < Map.Ranges.size(); ++I)
      Map.Ranges[I].Token = 100 + I;
    std::vector<candidate> All = candidates(Hosts);
    std::vector<candidate> Left;
    std::set<std::string> Lost;
    for (int I = 0; I < Hosts; ++I) {
      bool IsLeft = I % (Hosts / Remaining) == 0 &&
                    Left.size() < static_cast<size_t>(Remaining);
      if (IsLeft)
        Left.push_back(All[I]);
      else
        Lost.insert(All[I].Host);
    }
    unassignRanges(Map, Lost);
    assignUnownedRanges(Map, Left, {1000, 0.2});
    std::map<std::string, int> RangeCounts;
    for (const owned_range &Range : Map.Ranges)
      ++RangeCounts[Range.Owner];
    for (const candidate &C : Left) {
      CHECK(RangeCounts[C.Host] <= MaxRangesPerResponse);
      CHECK(pointsOf(Map, C.Host) ==
            doctest::Approx(65536.0 / Remaining).epsilon(0.05));
    }
    for (const owned_range &Range : Map.Ranges) {
      bool IsKept = Range.Token < 1000;
      CHECK((IsKept || Range.Token == 1000));
    }
  }
}

// A released range whose next owner was not ready counted twice for that owner.
// Then no host was below its share, and the rest was split into single points.
TEST_CASE("unowned ranges are not split into tiny parts") {
  ownership_map Map = firstMap(4);
  Map.splitBefore(57344);
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == "host3")
      Range.Owner.clear();
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner.empty() && Range.First < 57344)
      Range.NextOwner = "host3";
  CHECK(assignUnownedRanges(Map, candidates(4), {9, 0.2}));
  CHECK(Map.Ranges.size() <= 8);
}

// Guards against moves of most ranges after an outage that has ended all
// leases: the first hosts that have renewed would get those of the others.
TEST_CASE("ranges stay with hosts that lack nothing but a lease") {
  ownership_map Map = firstMap(4);
  std::vector<candidate> Renewed = candidates(4);
  Renewed.erase(Renewed.begin() + 1, Renewed.begin() + 3);
  ownership_map Before = Map;
  CHECK(!planMoves(Map, Renewed, {"host1", "host2"}));
  CHECK(Map == Before);
  CHECK(planMoves(Map, Renewed, {"host1"}));
  for (const owned_range &Range : Map.Ranges)
    CHECK(Range.NextOwner.empty() == (Range.Owner != "host2"));
}
