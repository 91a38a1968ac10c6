// Planned stops of real daemons, while callers keep their connections.
#include "process/local_cluster.hpp"
#include "process/steady_callers.hpp"
#include "raw_connection.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <memory>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform sends SIGKILL after this time.
constexpr seconds Grace{6};
/// New requests are accepted for this long after the signal.
constexpr milliseconds AcceptTime{2200};

/// The calls of a planned stop of the daemon of host 0.
struct observed_stop {
  std::optional<process_end> End;
  time_point SignalAt;
  std::vector<ended_call> Calls;

  /// Describes the requests that ended without a response, with the times in
  /// ms after the signal.
  std::string lost() const {
    return describe([this](const ended_call &Call) {
      return Call.isLost() && !hasCrossedTheEnd(Call);
    });
  }
  /// Describes the requests that began after the signal although they could not
  /// end in time.
  std::string begunInVain() const {
    return describe([this](const ended_call &Call) {
      return Call.SentAt > SignalAt &&
             (Call.Status == 502 || Call.Status == 504 || Call.isLost());
    });
  }

private:
  /// Whether the request was on its way when the process ended, so that it was
  /// not read and the caller may repeat it.
  bool hasCrossedTheEnd(const ended_call &Call) const {
    return Call.SentAt - SignalAt > AcceptTime && Call.Took < milliseconds(50);
  }

  template <typename Predicate>
  std::string describe(const Predicate &IsMeant) const {
    std::string Text;
    for (const ended_call &Call : Calls)
      if (IsMeant(Call))
        Text += (Call.Idempotent ? " parts " : " orders ") +
                std::to_string(Call.Status) + " sent at " +
                std::to_string(inMilliseconds(Call.SentAt - SignalAt)) +
                " took " + std::to_string(inMilliseconds(Call.Took)) + ";";
    return Text;
  }
};

observed_stop stopUnderLoad(local_cluster &Cluster, int CallerCount,
                            milliseconds Pause, milliseconds Spread,
                            duration WarmUp) {
  steady_callers Callers(Cluster.callerEndpoint(0), CallerCount, Pause, Spread);
  std::this_thread::sleep_for(WarmUp);
  observed_stop Stop;
  Stop.SignalAt = boot_clock().now();
  Cluster.daemon(0).signal(SIGTERM);
  Stop.End = Cluster.daemon(0).wait(Grace);
  std::this_thread::sleep_for(milliseconds(200));
  Stop.Calls = Callers.finish();
  return Stop;
}

} // namespace

// Guards against requests that are taken late in a planned stop, passed on, and
// cut off without a response at its end.
TEST_CASE("a planned stop ends no request of long work without a response") {
  local_cluster Cluster(3, milliseconds(3200));
  Cluster.start();
  observed_stop Stop = stopUnderLoad(Cluster, 24, milliseconds(30),
                                     milliseconds(3230), milliseconds(7000));
  REQUIRE(Stop.End);
  CHECK(Stop.End->isSuccess());
  CHECK(Stop.lost() == "");
  CHECK(Stop.begunInVain() == "");
}

// Guards against kept connections that are closed while a request is on its
// way, or has arrived and is not read yet.
TEST_CASE("a planned stop ends no request on a kept connection") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  for (int Round = 0; Round < 3; ++Round) {
    observed_stop Stop = stopUnderLoad(Cluster, 40, milliseconds(30),
                                       milliseconds(30), milliseconds(500));
    REQUIRE(Stop.End);
    CHECK(Stop.End->isSuccess());
    CHECK(Stop.lost() == "");
    Cluster.startDaemon(0);
    Cluster.awaitService(0);
  }
}

// Guards against requests lost at hosts that do not stop themselves: they send
// to one that does, which may coordinate the cluster, or call through it.
TEST_CASE("planned stops one after the other end no request of any caller") {
  local_cluster Cluster(3, milliseconds(20));
  Cluster.start();
  std::vector<std::unique_ptr<steady_callers>> Callers;
  Callers.reserve(Cluster.hostCount());
  for (int Host = 0; Host < Cluster.hostCount(); ++Host)
    Callers.push_back(std::make_unique<steady_callers>(
        Cluster.callerEndpoint(Host), 10, milliseconds(20), milliseconds(20)));
  std::vector<observed_stop> Stops(Cluster.hostCount());
  for (int Host = 0; Host < Cluster.hostCount(); ++Host) {
    Stops[Host].SignalAt = boot_clock().now();
    Cluster.daemon(Host).signal(SIGTERM);
    Stops[Host].End = Cluster.daemon(Host).wait(Grace);
    Cluster.startDaemon(Host);
    std::this_thread::sleep_for(milliseconds(300));
  }
  Cluster.awaitService(Cluster.hostCount() - 1);
  for (int Host = 0; Host < Cluster.hostCount(); ++Host) {
    Stops[Host].Calls = Callers[Host]->finish();
    REQUIRE(Stops[Host].End);
    CHECK(Stops[Host].End->isSuccess());
    CHECK(Stops[Host].lost() == "");
  }
}

// Guards against a stop that depends on the store.
TEST_CASE("a planned stop while the store is away ends no request") {
  local_cluster Cluster(3, milliseconds(20));
  Cluster.start();
  steady_callers Callers(Cluster.callerEndpoint(0), 10, milliseconds(20),
                         milliseconds(20));
  std::this_thread::sleep_for(milliseconds(500));
  Cluster.killStore();
  std::this_thread::sleep_for(milliseconds(500));
  observed_stop Stop;
  Stop.SignalAt = boot_clock().now();
  Cluster.daemon(0).signal(SIGTERM);
  Stop.End = Cluster.daemon(0).wait(Grace);
  Stop.Calls = Callers.finish();
  REQUIRE(Stop.End);
  CHECK(Stop.End->isSuccess());
  CHECK(Stop.lost() == "");
}

// Guards against heartbeats and checks of readiness that are cut in the middle
// by the end of a process which has nothing else to do.
TEST_CASE("a planned stop answers a readiness check that is arriving") {
  local_cluster Cluster(1, milliseconds(5));
  Cluster.start();
  Cluster.daemon(0).signal(SIGTERM);
  std::this_thread::sleep_for(AcceptTime - milliseconds(300));
  raw_connection Check(Cluster.readinessEndpoint(0));
  Check.send("GET /unknown HTTP/1.1\r\n");
  std::this_thread::sleep_for(milliseconds(1000));
  Check.send("Host: x\r\n\r\n");
  CHECK(Check.readAll().starts_with("HTTP/1.1 404 "));
  CHECK(!Check.wasReset());
  auto End = Cluster.daemon(0).wait(Grace);
  REQUIRE(End);
  CHECK(End->isSuccess());
}
