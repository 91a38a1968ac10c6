#include "ownership_simulation.hpp"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace dragonflyvane;

namespace {

constexpr std::chrono::seconds StartupTime{6};
constexpr std::chrono::seconds RecoveryTime{14};
constexpr int FaultCount = 25;
/// Span in which each point must have an owner at some step; a point that is
/// moving has none for a moment.
constexpr std::chrono::seconds OwnershipWindow{2};

uint64_t environmentNumber(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Simulates random faults, then the recovery. `Owned` of the report is the
/// percentage of points with an owner after the recovery.
simulation_report runSimulation(uint64_t Seed, simulation_defects Defects = {},
                                grant_way GrantWay = grant_way::Heartbeat) {
  ownership_simulation Simulation(Seed, 5, Defects, GrantWay);
  std::mt19937_64 Random(Seed);
  Simulation.runFor(StartupTime);
  for (int I = 0; I < FaultCount; ++I) {
    Simulation.injectRandomFault();
    Simulation.runFor(std::chrono::milliseconds(100 + Random() % 1900));
  }
  Simulation.healAllFaults();
  Simulation.runFor(RecoveryTime);
  simulation_report Report = Simulation.report();
  Report.Owned =
      static_cast<int>(Simulation.ownedFractionWithin(OwnershipWindow) * 100);
  if (Report.Owned < 100 && Simulation.map())
    MESSAGE("seed " << Seed << " ends with " << encodeMap(*Simulation.map())
                    << Simulation.describe());
  return Report;
}

/// Returns the first seed with which the checks detect a defect; 0 if there is
/// none up to `MaxSeed`.
uint64_t firstDetectingSeed(simulation_defects Defects, uint64_t MaxSeed,
                            grant_way GrantWay = grant_way::Heartbeat) {
  for (uint64_t Seed = 1; Seed <= MaxSeed; ++Seed) {
    simulation_report Report = runSimulation(Seed, Defects, GrantWay);
    if (Report.DualOwners + Report.NonIncreasingTokens + Report.StaleGrants > 0)
      return Seed;
  }
  return 0;
}

} // namespace

TEST_CASE("a cluster without faults gives every key an owner") {
  ownership_simulation Simulation(1, 5);
  Simulation.runFor(StartupTime);
  CHECK(Simulation.ownedFraction() == 1.0);
  CHECK(Simulation.report().DualOwners == 0);
}

namespace {

void checkRandomFaults(grant_way GrantWay, simulation_defects Faults = {}) {
  uint64_t First = environmentNumber("DRAGONFLYVANE_FIRST_SEED", 1);
  uint64_t Count = environmentNumber("DRAGONFLYVANE_SEEDS", 20);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    CAPTURE(Seed);
    simulation_report Report = runSimulation(Seed, Faults, GrantWay);
    CHECK(Report.ConfigRegressions == 0);
    CHECK(Report.OutdatedConfigs == 0);
    CHECK(Report.DualOwners == 0);
    CHECK(Report.NonIncreasingTokens == 0);
    CHECK(Report.StaleGrants == 0);
    CHECK(Report.Owned == 100);
  }
}

} // namespace

TEST_CASE(
    "random faults never cause two owners, and all keys get owners again") {
  checkRandomFaults(grant_way::Heartbeat);
}

// Calls and their responses are lost, and some calls are applied after newer
// grants and releases, which could give a released range back to its former
// owner.
TEST_CASE("random faults of calls never cause two owners, and all keys get "
          "owners again") {
  checkRandomFaults(grant_way::Call);
}

namespace {

simulation_defects
storeReturns(std::chrono::seconds MaxCopyAge = std::chrono::seconds(12)) {
  simulation_defects Faults;
  Faults.StoreReturns = true;
  Faults.MaxCopyAge = MaxCopyAge;
  return Faults;
}

} // namespace

// Guards against state that is ordered, conditioned or cached by versions that
// go back with the store: tokens, leases, maps and configurations.
TEST_CASE("returns of the store from older copies, among random faults, never "
          "cause two owners, and all keys get owners again") {
  checkRandomFaults(grant_way::Heartbeat, storeReturns());
}

