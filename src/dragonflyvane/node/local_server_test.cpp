#include "dragonflyvane/node/local_server.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// A local server that owns nothing, with heartbeats of one instance.
struct local_server_fixture {
  std::optional<grant> sendHeartbeat(int64_t StartedAtMs = 1000,
                                     server_state State = server_state::Ready) {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", StartedAtMs};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.Slots = 9;
    Heartbeat.State = State;
    Heartbeat.Sequence = ++Sequence;
    return Server.onHeartbeat(
        Heartbeat,
        {&Map, false, Clock.now() + milliseconds(4000), grant_way::Heartbeat});
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
  settings Settings;
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
