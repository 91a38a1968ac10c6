/// Servers that have to get no more requests, because they leave or their
/// failure domain is evacuated, while their daemons are started again.
#include "ownership_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds StartupTime{6};
/// The host whose daemon is started again.
constexpr int Host = 1;

/// A cluster that has started.
struct drain_restart_fixture {
  drain_restart_fixture() { Simulation.runFor(StartupTime); }

  const local_server &server() { return Simulation.ownership(Host).server(); }
  bool isLeaving() {
    return server().availability() == server_availability::Leaving;
  }
  bool acceptsRequests() { return server().acceptsRequests(Simulation.now()); }
  /// Lets the server give notice. Its heartbeats go on to say that it is ready.
  void giveNotice() {
    Simulation.ownership(Host).onLeave(
        {Simulation.server(Host).incarnation(), ""});
  }
  void killAndStartDaemon() {
    Simulation.killDaemon(Host);
    Simulation.runFor(milliseconds(200));
    Simulation.startDaemon(Host);
  }
  /// Starts the daemon again without the store, which comes back later.
  void startWithoutStore() {
    Simulation.disconnectStore(Host, true);
    Simulation.startDaemon(Host);
    Simulation.runFor(seconds(2));
  }
  /// Returns whether other hosts see the server as ready at some step.
  bool isSeenReady(duration Span) {
    time_point End = Simulation.now() + Span;
    bool IsReady = false;
    while (Simulation.now() < End) {
      Simulation.runFor(milliseconds(10));
      IsReady |=
          Simulation.observedAvailability(Host) == server_availability::Ready;
    }
    return IsReady;
  }

  ownership_simulation Simulation{1, 3};
};

/// When the daemon is ended and started again.
struct restart_plan {
  /// The daemon is ended this long after it knows of the drain, and after each
  /// start.
  milliseconds Delay;
  int Restarts = 1;
  /// Whether the host loses the store once the daemon knows of the drain.
  bool IsStoreLost = false;
};

/// Restarts the daemon by the plan. Returns how long after the drain timeout,
/// which begins now, the daemon still passes requests on.
duration lateAcceptance(drain_restart_fixture &Fixture,
                        const restart_plan &Plan) {
  ownership_simulation &Simulation = Fixture.Simulation;
  time_point DrainEnd = Simulation.now() + settings{}.DrainTimeout;
  Simulation.disconnectStore(Host, Plan.IsStoreLost);
  for (int I = 0; I < Plan.Restarts; ++I) {
    Simulation.runFor(Plan.Delay);
    Fixture.killAndStartDaemon();
  }
  duration Late{0};
  while (Simulation.now() < DrainEnd + seconds(4)) {
    if (Fixture.acceptsRequests())
      Late = std::max(Late, Simulation.now() - DrainEnd);
    Simulation.runFor(milliseconds(20));
  }
  return Late;
}

} // namespace

// Guards against: a daemon that is started again while its server leaves counts
// the drain timeout anew, and passes requests on until the server has ended.
TEST_CASE_FIXTURE(
    drain_restart_fixture,
    "restarts of a daemon do not extend the drain timeout of its server") {
  restart_plan Plan{milliseconds(800)};
  SUBCASE("right after the acknowledgement") { Plan = {milliseconds(0)}; }
  SUBCASE("some time later") {}
  SUBCASE("near the end of the drain timeout") { Plan = {milliseconds(1600)}; }
  SUBCASE("two restarts") { Plan = {milliseconds(700), 2}; }
  SUBCASE("without the store") { Plan = {milliseconds(300), 1, true}; }
  SUBCASE("two restarts without the store") {
    Plan = {milliseconds(700), 2, true};
  }
  Simulation.server(Host).drain();
  while (!isLeaving())
    Simulation.runFor(milliseconds(20));
  CHECK(lateAcceptance(*this, Plan).count() == 0);
}

// Guards against: a daemon that is started again in an evacuated failure domain
// counts the drain timeout anew, and passes requests on beyond the time that an
// evacuation may take.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "restarts of a daemon do not extend the drain timeout of an "
                  "evacuation") {
  restart_plan Plan{milliseconds(1000)};
  SUBCASE("one restart") {}
  SUBCASE("near the end of the drain timeout") {
    Plan.Delay = milliseconds(1600);
  }
  SUBCASE("two restarts") { Plan.Restarts = 2; }
  Simulation.evacuateEast(true);
  CHECK(lateAcceptance(*this, Plan).count() == 0);
}

// Guards against a server that has announced once that it leaves, and is used
// again after a restart of its daemon.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "a server that leaves is not ready again after a restart of "
                  "its daemon") {
  giveNotice();
  Simulation.runFor(seconds(2));
  Simulation.startDaemon(Host);
  for (int I = 0; I < 10; ++I) {
    Simulation.runFor(milliseconds(500));
    CHECK(Simulation.observedAvailability(Host) ==
          server_availability::Leaving);
  }
  CHECK(isLeaving());
  CHECK_FALSE(acceptsRequests());
}

// Guards against: a daemon that starts while the store is away writes that its
// server is ready over the row that says that it leaves. Peers use the server,
// and a daemon that is killed then knows nothing of the leaving.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "a host row that says that the server leaves outlasts a "
                  "restart without the store") {
  giveNotice();
  Simulation.runFor(seconds(2));
  startWithoutStore();
  Simulation.disconnectStore(Host, false);
  CHECK_FALSE(isSeenReady(seconds(3)));
  CHECK(isLeaving());
}

// Guards against: a daemon that learns of the leaving before it can read its
// row counts the drain timeout from then on, though the row is of an earlier
// run.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "a host row of an earlier run shows that the server has left "
                  "earlier") {
  giveNotice();
  Simulation.runFor(seconds(1));
  startWithoutStore();
  giveNotice();
  Simulation.disconnectStore(Host, false);
  Simulation.runFor(seconds(1));
  CHECK_FALSE(acceptsRequests());
}

// Guards against: a daemon takes the row that it has written itself for one of
// an earlier run, and refuses requests at once.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "a host row of the same run does not end the drain timeout") {
  giveNotice();
  Simulation.runFor(seconds(1));
  CHECK(Simulation.observedAvailability(Host) == server_availability::Leaving);
  CHECK(acceptsRequests());
}

// Guards against: a server that has left and is back under its name gets no
// requests, because the row or an earlier run of its daemon says that it
// leaves.
TEST_CASE_FIXTURE(drain_restart_fixture,
                  "a server that is back under its name after it left is "
                  "served again") {
  // The next start keeps the name.
  Simulation.server(Host).crash();
  Simulation.server(Host).start();
  Simulation.runFor(seconds(3));
  std::string Name = Simulation.server(Host).incarnation().Instance;
  giveNotice();
  Simulation.runFor(seconds(3));
  REQUIRE_FALSE(acceptsRequests());
  killAndStartDaemon();
  Simulation.runFor(seconds(1));
  Simulation.server(Host).crash();
  Simulation.server(Host).start();
  Simulation.runFor(seconds(9));
  REQUIRE(Simulation.server(Host).incarnation().Instance == Name);
  CHECK(acceptsRequests());
  CHECK(Simulation.observedAvailability(Host) == server_availability::Ready);
}