// Guards against hosts without lease rows that are never taken over, or too
// early: most copies are older than the first lease.
TEST_CASE("returns of the store from copies older than its hosts, among random "
          "faults, never cause two owners, and all keys get owners again") {
  checkRandomFaults(grant_way::Heartbeat,
                    storeReturns(std::chrono::seconds(60)));
}

TEST_CASE("returns of the store from older copies, among random faults of "
          "calls, never cause two owners") {
  checkRandomFaults(grant_way::Call, storeReturns());
}

// Guards against a fleet that serves nothing after the store has come back from
// an older copy (incident CONFIG), without any other fault.
TEST_CASE("leases hold through a return of the store from an older copy, and a "
          "later change is in force soon") {
  ownership_simulation Simulation(1, 5);
  Simulation.runFor(StartupTime);
  for (int I = 0; I < 3; ++I) {
    Simulation.changeConfiguration();
    Simulation.runFor(std::chrono::seconds(3));
    Simulation.restoreStore(std::chrono::seconds(I),
                            std::chrono::seconds(2 + 3 * I));
    Simulation.runFor(std::chrono::seconds(2));
    CHECK(Simulation.leaseCount() == 5);
    CHECK(Simulation.ownedFraction() == 1.0);
    Simulation.changeConfiguration();
    Simulation.runFor(std::chrono::seconds(2));
    CHECK(Simulation.report().OutdatedConfigs == 0);
    CHECK(Simulation.report().ConfigRegressions == 0);
  }
  Simulation.runFor(RecoveryTime);
  CHECK(Simulation.ownedFraction() == 1.0);
  CHECK(Simulation.report().DualOwners == 0);
  CHECK(Simulation.report().NonIncreasingTokens == 0);
}

