#include "dragonflyvane/node/serving/local_server.hpp"

#include "dragonflyvane/core/error.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

settings deskSettings() {
  settings Settings;
  Settings.Host = "host-1";
  Settings.LocalService = "desk";
  Settings.FailureDomain = "erie";
  Settings.ServerEndpoint = endpoint{"127.0.0.1", 9};
  return Settings;
}

/// A local server that owns nothing at first, with heartbeats of one instance.
struct local_server_fixture {
  heartbeat makeHeartbeat(int64_t StartedAtMs = 1000,
                          server_state State = server_state::Ready) {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", StartedAtMs};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.FailureDomain = "erie";
    Heartbeat.Slots = 9;
    Heartbeat.State = State;
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.Keys.emplace();
    return Heartbeat;
  }

  grant_context context() const {
    return {&Map, false, Clock.now() + milliseconds(4000), grant_way::Heartbeat,
            true};
  }

  std::optional<grant> send(const heartbeat &Heartbeat) {
    return Server.onHeartbeat(Heartbeat, context());
  }

  std::optional<grant> sendHeartbeat(int64_t StartedAtMs = 1000,
                                     server_state State = server_state::Ready) {
    return send(makeHeartbeat(StartedAtMs, State));
  }

  /// Gives all keys to the server, which reports that it holds them.
  void holdAllKeys() {
    sendHeartbeat();
    Map.Ranges[0].Owner = "host-1";
    Map.Ranges[0].Incarnation = Server.incarnation();
    Map.Ranges[0].Token = 7;
    REQUIRE(sendHeartbeat());
    sendHolding();
  }

  std::optional<grant> sendHolding() {
    heartbeat Heartbeat = makeHeartbeat();
    Heartbeat.Keys->Held.push_back({0, LastPoint, 7});
    return send(Heartbeat);
  }

  /// Reports a refused connection every 100 ms.
  void refuseConnectionsFor(milliseconds Duration) {
    for (milliseconds Elapsed{0}; Elapsed < Duration;
         Elapsed += milliseconds(100)) {
      Server.onRefusedConnection();
      Clock.advance(milliseconds(100));
    }
  }

  manual_clock Clock;
  settings Settings = deskSettings();
  local_server Server{Settings, Clock};
  ownership_map Map;
  uint64_t Sequence = 0;
};

} // namespace

TEST_CASE("a server that refuses connections and sends no heartbeats is down") {
  local_server_fixture Fixture;
  Fixture.sendHeartbeat();
  Fixture.refuseConnectionsFor(milliseconds(1000));
  CHECK(Fixture.Server.availability() == server_availability::Ready);
  Fixture.refuseConnectionsFor(milliseconds(300));
  CHECK(Fixture.Server.availability() == server_availability::Down);
}

TEST_CASE(
    "a server that refuses connections but sends heartbeats stays ready") {
  local_server_fixture Fixture;
  Fixture.sendHeartbeat();
  for (int I = 0; I < 5; ++I) {
    Fixture.refuseConnectionsFor(milliseconds(900));
    Fixture.sendHeartbeat();
    CHECK(Fixture.Server.availability() == server_availability::Ready);
  }
}

TEST_CASE("a leaving server that refuses connections stays leaving") {
  local_server_fixture Fixture;
  Fixture.sendHeartbeat();
  Fixture.sendHeartbeat(1000, server_state::Draining);
  Fixture.refuseConnectionsFor(milliseconds(3000));
  CHECK(Fixture.Server.availability() == server_availability::Leaving);
}

TEST_CASE("a late heartbeat of an earlier incarnation changes nothing") {
  local_server_fixture Fixture;
  Fixture.sendHeartbeat(2000);
  CHECK(!Fixture.sendHeartbeat(1000));
  CHECK(Fixture.Server.incarnation().StartedAtMs == 2000);
}

TEST_CASE("a leaving server receives requests at first, then none") {
  local_server_fixture Fixture;
  Fixture.sendHeartbeat();
  Fixture.sendHeartbeat(1000, server_state::Draining);
  CHECK(Fixture.Server.acceptsRequests(Fixture.Clock.now()));
  Fixture.Clock.advance(Fixture.Settings.DrainTimeout);
  CHECK(!Fixture.Server.acceptsRequests(Fixture.Clock.now()));
}

