#include "dragonflyvane/node/cluster/host_takeover.hpp"

#include "dragonflyvane/node/cluster/cluster_coordinator.hpp"
#include "dragonflyvane/node/cluster/restorable_store.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_id Config{row_kind::Operator, "config"};
/// Keys of lost hosts are served again within this time.
constexpr seconds MaxRecoveryTime{15};

std::string serviceName(int I) { return "service" + std::to_string(I); }
std::string lostName(int I) { return "lost" + std::to_string(I); }

/// Decodes an operator row whose value is the number of services with keys.
std::optional<operator_row> decodeServices(const stored_row &Row) {
  auto Decoded = std::make_shared<configuration>();
  Decoded->Version = 1;
  for (int I = 0; I < std::stoi(Row.Value.value_or("0")); ++I)
    Decoded->Services[serviceName(I)].Keyed = true;
  return operator_row{Decoded, ""};
}

/// A running daemon, as far as it synchronizes with the store and plans.
struct running_host {
  running_host(manual_scheduler &Loop, fake_store &FakeStore,
               const std::string &Name, const std::string &Service)
      : Client(FakeStore), Store(Client, Loop, [] {}),
        OperatorState({Config}, decodeServices),
        Sync({Name, "west", Service, 1, Loop, Loop.clock(), Store,
              OperatorState,
              [this] {
                if (Coordinator)
                  Coordinator->onClusterChange();
              },
              [] { return false; }}) {
    host_info Info;
    Info.PeerEndpoint = {"127.0.0.1", 7000};
    Info.FailureDomain = "west";
    Info.Service = Service;
    Info.Availability = server_availability::Ready;
    Info.Incarnation = {"instance of " + Name, 1};
    Info.Slots = 6;
    Coordinator =
        std::make_unique<cluster_coordinator>(cluster_coordinator::dependencies{
            Name, Loop, Loop.clock(), Sync, OperatorState});
    Sync.publishHostInfo(Info);
    Sync.start();
  }

  fake_store_client Client;
  restorable_store Store;
  operator_state OperatorState;
  std::unique_ptr<cluster_coordinator> Coordinator;
  cluster_sync Sync;
};

/// A cluster whose hosts were all lost, and a new host for each service.
struct fixture {
  fixture(int LostHosts, int Services = 1) : LostHosts(LostHosts) {
    FakeStore.put(Config, std::to_string(Services));
    for (int I = 0; I < LostHosts; ++I)
      addLostHost(I, serviceName(I % Services));
    for (int I = 0; I < Services; ++I)
      putMap(I, Services);
  }
  ~fixture() {
    Hosts.clear();
    FakeStore.dropWatches();
    Loop.clear();
  }

  void addLostHost(int I, const std::string &Service) {
    host_info Info;
    Info.PeerEndpoint = {"127.0.0.1", 7001};
    Info.FailureDomain = "east";
    Info.Service = Service;
    Info.Availability = server_availability::Ready;
    Info.Incarnation = incarnation(I);
    FakeStore.put(hostRow(lostName(I)), encodeHost(Info));
    FakeStore.put(leaseRow(lostName(I)),
                  encodeLease({"before", 1, milliseconds(1)}));
  }
  /// Lets a lost host come back and renew its lease once.
  void returnHost(int I) {
    FakeStore.put(leaseRow(lostName(I)), encodeLease({"after", 1, {}}));
  }

  /// Divides the keys of a service among its lost hosts.
  void putMap(int Service, int Services) {
    ownership_map Map;
    Map.Ranges.clear();
    int Owners = (LostHosts - Service + Services - 1) / Services;
    for (int I = 0; I < Owners; ++I) {
      owned_range Range;
      Range.First = static_cast<key_point>((LastPoint + 1) * I / Owners);
      Range.Last =
          static_cast<key_point>((LastPoint + 1) * (I + 1) / Owners - 1);
      Range.Owner = lostName(Service + I * Services);
      Range.Incarnation = incarnation(Service + I * Services);
      Range.Token = 5;
      Map.Ranges.push_back(Range);
    }
    FakeStore.put(mapRow(serviceName(Service)), encodeMap(Map));
  }

  server_incarnation incarnation(int I) const {
    return {"i-" + std::to_string(I), 1};
  }
  running_host &start(const std::string &Name,
                      const std::string &Service = "service0") {
    Hosts.push_back(
        std::make_unique<running_host>(Loop, FakeStore, Name, Service));
    return *Hosts.back();
  }