// Guards against hosts that stop to follow the rows, or call the store again
// and again, because another writer has left a row that cannot be read.
TEST_CASE("rows that cannot be read neither stop hosts nor end ownership") {
  const std::string Deep(100'000, '[');
  for (const std::string &Odd :
       {Deep, std::string("\xff\0", 2), std::string(R"({"peer":"a:99999"})"),
        std::string("1e400")}) {
    for (const row_id &Id : {hostRow("host1"), mapRow("desk"),
                             leaseRow("host1"), coordinatorRow()}) {
      CAPTURE(Odd.substr(0, 20));
      CAPTURE(Id.Key);
      ownership_simulation Simulation(3, 5);
      Simulation.runFor(StartupTime);
      int CallsBefore = Simulation.fakeStore().calls();
      Simulation.runFor(std::chrono::seconds(5));
      int UsualCalls = Simulation.fakeStore().calls() - CallsBefore;
      Simulation.fakeStore().put(Id, Odd);
      Simulation.runFor(std::chrono::seconds(5));
      int Calls = Simulation.fakeStore().calls() - CallsBefore - UsualCalls;
      CHECK(Calls < 3 * UsualCalls);
      Simulation.changeConfiguration();
      Simulation.runFor(RecoveryTime);
      CHECK(Simulation.report().OutdatedConfigs == 0);
      CHECK(Simulation.report().DualOwners == 0);
      CHECK(Simulation.ownedFraction() == 1.0);
      CHECK(Simulation.leaseCount() == 5);
      CHECK(Simulation.observedAvailability(1) == server_availability::Ready);
    }
  }
}

/// Replaces the port in the row of a host, or the whole row if `Port` is empty.
std::string withPort(const std::string &Row, const std::string &Port) {
  if (Port.empty())
    return "odd";
  size_t Begin = Row.find("127.0.0.1:") + 10;
  return Row.substr(0, Begin) + Port + Row.substr(Row.find('"', Begin));
}

// Guards against an odd row of a host that stays, so that hosts that start
// later do not know the host; against writes that conflict with it for ever;
// and against hosts of its failure domain that cannot call it.
TEST_CASE("a host writes its row again if it cannot be read") {
  for (const char *Port : {"0", "65536", "99999", ""})
    for (int Host = 0; Host < 3; ++Host) {
      CAPTURE(Port);
      CAPTURE(Host);
      ownership_simulation Simulation(3, 3);
      Simulation.runFor(StartupTime);
      row_id Id = hostRow(Simulation.nameOf(Host));
      std::string Before = *Simulation.fakeStore().rows().at(Id).Value;
      Simulation.fakeStore().put(Id, withPort(Before, Port));
      int CallsBefore = Simulation.fakeStore().calls();
      Simulation.runFor(std::chrono::seconds(2));
      CHECK(Simulation.fakeStore().rows().at(Id).Value == Before);
      CHECK(Simulation.fakeStore().calls() - CallsBefore < 100);
    }
}

// Guards against a change of a host's state that no other host learns, because
// the row that cannot be read came first.
TEST_CASE("a change of a host reaches a row that cannot be read") {
  ownership_simulation Simulation(3, 3);
  Simulation.runFor(StartupTime);
  row_id Id = hostRow("host1");
  Simulation.stallWatches(1, true);
  Simulation.fakeStore().put(Id, "odd");
  int CallsBefore = Simulation.fakeStore().calls();
  Simulation.ownership(1).onLeave({Simulation.server(1).incarnation(), ""});
  Simulation.runFor(std::chrono::seconds(2));
  CHECK(Simulation.fakeStore().calls() - CallsBefore < 100);
  CHECK(decodeHost(*Simulation.fakeStore().rows().at(Id).Value).Availability ==
        server_availability::Leaving);
}

// Guards against keys without an owner from the end of the leases from before
// the return until the map is settled. It happened if the copy has the newest
// map.
TEST_CASE("keys stay owned through a return to a copy with the newest map") {
  for (int AgeSeconds : {0, 1, 4, 9}) {
    CAPTURE(AgeSeconds);
    ownership_simulation Simulation(1, 5);
    Simulation.runFor(StartupTime + std::chrono::seconds(15));
    Simulation.restoreStore(duration{0}, std::chrono::seconds(AgeSeconds));
    for (int Step = 0; Step < 80; ++Step) {
      CAPTURE(Step);
      Simulation.runFor(std::chrono::milliseconds(100));
      CHECK(Simulation.ownedFraction() == 1.0);
    }
    CHECK(Simulation.report().DualOwners == 0);
    CHECK(Simulation.report().NonIncreasingTokens == 0);
  }
}

// Guards against keys that stay with lost hosts for good, because the copy from
// which the store comes back is older than these hosts and has no lease rows of
// them.
TEST_CASE("hosts that are lost around a return of the store, and that the copy "
          "does not know, are taken over") {
  for (int AgeSeconds : {7, 9, 30}) {
    for (bool IsLostFirst : {true, false}) {
      CAPTURE(AgeSeconds);
      CAPTURE(IsLostFirst);
      ownership_simulation Simulation(7, 9);
      Simulation.runFor(StartupTime);
      for (int I = 1; IsLostFirst && I < 9; ++I)
        Simulation.isolate(I, true);
      Simulation.restoreStore(std::chrono::milliseconds(500),
                              std::chrono::seconds(AgeSeconds));
      for (int I = 1; I < 9; ++I)
        Simulation.isolate(I, true);
      Simulation.runFor(std::chrono::seconds(15));
      CHECK(Simulation.ownedFraction() == 1.0);
      CHECK(Simulation.report().DualOwners == 0);
      CHECK(Simulation.report().NonIncreasingTokens == 0);
    }
  }
}

// Guards against a host that lives and loses its keys, because it reaches the
// store later than others after a return to a copy that does not know it.
TEST_CASE("a host that the copy does not know, and that renews within two "
          "seconds of the return, keeps its keys") {
  for (int LateMs : {0, 500, 1000, 1500, 2000}) {
    CAPTURE(LateMs);
    ownership_simulation Simulation(7, 5);
    Simulation.runFor(StartupTime);
    auto Token = Simulation.server(1).tokenOf(16384);
    REQUIRE(Token);
    Simulation.isolate(1, true);
    Simulation.restoreStore(std::chrono::milliseconds(300),
                            std::chrono::seconds(30));
    Simulation.runFor(std::chrono::milliseconds(LateMs));
    Simulation.isolate(1, false);
    for (int I = 0; I < 100; ++I) {
      Simulation.runFor(std::chrono::milliseconds(100));
      CHECK(Simulation.server(1).tokenOf(16384) == Token);
    }
    CHECK(Simulation.ownedFraction() == 1.0);
    CHECK(Simulation.report().DualOwners == 0);
  }
}

// Guards against a host that takes its lease as ended, because rows of the new
// era reach it with a conflict, before it knows of the return.
TEST_CASE("a host that learns of a return by a conflict keeps its lease") {
  for (int AgeSeconds : {1, 3, 5, 12}) {
    CAPTURE(AgeSeconds);
    ownership_simulation Simulation(1, 5);
    Simulation.runFor(StartupTime);
    Simulation.stallWatches(1, true);
    Simulation.restoreStore(duration{0}, std::chrono::seconds(AgeSeconds));
    ownership_manager &Ownership = Simulation.ownership(1);
    Ownership.onLeave({Simulation.server(1).incarnation(), ""});
    for (int I = 0; I < 20; ++I) {
      Simulation.runFor(std::chrono::milliseconds(100));
      CHECK(Ownership.sync().grantDeadlineOf("desk") > Simulation.now());
    }
  }
}

// Guards against a host that goes on with keys that others have taken over, in
// rows that the store has lost.
TEST_CASE("a host whose lease was taken over before a return of the store does "
          "not get its keys back") {
  for (int AgeSeconds = 1; AgeSeconds <= 9; ++AgeSeconds) {
    CAPTURE(AgeSeconds);
    ownership_simulation Simulation(7, 5);
    Simulation.runFor(StartupTime);
    Simulation.isolate(1, true);
    Simulation.runFor(std::chrono::seconds(8));
    Simulation.fakeStore().setLatency(std::chrono::milliseconds(400));
    Simulation.stallWatches(1, AgeSeconds % 2 == 0);
    Simulation.restoreStore(std::chrono::milliseconds(300),
                            std::chrono::seconds(AgeSeconds));
    Simulation.isolate(1, false);
    Simulation.runFor(std::chrono::seconds(6));
    Simulation.stallWatches(1, false);
    Simulation.runFor(RecoveryTime);
    CHECK(Simulation.report().DualOwners == 0);
    CHECK(Simulation.report().NonIncreasingTokens == 0);
    CHECK(Simulation.ownedFractionWithin(OwnershipWindow) == 1.0);
  }
}

// Guards against a rate pool that is handed out twice: by the coordinator, and
// by an earlier one, which the copy names and whose tokens have piled up.
TEST_CASE(
    "an earlier coordinator that a return of the store brings back has no "
    "old tokens") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartupTime);
  int Earlier = Simulation.coordinator();
  Simulation.runFor(std::chrono::seconds(9));
  Simulation.isolate(Earlier, true);
  Simulation.runFor(std::chrono::seconds(4));
  REQUIRE(Simulation.coordinator() != Earlier);
  Simulation.isolate(Earlier, false);
  Simulation.runFor(std::chrono::seconds(3));
  CHECK(!Simulation.ownership(Earlier).coordinator().isActive());
  Simulation.restoreStore(std::chrono::milliseconds(300),
                          std::chrono::seconds(9));
  Simulation.runFor(std::chrono::seconds(2));
  REQUIRE(Simulation.coordinator() == Earlier);
  duration RetryAfter{0};
  double Tokens = Simulation.ownership(Earlier).coordinator().takeTokens(
      "ferry", 1000, RetryAfter);
  // The pool's half of the rate of 100 a second, since the return at most.
  CHECK(Tokens <= 50 * 2.3);
}