// Guards against: a daemon that is started again while its server leaves counts
// the drain timeout anew, and passes requests on until the server has ended.
TEST_CASE_FIXTURE(local_server_fixture,
                  "a server that leaves at its first sign to a daemon gets no "
                  "requests") {
  SUBCASE("in its first heartbeat") {
    sendHeartbeat(1000, server_state::Draining);
  }
  SUBCASE("in its first response") {
    sendHeartbeat();
    Server.onCondition({std::nullopt, true});
  }
  SUBCASE("in the first heartbeat after a late one of an earlier incarnation") {
    sendHeartbeat(900);
    sendHeartbeat(1000, server_state::Draining);
  }
  CHECK(Server.availability() == server_availability::Leaving);
  CHECK_FALSE(Server.acceptsRequests(Clock.now()));
}

// Guards against requests that are refused although the daemon has seen the
// server begin to leave, and the drain timeout has just begun.
TEST_CASE_FIXTURE(local_server_fixture,
                  "a server that has begun to leave in a response still "
                  "receives requests") {
  sendHeartbeat();
  Server.onCondition({});
  Server.onCondition({std::nullopt, true});
  CHECK(Server.availability() == server_availability::Leaving);
  CHECK(Server.acceptsRequests(Clock.now()));
}

// Guards against: a daemon that has been restarted passes requests on to a
// server for longer than the drain timeout, although its peers have told it how
// long the server has been leaving.
TEST_CASE_FIXTURE(local_server_fixture,
                  "peers that know for longer that a server leaves are right") {
  condition_report Known{{"i-1", 1000}, {}, milliseconds(1600)};
  SUBCASE("while the server counts as leaving") {
    sendHeartbeat();
    sendHeartbeat(1000, server_state::Draining);
    CHECK(Server.onReportedCondition(Known));
  }
  SUBCASE("before its first heartbeat") {
    CHECK_FALSE(Server.onReportedCondition(Known));
    sendHeartbeat();
  }
  CHECK(Server.availability() == server_availability::Leaving);
  CHECK(Server.acceptsRequests(Clock.now()));
  Known.LeavingFor = milliseconds(100);
  CHECK_FALSE(Server.onReportedCondition(Known));
  CHECK(Server.leavingFor(Clock.now()) == milliseconds(1600));
  Clock.advance(milliseconds(400));
  CHECK_FALSE(Server.acceptsRequests(Clock.now()));
}

// Guards against: a daemon that is started again while its server leaves grants
// the server its keys anew, and callers wait for them although the server gets
// no requests any more.
TEST_CASE_FIXTURE(local_server_fixture,
                  "a server that has left earlier is granted no keys") {
  Map.Ranges[0].Owner = "host-1";
  Map.Ranges[0].Incarnation = {"i-1", 1000};
  Map.Ranges[0].Token = 7;
  heartbeat Heartbeat = makeHeartbeat(1000, server_state::Draining);
  Heartbeat.Keys->Held.push_back({0, LastPoint, 7});
  std::optional<grant> Grant = send(Heartbeat);
  REQUIRE(Grant);
  CHECK(Grant->Ranges.empty());
  CHECK(Server.releasableRanges(context()).empty());
  Heartbeat = makeHeartbeat(1000, server_state::Draining);
  Heartbeat.Keys->Released.push_back({0, LastPoint, "handover"});
  send(Heartbeat);
  REQUIRE(Server.releasableRanges(context()).size() == 1);
  CHECK(Server.releasableRanges(context())[0].Handover == "handover");
}

// Guards against: a peer that still knows of an earlier incarnation makes a
// daemon that has just started forget the notice of the current one.
TEST_CASE_FIXTURE(local_server_fixture,
                  "a peer's report does not replace a leave notice before the "
                  "first heartbeat") {
  Server.onLeave({"i-1", 1000}, Clock.now());
  Server.onReportedCondition({{"i-0", 500}, {}, milliseconds(9000)});
  sendHeartbeat();
  CHECK(Server.availability() == server_availability::Leaving);
}

