#include "dragonflyvane/node/cluster/rollout_manager.hpp"

#include "dragonflyvane/core/rollout/version_filter.hpp"
#include "fake_store.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <memory>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const row_id Config{row_kind::Operator, "config"};
constexpr int HostsOfVersion = 4;
constexpr uint64_t ResponsesOfHost = 40;

row_id orderRow(const std::string &Service) {
  return {row_kind::Operator, "rollout/" + Service};
}

/// Decodes an order whose value is the version, and any configuration.
std::optional<operator_row> decode(const stored_row &Row) {
  operator_row OperatorRow;
  if (Row.Id != Config) {
    std::string Service = Row.Id.Key.substr(Row.Id.Key.find('/') + 1);
    OperatorRow.Rollout = {Service, Row.Value.value_or(""), seconds(12)};
    return OperatorRow;
  }
  auto Document = std::make_shared<configuration>();
  Document->Version = 1;
  Document->Services["desk"] = {};
  Document->Services["files"] = {};
  OperatorRow.Configuration = Document;
  return OperatorRow;
}

/// A coordinator, and hosts that report every 500 ms what their servers did
/// under the state that the coordinator has written.
struct rollout_fixture {
  rollout_fixture() {
    FakeStore.put(Config, "1");
    addServers("desk", "v1");
    Sync.start();
    startManager();
    Reporting = Loop.every(milliseconds(500), [this] { report(); });
    Loop.runFor(seconds(3));
  }
  ~rollout_fixture() { Loop.clear(); }

  /// Replaces the coordinator by one that knows only the rows.
  void startManager() {
    Manager = std::make_unique<rollout_manager>(rollout_manager::dependencies{
        Loop, Loop.clock(), Sync, OperatorState, rollout_bounds{},
        [] { return true; },
        [](const std::string &To, rollout_outcome Outcome) {
          return To + " " + formatOutcome(Outcome);
        }});
  }

  void addServers(const std::string &Service, const std::string &Version) {
    for (int I = 0; I < HostsOfVersion; ++I) {
      host_info Info;
      Info.PeerEndpoint = {"127.0.0.1", 7780};
      Info.Service = Service;
      Info.Version = Version;
      Info.Availability = server_availability::Ready;
      Info.Slots = 9;
      std::string Name = Service;
      Name.append("-").append(Version).append("-").append(std::to_string(I));
      FakeStore.put(hostRow(Name), encodeHost(Info));
    }
  }

  void report() {
    for (const auto &[Host, Row] : Sync.view().hosts()) {
      const host_info &Info = Row.Content;
      version_filter Versions(Sync.view(), OperatorState, Info.Service);
      version_use Use = Versions.useOf(Host, Info);
      uint64_t Count = ResponsesOfHost;
      if (Use == version_use::Share)
        Count =
            std::llround(Versions.share() * HostsOfVersion * ResponsesOfHost);
      else if (Use == version_use::LastResort || Use == version_use::Barred)
        Count = 0;
      uint64_t Failures = Info.Version == BadVersion ? Count / 4 : 0;
      load_report Load;
      Load.Rate = 2.0 * static_cast<double>(Count);
      Load.ProcessingTime = 0.1;
      Load.RolloutSequence = Versions.sequence();
      Load.InFlight = InFlight;
      if (Count > 0)
        Load.Outcomes = {{Info.Service,
                          Info.Version,
                          "parts",
                          {Count, Failures, 4.0 * double(Count)}}};
      Manager->onReport(Host, Load);
    }
  }

  rollout_state state(const std::string &Service = "desk") const {
    const known_rollout *Known = Sync.view().rollout(Service);
    return Known ? Known->Content : rollout_state{};
  }
  std::string status(const std::string &Service = "desk") const {
    auto Found = FakeStore.rows().find(rolloutStatusRow(Service));
    return Found == FakeStore.rows().end() ? ""
                                           : Found->second.Value.value_or("");
  }