// Guards against two coordinators that both hand out tokens and plan: one that
// was cut off for less than its lease, and whose watch has stalled, and its
// successor.
TEST_CASE("a coordinator learns with its next renewal that it was replaced") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartupTime);
  int Earlier = Simulation.coordinator();
  Simulation.isolate(Earlier, true);
  Simulation.runFor(std::chrono::milliseconds(4200));
  REQUIRE(Simulation.coordinator() != Earlier);
  Simulation.stallWatches(Earlier, true);
  Simulation.isolate(Earlier, false);
  Simulation.runFor(LeaseRenewalPeriod * 5 / 4);
  CHECK(!Simulation.ownership(Earlier).coordinator().isActive());
}

// Guards against a daemon that starts afresh and believes the copy, while the
// owner of the keys, which the copy does not name, goes on.
TEST_CASE("a host that starts after a return of the store gets no keys that "
          "others hold") {
  for (int AgeSeconds = 1; AgeSeconds <= 9; ++AgeSeconds) {
    CAPTURE(AgeSeconds);
    ownership_simulation Simulation(7, 5);
    Simulation.runFor(StartupTime);
    Simulation.killDaemon(1);
    Simulation.runFor(std::chrono::seconds(8));
    Simulation.fakeStore().setLatency(std::chrono::milliseconds(400));
    Simulation.stallWatches(1, AgeSeconds % 2 == 0);
    Simulation.restoreStore(std::chrono::milliseconds(300),
                            std::chrono::seconds(AgeSeconds));
    Simulation.startDaemon(1);
    Simulation.runFor(std::chrono::seconds(6));
    Simulation.stallWatches(1, false);
    Simulation.runFor(RecoveryTime);
    CHECK(Simulation.report().DualOwners == 0);
    CHECK(Simulation.report().NonIncreasingTokens == 0);
    CHECK(Simulation.ownedFractionWithin(OwnershipWindow) == 1.0);
  }
}