  ownership_map map(int Service = 0) const {
    return decodeMap(*FakeStore.rows().at(mapRow(serviceName(Service))).Value);
  }
  /// Returns the number of ranges that lost hosts own.
  size_t rangesOfLostHosts(int Services = 1) const {
    size_t Count = 0;
    for (int I = 0; I < Services; ++I)
      for (const owned_range &Range : map(I).Ranges)
        Count += Range.Owner.compare(0, 4, "lost") == 0;
    return Count;
  }
  bool isUnowned(int Service = 0) const {
    ownership_map Map = map(Service);
    return std::any_of(Map.Ranges.begin(), Map.Ranges.end(),
                       [](const owned_range &R) { return R.Owner.empty(); });
  }
  size_t hostRows() const {
    return static_cast<size_t>(std::count_if(
        FakeStore.rows().begin(), FakeStore.rows().end(), [](const auto &Row) {
          return Row.first.Key.compare(0, 5, "host/") == 0 && Row.second.Value;
        }));
  }
  /// Runs until the number of ranges of lost hosts is below a bound.
  bool runUntilBelow(size_t Bound) {
    for (milliseconds Waited{0}; Waited < MaxRecoveryTime;
         Waited += milliseconds(1)) {
      if (rangesOfLostHosts() < Bound)
        return true;
      Loop.runFor(milliseconds(1));
    }
    return false;
  }

  int LostHosts;
  manual_scheduler Loop;
  fake_store FakeStore{Loop, 1};
  std::vector<std::unique_ptr<running_host>> Hosts;
};

} // namespace

// Guards against keys that nobody serves after the loss of many hosts, because
// the transaction that takes them over is larger than the store accepts.
TEST_CASE("the keys of any number of lost hosts are taken over") {
  struct loss {
    int Hosts;
    int Services;
  };
  for (loss Loss : {loss{48, 1}, loss{49, 1}, loss{54, 1}, loss{108, 2},
                    loss{300, 1}, loss{1049, 4}}) {
    CAPTURE(Loss.Hosts);
    fixture F(Loss.Hosts, Loss.Services);
    F.FakeStore.setWriteTime(milliseconds(5));
    F.Loop.runFor(seconds(8));
    for (int I = 0; I < Loss.Services; ++I)
      F.start("new" + std::to_string(I), serviceName(I));
    F.Loop.runFor(MaxRecoveryTime);
    CHECK(F.rangesOfLostHosts(Loss.Services) == 0);
    for (int I = 0; I < Loss.Services; ++I)
      CHECK(!F.isUnowned(I));
    CHECK(F.FakeStore.refusedForSize() == 0);
    CHECK(F.FakeStore.largestTransaction().fitsIn(StoreTransactionLimit));
  }
}

// Guards against parts of a takeover that wait for the next read of the leases:
// at one part a second the last keys would come too late.
TEST_CASE("the parts of a takeover follow each other at once") {
  fixture F(300);
  F.FakeStore.setWriteTime(milliseconds(5));
  F.Loop.runFor(seconds(8));
  F.start("new");
  REQUIRE(F.runUntilBelow(300));
  F.Loop.runFor(milliseconds(500));
  CHECK(F.rangesOfLostHosts() == 0);
}

// Guards against a takeover that one of its hosts holds up, by coming back
// between the read of the leases and the commit.
TEST_CASE("hosts that come back do not hold up the takeover of the others") {
  fixture F(100);
  F.FakeStore.setLatency(milliseconds(100));
  F.Loop.runFor(seconds(8));
  running_host &Host = F.start("new");
  while (!Host.Coordinator->isActive())
    F.Loop.runFor(milliseconds(1));
  F.Loop.runFor(milliseconds(20));
  REQUIRE(F.rangesOfLostHosts() == 100);
  F.returnHost(7);
  REQUIRE(F.runUntilBelow(100));
  F.returnHost(99);
  F.Loop.runFor(seconds(2));
  ownership_map Map = F.map();
  for (int I : {7, 99}) {
    const owned_range &Kept = Map.find(static_cast<key_point>(65536 * I / 100));
    CHECK(Kept.Owner == lostName(I));
    CHECK(Kept.Token == 5);
  }
  for (const owned_range &Range : Map.Ranges) {
    bool IsRunning = Range.Owner == "new" || Range.Owner == lostName(7) ||
                     Range.Owner == lostName(99);
    CHECK(IsRunning);
  }
}

