#include "ownership_simulation.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace dragonflyvane;

namespace {

constexpr std::chrono::seconds StartTime{6};
constexpr std::chrono::seconds RecoveryTime{14};
constexpr int Disturbances = 25;
/// A key that moves may be without an owner for a moment.
constexpr std::chrono::seconds OwnedWithin{2};

uint64_t number(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

simulation_report play(uint64_t Seed, simulation_defects Flaws = {}) {
  ownership_simulation Simulation(Seed, 5, Flaws);
  std::mt19937_64 Random(Seed);
  Simulation.runFor(StartTime);
  for (int I = 0; I < Disturbances; ++I) {
    Simulation.disturb();
    Simulation.runFor(std::chrono::milliseconds(100 + Random() % 1900));
  }
  Simulation.calm();
  Simulation.runFor(RecoveryTime);
  simulation_report Report = Simulation.report();
  Report.Owned =
      static_cast<int>(Simulation.ownedPartWithin(OwnedWithin) * 100);
  if (Report.Owned < 100 && Simulation.map())
    MESSAGE("seed " << Seed << " ends with " << encodeMap(*Simulation.map())
                    << Simulation.describe());
  return Report;
}

/// Seeds until the checks notice a flaw; 0 when none does.
uint64_t seedsUntilFound(simulation_defects Flaws, uint64_t Most) {
  for (uint64_t Seed = 1; Seed <= Most; ++Seed) {
    simulation_report Report = play(Seed, Flaws);
    if (Report.TwoOwners + Report.TokensNotRisen + Report.StaleGrants > 0)
      return Seed;
  }
  return 0;
}

} // namespace

TEST_CASE("a calm cluster gives every key an owner") {
  ownership_simulation Simulation(1, 5);
  Simulation.runFor(StartTime);
  CHECK(Simulation.ownedPart() == 1.0);
  CHECK(Simulation.report().TwoOwners == 0);
}

TEST_CASE("random faults never make two owners, and keys are owned again") {
  uint64_t First = number("DRAGONFLYVANE_FIRST_SEED", 1);
  uint64_t Count = number("DRAGONFLYVANE_SEEDS", 20);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    CAPTURE(Seed);
    simulation_report Report = play(Seed);
    CHECK(Report.TwoOwners == 0);
    CHECK(Report.TokensNotRisen == 0);
    CHECK(Report.StaleGrants == 0);
    CHECK(Report.Owned == 100);
  }
}

TEST_CASE("the checks find each broken rule") {
  constexpr uint64_t Most = 300;
  simulation_defects Maps;
  Maps.Store = fake_store::defect::IgnoresMapConditions;
  CHECK(seedsUntilFound(Maps, Most) > 0);
  simulation_defects Clock;
  Clock.Store = fake_store::defect::FastClock;
  CHECK(seedsUntilFound(Clock, Most) > 0);
  simulation_defects Slow;
  Slow.ServerClockSpeed = 0.6;
  CHECK(seedsUntilFound(Slow, Most) > 0);
  simulation_defects Release;
  Release.EarlyRelease = true;
  CHECK(seedsUntilFound(Release, Most) > 0);
}

namespace {

/// A host loses its lease, and comes back while its own watch and that of its
/// collector have gone silent.
simulation_report returnDeaf(simulation_defects Flaws) {
  ownership_simulation Simulation(7, 5, Flaws);
  Simulation.runFor(StartTime);
  Simulation.deafen(1, true);
  Simulation.deafen(3, true);
  Simulation.isolate(1, true);
  Simulation.runFor(std::chrono::seconds(9));
  Simulation.isolate(1, false);
  Simulation.runFor(std::chrono::seconds(6));
  return Simulation.report();
}

} // namespace

TEST_CASE("a lapsed host does not renew its lease as if nothing had happened") {
  simulation_defects Renewals;
  Renewals.NoNews = true;
  CHECK(returnDeaf(Renewals).TwoOwners == 0);
  Renewals.Store = fake_store::defect::RenewalsAlwaysCommit;
  CHECK(returnDeaf(Renewals).TwoOwners > 0);
}

TEST_CASE("a host without a way to the store goes on through its collector") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartTime);
  Simulation.cut(1, true);
  Simulation.runFor(std::chrono::seconds(9));
  CHECK(Simulation.server(1).tokenOf(16384));
  CHECK(Simulation.ownedPart() == 1.0);
}

TEST_CASE("the loss of a collector leaves its neighbours their leases") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartTime);
  Simulation.isolate(0, true);
  for (int Second = 0; Second < 12; ++Second) {
    Simulation.runFor(std::chrono::seconds(1));
    CHECK(Simulation.server(2).tokenOf(30000));
    CHECK(Simulation.server(4).tokenOf(49152));
  }
  CHECK(Simulation.ownedPart() == 1.0);
}

TEST_CASE("the keys of a lapsed host go to others, not back to it") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartTime);
  CHECK(Simulation.server(1).tokenOf(16384));
  Simulation.isolate(1, true);
  Simulation.runFor(std::chrono::seconds(9));
  CHECK(!Simulation.server(1).tokenOf(16384));
  CHECK(Simulation.ownedPart() == 1.0);
}

TEST_CASE("the keys of a lost steward are served again as soon as its lease "
          "has lapsed") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartTime);
  Simulation.isolate(0, true);
  Simulation.runFor(std::chrono::milliseconds(7500));
  CHECK(Simulation.ownedPart() == 1.0);
}

TEST_CASE("rolling restarts of daemons beside living servers move no keys") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartTime);
  auto Before = Simulation.server(2).tokenOf(30000);
  REQUIRE(Before);
  Simulation.killDaemon(2);
  Simulation.runFor(std::chrono::milliseconds(500));
  Simulation.startDaemon(2);
  for (int Second = 0; Second < 4; ++Second) {
    Simulation.runFor(std::chrono::seconds(1));
    CHECK(Simulation.server(2).tokenOf(30000) == Before);
    CHECK(Simulation.observedAvailability(2) == server_availability::Ready);
  }
}

TEST_CASE("a release that the store applies late does not outlive its daemon") {
  // The write is 0.6 to 6 s late; some seeds hit the time of the next grant.
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    ownership_simulation Simulation(Seed, 5);
    Simulation.runFor(StartTime);
    Simulation.server(2).drain();
    Simulation.runFor(std::chrono::milliseconds(1300));
    Simulation.rows().setLoss(1, true);
    Simulation.runFor(std::chrono::milliseconds(30 * Seed));
    Simulation.rows().setLoss(0, false);
    Simulation.startDaemon(2);
    Simulation.runFor(std::chrono::seconds(8));
    CHECK(Simulation.report().TwoOwners == 0);
    CHECK(Simulation.report().TokensNotRisen == 0);
  }
}
