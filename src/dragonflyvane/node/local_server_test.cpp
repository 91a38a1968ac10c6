#include "dragonflyvane/node/local_server.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

struct server_trial {
  std::optional<grant> beat(int64_t Born = 1000,
                            server_state State = server_state::Ready) {
    heartbeat Beat;
    Beat.Life = {"i-1", Born};
    Beat.Service = "desk";
    Beat.Address = "127.0.0.1:9";
    Beat.Slots = 9;
    Beat.State = State;
    Beat.Sequence = ++Sequence;
    return Server.onHeartbeat(Beat,
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
  Trial.beat();
  Trial.refuseFor(milliseconds(1000));
  CHECK(Trial.Server.standing() == server_standing::Ready);
  Trial.refuseFor(milliseconds(300));
  CHECK(Trial.Server.standing() == server_standing::Down);
}

TEST_CASE("a server that refuses but sends heartbeats lives") {
  server_trial Trial;
  Trial.beat();
  for (int I = 0; I < 5; ++I) {
    Trial.refuseFor(milliseconds(900));
    Trial.beat();
    CHECK(Trial.Server.standing() == server_standing::Ready);
  }
}

TEST_CASE("a leaving server that refuses is leaving, not dead") {
  server_trial Trial;
  Trial.beat();
  Trial.beat(1000, server_state::Draining);
  Trial.refuseFor(milliseconds(3000));
  CHECK(Trial.Server.standing() == server_standing::Leaving);
}

TEST_CASE("a late heartbeat of an earlier life changes nothing") {
  server_trial Trial;
  Trial.beat(2000);
  CHECK(!Trial.beat(1000));
  CHECK(Trial.Server.life().Born == 2000);
}

TEST_CASE("a leaving server gets requests for a while, then none") {
  server_trial Trial;
  Trial.beat();
  Trial.beat(1000, server_state::Draining);
  CHECK(Trial.Server.takesRequests(Trial.Clock.now()));
  Trial.Clock.advance(Trial.Settings.DrainTimeout);
  CHECK(!Trial.Server.takesRequests(Trial.Clock.now()));
}