// Guards against a part that is not safe alone, and against a coordinator that
// does not finish the takeover of the one before it.
TEST_CASE("a takeover goes on with the next coordinator after any part") {
  for (size_t Remaining : {250U, 200U, 100U, 10U}) {
    CAPTURE(Remaining);
    fixture F(300);
    F.Loop.runFor(seconds(8));
    F.start("new");
    REQUIRE(F.runUntilBelow(Remaining));
    F.Hosts.clear();
    // One part may still be on its way to the store.
    F.Loop.runFor(seconds(2));
    CHECK((F.rangesOfLostHosts() > 0) == (Remaining > 48));
    F.start("next");
    F.Loop.runFor(MaxRecoveryTime);
    CHECK(F.rangesOfLostHosts() == 0);
    for (const owned_range &Range : F.map().Ranges)
      CHECK(Range.Owner == "next");
  }
}

// Guards against keys of a further service that wait until the takeover's own
// write to the lease row has expired as well.
TEST_CASE("a host that owns keys of two services loses both at once") {
  fixture F(2, 2);
  ownership_map Map;
  Map.Ranges.front().Owner = lostName(0);
  Map.Ranges.front().Incarnation = F.incarnation(0);
  Map.Ranges.front().Token = 5;
  F.FakeStore.put(mapRow(serviceName(1)), encodeMap(Map));
  F.Loop.runFor(seconds(8));
  F.start("new");
  F.start("other", serviceName(1));
  REQUIRE(F.runUntilBelow(1));
  F.Loop.runFor(seconds(1));
  CHECK(F.rangesOfLostHosts(2) == 0);
}

// Guards against hosts that ended between their host row and their first lease,
// or whose lease rows a return of the store has lost.
TEST_CASE("hosts without a lease row are taken over and removed") {
  fixture F(60);
  for (int I = 0; I < 60; I += 2)
    F.FakeStore.erase(leaseRow(lostName(I)));
  F.Loop.runFor(seconds(8));
  F.start("new");
  F.Loop.runFor(MaxRecoveryTime);
  CHECK(F.rangesOfLostHosts() == 0);
  F.Loop.runFor(seconds(8));
  CHECK(F.hostRows() == 1);
}

// Guards against a takeover without a condition on the lease of a host that has
// none: the host may claim it at the same moment.
TEST_CASE("a host without a lease row that claims its lease keeps its keys") {
  int Kept = 0;
  constexpr int Trials = 40;
  for (int I = 0; I < Trials; ++I) {
    CAPTURE(I);
    fixture F(3);
    F.FakeStore.erase(leaseRow(lostName(1)));
    F.FakeStore.setLatency(milliseconds(300));
    F.Loop.runFor(seconds(8));
    F.start("new");
    REQUIRE(F.runUntilBelow(3));
    F.Loop.runFor(milliseconds(3000 + 100 * I));
    bool IsOwner = F.map().find(30'000).Owner == lostName(1);
    if (!IsOwner)
      continue;
    ++Kept;
    F.returnHost(1);
    F.Loop.runFor(seconds(3));
    CHECK(F.map().find(30'000).Owner == lostName(1));
    CHECK(F.map().find(30'000).Token == 5);
  }
  CHECK(Kept > 0);
  CHECK(Kept < Trials);
}

// Guards against a takeover that fails without a trace, or that is not tried
// again.
TEST_CASE("a takeover that the store refuses is counted and tried again") {
  fixture F(60);
  F.Loop.runFor(seconds(8));
  running_host &Host = F.start("new");
  while (!Host.Coordinator->isActive())
    F.Loop.runFor(milliseconds(1));
  // The store refuses transactions for a second and a half.
  F.FakeStore.delayTransactions(milliseconds(2500));
  F.Loop.runFor(seconds(1));
  CHECK(Host.Coordinator->takeoverCounts().FailedTransactions > 0);
  CHECK(F.rangesOfLostHosts() == 60);
  F.Loop.runFor(seconds(3));
  CHECK(F.rangesOfLostHosts() == 0);
  CHECK(Host.Coordinator->takeoverCounts().Hosts == 60);
  CHECK(Host.Coordinator->takeoverCounts().Transactions == 2);
}

// Guards against a burst of transactions, one for each lost host, behind which
// lease renewals wait until the store refuses them.
TEST_CASE("the rows of many lost hosts are removed while leases are renewed") {
  fixture F(1049, 4);
  F.FakeStore.setWriteTime(milliseconds(5));
  F.Loop.runFor(seconds(8));
  running_host &Host = F.start("new");
  while (!Host.Sync.holdsLease())
    F.Loop.runFor(milliseconds(1));
  for (int I = 0; I < 300; ++I) {
    F.Loop.runFor(milliseconds(100));
    CHECK(Host.Sync.holdsLease());
  }
  CHECK(F.hostRows() == 1);
  CHECK(F.FakeStore.refusedForSize() == 0);
}