  manual_scheduler Loop;
  fake_store FakeStore{Loop, 1};
  fake_store_client Client{FakeStore};
  operator_state OperatorState{{Config}, decode};
  cluster_sync Sync{{"a", "west", "service", 1, Loop, Loop.clock(), Client,
                     OperatorState, [] {}, [] { return false; }}};
  std::unique_ptr<rollout_manager> Manager;
  std::string BadVersion;
  uint32_t InFlight = 0;
  timer Reporting;
};

} // namespace

TEST_CASE("operators read how a good and a bad version end") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(1));
  CHECK(F.status() == "v2 running");
  F.Loop.runFor(seconds(11));
  CHECK(F.status() == "v2 completed");

  F.BadVersion = "v3";
  F.addServers("desk", "v3");
  F.FakeStore.put(orderRow("desk"), "v3");
  F.Loop.runFor(seconds(12));
  CHECK(F.status() == "v3 rolled_back");
}

// Guards against old servers that stop while they run requests.
TEST_CASE("nothing is completed while requests are in flight to old servers") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.InFlight = 1;
  F.Loop.runFor(seconds(14));
  CHECK(F.state().Step == rollout_step::All);
  CHECK(F.status() == "v2 running");
  F.InFlight = 0;
  F.Loop.runFor(seconds(2));
  CHECK(F.status() == "v2 completed");
}

TEST_CASE("an order that is withdrawn, replaced or repeated") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(4));
  CHECK(F.state().Step > rollout_step::Waiting);
  F.FakeStore.put(orderRow("desk"), "v3");
  F.Loop.runFor(seconds(1));
  CHECK(F.state().Barred == std::set<std::string>{"v2"});
  CHECK(F.status() == "v3 running");
  F.FakeStore.erase(orderRow("desk"));
  F.Loop.runFor(seconds(1));
  CHECK(F.status() == "v3 rolled_back");
  CHECK(F.state().Reason == "withdrawn");
  F.FakeStore.put(orderRow("desk"), "v2");
  F.Loop.runFor(seconds(12));
  CHECK(F.status() == "v2 completed");
}

// Guards against an order that hinders those of other services.
TEST_CASE("two services at once, one of them unknown or without servers") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("nowhere"), "v2");
  F.FakeStore.put(orderRow("files"), "v2");
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(12));
  CHECK(F.status() == "v2 completed");
  CHECK(F.status("files") == "v2 running");
  CHECK(F.state("files").Step == rollout_step::Waiting);
  CHECK(F.status("nowhere").empty());
}

// Guards against a successor that begins again or misses the deadline.
TEST_CASE("a new coordinator continues from the row") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(4));
  rollout_state Before = F.state();
  F.startManager();
  F.Loop.runFor(milliseconds(500));
  CHECK(F.state().OrderedAt == Before.OrderedAt);
  CHECK(F.state().Step >= Before.Step);
  F.Loop.runFor(seconds(8));
  CHECK(F.status() == "v2 completed");
}

// Guards against steps that only some hosts learn of.
TEST_CASE("no step is taken while the store is away, and the rollout goes on "
          "after it") {
  rollout_fixture F;
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(3));
  F.FakeStore.setDown(true);
  F.Loop.runFor(seconds(1));
  rollout_state Before = F.state();
  F.Loop.runFor(seconds(3));
  CHECK(F.state() == Before);
  F.FakeStore.setDown(false);
  F.Loop.runFor(seconds(12));
  CHECK(F.status() == "v2 completed");
}

// Guards against a bad version that gets traffic again because the store has
// come back from a copy of before its rollback.
TEST_CASE("a rollback outlasts a return of the store") {
  rollout_fixture F;
  F.BadVersion = "v2";
  F.FakeStore.put(orderRow("desk"), "v2");
  F.addServers("desk", "v2");
  F.Loop.runFor(seconds(8));
  REQUIRE(F.state().Outcome == rollout_outcome::RolledBack);
  F.FakeStore.restore(seconds(6), milliseconds(500));
  F.Loop.runFor(seconds(4));
  CHECK(F.state().Outcome == rollout_outcome::RolledBack);
}
