#include "dragonflyvane/node/local_server.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

struct server_trial {
  std::optional<grant> sendHeartbeat(int64_t StartedAtMs = 1000,
                                     server_state State = server_state::Ready) {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", StartedAtMs};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.Slots = 9;
    Heartbeat.State = State;
    Heartbeat.Sequence = ++Sequence;
    return Server.onHeartbeat(Heartbeat,
                              {&Map, false, Clock.now() + milliseconds(4000)});
  }

  void refuseFor(milliseconds Span) {
    for (milliseconds Done{0}; Done < Span; Done += milliseconds(100)) {
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

TEST_CASE("a server that refuses and sends no heartbeats has ended") {
  server_trial Trial;
  Trial.sendHeartbeat();
  Trial.refuseFor(milliseconds(1000));
  CHECK(Trial.Server.availability() == server_availability::Ready);
  Trial.refuseFor(milliseconds(300));
  CHECK(Trial.Server.availability() == server_availability::Down);
}

TEST_CASE("a server that refuses but sends heartbeats lives") {
  server_trial Trial;
  Trial.sendHeartbeat();
  for (int I = 0; I < 5; ++I) {
    Trial.refuseFor(milliseconds(900));
    Trial.sendHeartbeat();
    CHECK(Trial.Server.availability() == server_availability::Ready);
  }
}

TEST_CASE("a leaving server that refuses is leaving, not dead") {
  server_trial Trial;
  Trial.sendHeartbeat();
  Trial.sendHeartbeat(1000, server_state::Draining);
  Trial.refuseFor(milliseconds(3000));
  CHECK(Trial.Server.availability() == server_availability::Leaving);
}

TEST_CASE("a late heartbeat of an earlier life changes nothing") {
  server_trial Trial;
  Trial.sendHeartbeat(2000);
  CHECK(!Trial.sendHeartbeat(1000));
  CHECK(Trial.Server.incarnation().StartedAtMs == 2000);
}

TEST_CASE("a leaving server gets requests for a while, then none") {
  server_trial Trial;
  Trial.sendHeartbeat();
  Trial.sendHeartbeat(1000, server_state::Draining);
  CHECK(Trial.Server.acceptsRequests(Trial.Clock.now()));
  Trial.Clock.advance(Trial.Settings.DrainTimeout);
  CHECK(!Trial.Server.acceptsRequests(Trial.Clock.now()));
}
