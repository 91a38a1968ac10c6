#include "dragonflyvane/core/ownership/assignment.hpp"

#include "dragonflyvane/core/error.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

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

TEST_CASE("a first map gives each backend server its fair part") {
  ownership_map Map = firstMap(9);
  for (const candidate &C : candidates(9))
    CHECK(pointsOf(Map, C.Host) == doctest::Approx(65536.0 / 9).epsilon(0.01));
  CHECK(Map.Ranges.size() == 9);
  CHECK(Map.find(0).Token == 7);
}

TEST_CASE("the keys of a lost host go to all others, with a higher token") {
  ownership_map Map = firstMap(4);
  CHECK(unassignRanges(Map, {"host1"}));
  CHECK(pointsOf(Map, "host1") == 0);
  std::vector<candidate> Rest = candidates(4);
  Rest.erase(Rest.begin() + 1);
  CHECK(assignUnownedRanges(Map, Rest, {9, 0.2}));
  for (const candidate &C : Rest)
    CHECK(pointsOf(Map, C.Host) == doctest::Approx(65536.0 / 3).epsilon(0.01));
  CHECK(Map.find(20000).Token == 9);
  CHECK(!unassignRanges(Map, {"host1"}));
}

TEST_CASE(
    "a leaving host is ordered to hand over, and not to one that leaves") {
  ownership_map Map = firstMap(3);
  std::vector<candidate> Rest = candidates(3);
  Rest.erase(Rest.begin());
  CHECK(planMoves(Map, Rest));
  for (const owned_range &Range : Map.Ranges)
    CHECK(Range.NextOwner.empty() == (Range.Owner != "host0"));
  // The receiver leaves too: the order is taken back and given anew.
  std::vector<candidate> Last = {Rest.back()};
  CHECK(planMoves(Map, Last));
  for (const owned_range &Range : Map.Ranges)
    CHECK((Range.Owner == "host2" || Range.NextOwner == "host2"));
}

TEST_CASE("a free range that has a receiver goes to it") {
  ownership_map Map = firstMap(2);
  Map.Ranges[0].Owner.clear();
  Map.Ranges[0].NextOwner = "host1";
  Map.Ranges[0].Handover = "h";
  CHECK(assignUnownedRanges(Map, candidates(2), {9, 0.2}));
  CHECK(Map.find(0).Owner == "host1");
  CHECK(Map.find(0).Handover == "h");
  CHECK(Map.find(0).NextOwner.empty());
}

TEST_CASE("without load, a host that joins is given points") {
  ownership_map Map = firstMap(3);
  plan_options Options{9, 0.5};
  CHECK(planRebalance(Map, candidates(4), {}, Options));
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    Points += Range.NextOwner == "host3" ? Range.size() : 0;
  CHECK(Points > 1000);
}

TEST_CASE("a map survives its row, and a bad row is refused") {
  ownership_map Map = firstMap(5);
  Map.Ranges[2].NextOwner = "host0";
  Map.Ranges[3].Owner.clear();
  Map.Ranges[3].Incarnation = {};
  Map.Ranges[3].Handover = "5c0e";
  CHECK(decodeMap(encodeMap(Map)) == Map);
  CHECK_THROWS_AS(decodeMap("nonsense"), step_error);
  CHECK_THROWS_AS(decodeMap(R"({"ranges":[]})"), step_error);
  auto Bad = [](const std::string &Ranges) {
    return R"({"owners":[["a","i",1]],"ranges":)" + Ranges + "}";
  };
  CHECK_NOTHROW(decodeMap(Bad("[[0,0,1,-1]]")));
  CHECK_THROWS_AS(decodeMap(Bad("[[5,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(Bad("[[0,0,1,-1],[0,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(Bad("[[0,0,1,-1],[70000,0,1,-1]]")), step_error);
  CHECK_THROWS_AS(decodeMap(Bad("[[0,7,1,-1]]")), step_error);
}

TEST_CASE("hot keys elsewhere are moved while an older move still waits") {
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