// Guards against a withdrawn key that works again at a daemon that starts
// beside a return of the store and takes the copy for the newest (incident
// CONFIG).
TEST_CASE("a daemon that starts beside a return of the store serves by no "
          "earlier configuration") {
  for (int DelayMs : {-300, 0, 100, 400, 1000}) {
    CAPTURE(DelayMs);
    ownership_simulation Simulation(7, 5);
    Simulation.runFor(StartupTime);
    Simulation.changeConfiguration();
    Simulation.runFor(std::chrono::seconds(7));
    for (int I = 0; I < 5; ++I)
      REQUIRE(Simulation.servedConfig(I) == 2);
    Simulation.killDaemon(1);
    if (DelayMs < 0)
      Simulation.startDaemon(1);
    Simulation.restoreStore(std::chrono::milliseconds(300),
                            std::chrono::seconds(9));
    Simulation.runFor(std::chrono::milliseconds(std::max(DelayMs, 0)));
    if (DelayMs >= 0)
      Simulation.startDaemon(1);
    for (int Step = 0; Step < 30; ++Step) {
      CAPTURE(Step);
      for (int I = 0; I < 5; ++I)
        CHECK(Simulation.servedConfig(I) != 1);
      Simulation.runFor(std::chrono::milliseconds(20));
    }
    // Peers know the newest, so nobody has to wait for the operators; a daemon
    // that starts while the store is away waits for its reads to end.
    if (DelayMs < 0)
      Simulation.runFor(std::chrono::seconds(2));
    CHECK(Simulation.servedConfig(1) == 2);
  }
}

// Guards against a daemon that does not come up, or late, since no peer knows
// the newest configuration, or long after the return.
TEST_CASE("a daemon that starts alone after a return comes up") {
  ownership_simulation Simulation(7, 1);
  Simulation.runFor(StartupTime);
  Simulation.killDaemon(0);
  Simulation.restoreStore(std::chrono::milliseconds(300),
                          std::chrono::seconds(1));
  Simulation.startDaemon(0);
  Simulation.runFor(std::chrono::milliseconds(4000));
  CHECK(Simulation.servedConfig(0) == 1);
  Simulation.runFor(std::chrono::seconds(20));
  Simulation.startDaemon(0);
  Simulation.runFor(std::chrono::milliseconds(1500));
  CHECK(Simulation.servedConfig(0) == 1);
}

TEST_CASE("the checks detect each defect") {
  constexpr uint64_t MaxSeed = 300;
  simulation_defects IgnoredMapConditions;
  IgnoredMapConditions.Store = fake_store::defect::IgnoresMapConditions;
  CHECK(firstDetectingSeed(IgnoredMapConditions, MaxSeed) > 0);
  simulation_defects FastStoreClock;
  FastStoreClock.Store = fake_store::defect::FastClock;
  CHECK(firstDetectingSeed(FastStoreClock, MaxSeed) > 0);
  simulation_defects SlowServerClock;
  SlowServerClock.ServerClockSpeed = 0.6;
  CHECK(firstDetectingSeed(SlowServerClock, MaxSeed) > 0);
  simulation_defects EarlyReleases;
  EarlyReleases.EarlyRelease = true;
  CHECK(firstDetectingSeed(EarlyReleases, MaxSeed) > 0);
  CHECK(firstDetectingSeed(IgnoredMapConditions, MaxSeed, grant_way::Call) > 0);
  CHECK(firstDetectingSeed(SlowServerClock, MaxSeed, grant_way::Call) > 0);
  CHECK(firstDetectingSeed(EarlyReleases, MaxSeed, grant_way::Call) > 0);
}