// Guards against: a daemon that has just started acknowledges that its server
// leaves, forgets it, and takes the server for ready at its next heartbeat.
TEST_CASE_FIXTURE(
    local_server_fixture,
    "a leave notice before the first heartbeat is not forgotten") {
  SUBCASE("with the start time of the server") {
    Server.onLeave({"i-1", 1000}, Clock.now());
  }
  SUBCASE("without a start time") { Server.onLeave({"i-1", 0}, Clock.now()); }
  Clock.advance(milliseconds(900));
  sendHeartbeat();
  CHECK(Server.availability() == server_availability::Leaving);
  CHECK(Server.acceptsRequests(Clock.now()));
  Clock.advance(Settings.DrainTimeout - milliseconds(900));
  sendHeartbeat();
  CHECK_FALSE(Server.acceptsRequests(Clock.now()));
}

// Guards against: a server that was started again under its old name gets no
// requests, because its earlier life had announced that it leaves.
TEST_CASE_FIXTURE(local_server_fixture,
                  "a leave notice says nothing about a later life") {
  SUBCASE("with another start time") {
    Server.onLeave({"i-1", 900}, Clock.now());
  }
  SUBCASE("without a start time, long before the first heartbeat") {
    Server.onLeave({"i-1", 0}, Clock.now());
    Clock.advance(std::chrono::seconds(4));
  }
  sendHeartbeat();
  CHECK(Server.availability() == server_availability::Ready);
}

// A message of another program was believed to be the first heartbeat of the
// next incarnation, and the keys of the server went to others while it held
// them.
TEST_CASE("a heartbeat that cannot come from the server changes nothing") {
  local_server_fixture Fixture;
  Fixture.holdAllKeys();
  std::vector<heartbeat> Foreign(4, Fixture.makeHeartbeat(2000));
  Foreign[0].Service = "books";
  Foreign[1].Address = "127.0.0.1:10";
  Foreign[2].FailureDomain = "huron";
  Foreign[3].Keys.reset();
  for (heartbeat &Heartbeat : Foreign) {
    Heartbeat.Incarnation.Instance = "i-other";
    Heartbeat.State = server_state::Draining;
    Heartbeat.Sequence = 1'000'000;
    CHECK_THROWS_AS(Fixture.send(Heartbeat), step_error);
    Heartbeat.Incarnation = Fixture.Server.incarnation();
    CHECK_THROWS_AS(Fixture.send(Heartbeat), step_error);
  }
  CHECK(Fixture.Server.incarnation() == server_incarnation{"i-1", 1000});
  CHECK(Fixture.Server.availability() == server_availability::Ready);
  CHECK(Fixture.Server.releasableRanges(Fixture.context()).empty());
  std::optional<grant> Grant = Fixture.sendHolding();
  REQUIRE(Grant);
  CHECK(Grant->Ranges.size() == 1);
}

// A rejected heartbeat must not make a silent server look alive.
TEST_CASE("a heartbeat that cannot come from the server is no sign of life") {
  local_server_fixture Fixture;
  Fixture.holdAllKeys();
  heartbeat Foreign = Fixture.makeHeartbeat();
  Foreign.Keys.reset();
  for (int Second = 0; Second < 5; ++Second) {
    Fixture.Clock.advance(milliseconds(1000));
    CHECK_THROWS_AS(Fixture.send(Foreign), step_error);
    Fixture.Server.tick();
  }
  CHECK(Fixture.Server.availability() == server_availability::Down);
}

// Rejecting messages of others must not delay a true replacement.
TEST_CASE("a complete heartbeat of a later incarnation takes over at once") {
  local_server_fixture Fixture;
  Fixture.holdAllKeys();
  heartbeat Next = Fixture.makeHeartbeat(2000);
  Next.Incarnation.Instance = "i-2";
  CHECK(Fixture.send(Next));
  CHECK(Fixture.Server.incarnation() == server_incarnation{"i-2", 2000});
  CHECK(!Fixture.sendHolding());
}

// A daemon that has just started does not know the configuration yet. A
// heartbeat without lists must not count as one that lists nothing.
TEST_CASE("a first heartbeat without lists releases no keys") {
  local_server_fixture Fixture;
  Fixture.Map.Ranges[0].Owner = "host-1";
  Fixture.Map.Ranges[0].Incarnation = {"i-1", 1000};
  heartbeat Foreign = Fixture.makeHeartbeat(2000, server_state::Draining);
  Foreign.Keys.reset();
  grant_context Unconfigured = Fixture.context();
  Unconfigured.GrantWay.reset();
  Unconfigured.ReportsKeys = false;
  Fixture.Server.onHeartbeat(Foreign, Unconfigured);
  CHECK(Fixture.Server.releasableRanges(Fixture.context()).empty());
}
