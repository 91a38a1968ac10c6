// A soak with random signals. `DRAGONFLYVANE_FIRST_SOAK_SEED` and
// `DRAGONFLYVANE_SOAK_SEEDS` choose the seeds.
#include "process/local_cluster.hpp"
#include "process/steady_callers.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds Grace{6};
constexpr seconds SoakTime{20};
/// Shorter than the time after which a connection counts as broken.
constexpr milliseconds PauseTime{100};

int numberFrom(const char *Variable, int Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::atoi(Text) : Default;
}

/// Sends random signals to the daemons of a cluster: reloads, pauses, and
/// planned stops that may overlap.
class signal_soak {
public:
  signal_soak(local_cluster &Cluster, int Seed)
      : Cluster(Cluster), Random(Seed), StoppingSince(Cluster.hostCount()) {}

  void run() {
    time_point End = Clock.now() + SoakTime;
    while (Clock.now() < End) {
      signalOne();
      std::this_thread::sleep_for(milliseconds(draw(400)));
      for (int Host = 0; Host < Cluster.hostCount(); ++Host)
        checkProcess(Host, milliseconds(0));
    }
    for (int Host = 0; Host < Cluster.hostCount(); ++Host)
      if (StoppingSince[Host])
        checkProcess(Host, Grace);
  }

private:
  int draw(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(Random);
  }

  void signalOne() {
    int Host = draw(Cluster.hostCount());
    child_process &Daemon = Cluster.daemon(Host);
    switch (draw(4)) {
    case 0:
      Daemon.signal(SIGTERM);
      if (!StoppingSince[Host])
        StoppingSince[Host] = Clock.now();
      return;
    case 1:
      Daemon.signal(SIGSTOP);
      std::this_thread::sleep_for(PauseTime);
      Daemon.signal(SIGCONT);
      return;
    default:
      Daemon.signal(SIGHUP);
    }
  }

  /// Checks how a process ended, if it did, and starts the next one.
  void checkProcess(int Host, milliseconds Timeout) {
    auto End = Cluster.daemon(Host).wait(Timeout);
    CAPTURE(Host);
    if (!End) {
      CHECK(
          (!StoppingSince[Host] || Clock.now() - *StoppingSince[Host] < Grace));
      return;
    }
    CHECK(StoppingSince[Host]);
    CHECK(End->isSuccess());
    StoppingSince[Host].reset();
    Cluster.startDaemon(Host);
    Cluster.awaitOutput(Host);
  }

  local_cluster &Cluster;
  boot_clock Clock;
  std::mt19937 Random;
  std::vector<std::optional<time_point>> StoppingSince;
};

void checkCalls(const std::vector<ended_call> &Calls,
                const std::map<std::string, int> &RunCounts) {
  int Lost = 0;
  for (const ended_call &Call : Calls) {
    auto Found = RunCounts.find(Call.RequestId);
    int Runs = Found == RunCounts.end() ? 0 : Found->second;
    CAPTURE(Call.RequestId);
    CAPTURE(Call.Status);
    if (!Call.Idempotent)
      CHECK(Runs <= 1);
    if (!Call.Idempotent && (Call.Status == 503 || Call.Status == 429))
      CHECK(Runs == 0);
    if (Call.Status == 200)
      CHECK(Runs >= 1);
    Lost += Call.isLost() && Runs > 0;
  }
  CHECK(Lost == 0);
}

} // namespace

// Guards against processes that end by themselves, and against requests that
// are lost, run twice or are falsely called not run, while signals come in
// series and planned stops overlap.
TEST_CASE("random signals end no process without a stop and lose no request") {
  int FirstSeed = numberFrom("DRAGONFLYVANE_FIRST_SOAK_SEED", 1);
  int SeedCount = numberFrom("DRAGONFLYVANE_SOAK_SEEDS", 1);
  for (int Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
    CAPTURE(Seed);
    local_cluster Cluster(3, milliseconds(15));
    Cluster.start();
    std::vector<std::unique_ptr<steady_callers>> Callers;
    Callers.reserve(Cluster.hostCount());
    for (int Host = 0; Host < Cluster.hostCount(); ++Host)
      Callers.push_back(std::make_unique<steady_callers>(
          Cluster.callerEndpoint(Host), 6, milliseconds(15), milliseconds(15)));
    signal_soak(Cluster, Seed).run();
    std::vector<ended_call> Calls;
    for (const auto &Group : Callers)
      for (const ended_call &Call : Group->finish())
        Calls.push_back(Call);
    CHECK(Calls.size() > 100);
    checkCalls(Calls, Cluster.runCounts());
  }
}