namespace {

/// Simulates a host that loses its lease and comes back while its own watches
/// and those of all hosts through which it may call the store have stalled. The
/// host does not see that other hosts own its ranges by now, and must not renew
/// the lease that it has lost.
simulation_report returnWithStalledWatches(simulation_defects Defects) {
  ownership_simulation Simulation(7, 5, Defects);
  Simulation.runFor(StartupTime);
  Simulation.stallWatches(1, true);
  Simulation.stallWatches(3, true);
  Simulation.isolate(1, true);
  // The other hosts learn that they own its ranges.
  Simulation.runFor(std::chrono::seconds(12));
  for (int Host = 0; Host < 5; ++Host)
    Simulation.stallWatches(Host, true);
  Simulation.isolate(1, false);
  Simulation.runFor(std::chrono::seconds(6));
  return Simulation.report();
}

} // namespace

TEST_CASE("a host cannot renew its lease after a takeover") {
  simulation_defects Defects;
  Defects.NoVersionExchange = true;
  CHECK(returnWithStalledWatches(Defects).DualOwners == 0);
  Defects.Store = fake_store::defect::RenewalsAlwaysCommit;
  CHECK(returnWithStalledWatches(Defects).DualOwners > 0);
}

// All daemons of a large fleet start at the same moment, and the store applies
// transactions one after another. Claims and host rows of all hosts made a
// queue that was longer than the time-outs of the calls, and the retries kept
// it long.
TEST_CASE(
    "a fleet that starts or restarts at once does not overload the store") {
  constexpr int HostCount = 120;
  ownership_simulation Simulation(3, HostCount);
  Simulation.fakeStore().setWriteTime(std::chrono::milliseconds(5));
  Simulation.runFor(StartupTime);
  CHECK(Simulation.leaseCount() == HostCount);
  CHECK(Simulation.fakeStore().calls() < 6 * HostCount);
  int CallsBefore = Simulation.fakeStore().calls();
  Simulation.restartAllDaemons();
  Simulation.runFor(std::chrono::seconds(3));
  CHECK(Simulation.leaseCount() == HostCount);
  CHECK(Simulation.fakeStore().calls() - CallsBefore < 2 * HostCount);
}

TEST_CASE(
    "a host that is disconnected from the store calls it through a peer") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartupTime);
  Simulation.disconnectStore(1, true);
  Simulation.runFor(std::chrono::seconds(9));
  CHECK(Simulation.server(1).tokenOf(16384));
  CHECK(Simulation.ownedFraction() == 1.0);
}

TEST_CASE("hosts keep their leases when their relay fails") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartupTime);
  Simulation.isolate(0, true);
  for (int Second = 0; Second < 12; ++Second) {
    Simulation.runFor(std::chrono::seconds(1));
    CHECK(Simulation.server(2).tokenOf(30000));
    CHECK(Simulation.server(4).tokenOf(49152));
  }
  CHECK(Simulation.ownedFraction() == 1.0);
}

TEST_CASE("the keys of a host with an expired lease move to other hosts") {
  ownership_simulation Simulation(7, 5);
  Simulation.runFor(StartupTime);
  CHECK(Simulation.server(1).tokenOf(16384));
  Simulation.isolate(1, true);
  Simulation.runFor(std::chrono::seconds(9));
  CHECK(!Simulation.server(1).tokenOf(16384));
  CHECK(Simulation.ownedFraction() == 1.0);
}

TEST_CASE("the keys of a failed coordinator have owners again once its lease "
          "has expired") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartupTime);
  Simulation.isolate(0, true);
  Simulation.runFor(std::chrono::milliseconds(7500));
  CHECK(Simulation.ownedFraction() == 1.0);
}

