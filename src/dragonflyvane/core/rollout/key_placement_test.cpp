#include "dragonflyvane/core/rollout/key_placement.hpp"

#include "dragonflyvane/core/ownership/assignment.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

/// Four old servers that own all keys, and two new ones.
struct key_placement_fixture {
  key_placement_fixture() {
    for (const char *Host : {"old-1", "old-2", "old-3", "old-4"})
      add(Host, "v1");
    for (const char *Host : {"new-1", "new-2"})
      add(Host, "v2");
    assignUnownedRanges(Map, place().Owners, {1});
  }

  void add(const std::string &Host, const std::string &Version) {
    host_info Info;
    Info.PeerEndpoint = {"127.0.0.1", 7780};
    Info.Service = "desk";
    Info.Version = Version;
    View.apply({hostRow(Host), ++Row, encodeHost(Info)});
    Candidates.push_back({Host, {Host, 1}, 9});
  }
  void write(rollout_outcome Outcome, rollout_step Step, double Share) {
    rollout_state State;
    State.To = "v2";
    State.Sequence = ++Row;
    State.Outcome = Outcome;
    State.Step = Step;
    State.Share = Share;
    State.Canaries = {"new-1"};
    View.apply({rolloutRow("desk"), ++Row, encodeRollout(State)});
  }
  key_placement place() {
    return placeKeys(version_filter(View, OperatorState, "desk"), View,
                     Candidates);
  }
  double shareOf(const std::string &Host) {
    double Points = 0;
    for (const owned_range &Range : Map.Ranges)
      if ((Range.NextOwner.empty() ? Range.Owner : Range.NextOwner) == Host)
        Points += Range.size();
    return Points / (LastPoint + 1.0);
  }

  cluster_view View;
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  ownership_map Map;
  std::vector<candidate> Candidates;
  row_version Row = 0;
};

} // namespace

// Guards against new servers that get keys before the rollout allows it, and
// against a small share that planning takes back or increases.
TEST_CASE("a small share of the keys moves to the chosen new server only") {
  key_placement_fixture F;
  F.write(rollout_outcome::Running, rollout_step::Waiting, 0);
  F.Map = {};
  assignUnownedRanges(F.Map, F.place().Owners, {1});
  CHECK(F.shareOf("new-1") == 0);
  F.write(rollout_outcome::Running, rollout_step::Canary, 0.05);
  key_placement Placement = F.place();
  CHECK(planShare(F.Map, Placement));
  CHECK(F.shareOf("new-1") == doctest::Approx(0.05).epsilon(0.02));
  CHECK(F.shareOf("new-2") == 0);
  CHECK(!planShare(F.Map, Placement));
  CHECK(!planMoves(F.Map, Placement.Owners));
}

// Guards against keys that stay at a bad version, or at old servers that stop
// without draining.
TEST_CASE("all keys leave a version that is rolled back, and the old one at "
          "the end") {
  key_placement_fixture F;
  F.write(rollout_outcome::Running, rollout_step::All, 1);
  CHECK(planMoves(F.Map, F.place().Owners));
  CHECK(F.shareOf("new-1") + F.shareOf("new-2") == doctest::Approx(1));
  F.write(rollout_outcome::RolledBack, rollout_step::All, 0);
  CHECK(planMoves(F.Map, F.place().Owners));
  CHECK(F.shareOf("new-1") + F.shareOf("new-2") == 0);
}