namespace {

/// Loses most hosts of a cluster at once, the coordinator among them, and lets
/// half of them come back while they are taken over or just after.
void loseMostHosts(ownership_simulation &Simulation, int HostCount) {
  constexpr int Survivors = 4;
  Simulation.fakeStore().setWriteTime(std::chrono::milliseconds(5));
  Simulation.runFor(StartupTime);
  REQUIRE(Simulation.ownedFraction() == 1.0);
  for (int I = 0; I < HostCount - Survivors; ++I)
    Simulation.isolate(I, true);
  REQUIRE(Simulation.coordinator() < HostCount - Survivors);
  Simulation.runFor(std::chrono::seconds(12));
  CHECK(Simulation.ownedFraction() == 1.0);
  CHECK(Simulation.report().DualOwners == 0);
  for (int I = 0; I < HostCount - Survivors; I += 2)
    Simulation.isolate(I, false);
  Simulation.runFor(std::chrono::seconds(10));
}

} // namespace

// Guards against keys that stay without an owner after the loss of more hosts
// at once than one transaction can take over, the coordinator among them.
TEST_CASE("the keys of most hosts of a cluster, lost at once, have owners "
          "again") {
  constexpr int HostCount = 54;
  ownership_simulation Simulation(7, HostCount);
  loseMostHosts(Simulation, HostCount);
  CHECK(Simulation.ownedFractionWithin(std::chrono::seconds(1)) == 1.0);
  CHECK(Simulation.report().DualOwners == 0);
  CHECK(Simulation.report().NonIncreasingTokens == 0);
  CHECK(Simulation.fakeStore().refusedForSize() == 0);
}

// Guards against keys without an owner even for a moment, once the hosts that
// came back have been there for 10 s.
TEST_CASE("the keys of most hosts, lost at once, all have owners 10 s after "
          "half of the hosts are back" *
          doctest::may_fail()) {
  constexpr int HostCount = 54;
  ownership_simulation Simulation(7, HostCount);
  loseMostHosts(Simulation, HostCount);
  CHECK(Simulation.ownedFraction() == 1.0);
}

// Guards against two owners, and against keys without any, when hosts come back
// at any moment of a takeover that has several parts.
TEST_CASE("hosts that come back in the middle of a takeover cause no two "
          "owners") {
  constexpr int HostCount = 70;
  for (int DelayMs : {5200, 5400, 5600, 5800, 6200, 6700}) {
    CAPTURE(DelayMs);
    ownership_simulation Simulation(DelayMs, HostCount);
    Simulation.fakeStore().setWriteTime(std::chrono::milliseconds(20));
    Simulation.runFor(StartupTime);
    for (int I = 1; I < HostCount - 4; ++I)
      Simulation.isolate(I, true);
    Simulation.runFor(std::chrono::milliseconds(DelayMs));
    for (int I = 1; I < HostCount - 4; I += 3)
      Simulation.isolate(I, false);
    Simulation.runFor(RecoveryTime);
    CHECK(Simulation.ownedFractionWithin(OwnershipWindow) == 1.0);
    CHECK(Simulation.report().DualOwners == 0);
    CHECK(Simulation.report().NonIncreasingTokens == 0);
  }
}

TEST_CASE("the restart of a daemon beside a running server moves no keys") {
  ownership_simulation Simulation(7, 6);
  Simulation.runFor(StartupTime);
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

TEST_CASE(
    "a release that is applied after its daemon has ended has no effect") {
  // The store applies the write 0.6 to 6 s late; with some seeds, this
  // coincides with the next grant.
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    ownership_simulation Simulation(Seed, 5);
    Simulation.runFor(StartupTime);
    Simulation.server(2).drain();
    Simulation.runFor(std::chrono::milliseconds(1300));
    Simulation.fakeStore().setLoss(1, true);
    Simulation.runFor(std::chrono::milliseconds(30 * Seed));
    Simulation.fakeStore().setLoss(0, false);
    Simulation.startDaemon(2);
    Simulation.runFor(std::chrono::seconds(8));
    CHECK(Simulation.report().DualOwners == 0);
    CHECK(Simulation.report().NonIncreasingTokens == 0);
  }
}
