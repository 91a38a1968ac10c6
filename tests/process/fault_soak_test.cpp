// A soak of planned stops, reloads, pauses, configurations and servers that
// leave, beside callers with slow links, slow uploads and large answers. In
// every fifth seed the hosts have links of 10 Mbit/s, and callers send uploads
// that fill them.
// `DRAGONFLYVANE_FIRST_SOAK_SEED` and `DRAGONFLYVANE_SOAK_SEEDS` choose the
// seeds, `DRAGONFLYVANE_SOAK_SECONDS` the length of the run of a seed.
#include "process/local_cluster.hpp"
#include "process/processor_watch.hpp"
#include "process/soak_caller.hpp"
#include "process/soak_checks.hpp"
#include "process/soak_plan.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <map>
#include <memory>
#include <thread>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int HostCount = 6;
constexpr int CallersPerHost = 10;
/// In seeds with links of hosts.
constexpr int LinkMbps = 10;
constexpr int CallersPerLinkedHost = 8;
constexpr milliseconds TickTime{5};
constexpr size_t SlowLinkRate = size_t{64} << 10;

int numberFrom(const char *Variable, int Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::atoi(Text) : Default;
}

/// The run of one seed.
class fault_soak {
public:
  explicit fault_soak(int Seed)
      : Seed(Seed), Random(Seed),
        Cluster(HostCount, milliseconds(15),
                cluster_services::BookingsAndCatalogue,
                hasHostLinks() ? LinkMbps : 0),
        StopOfHost(HostCount), Watches(HostCount) {}

  void run() {
    Cluster.start();
    startCallers();
    seconds RunTime(numberFrom("DRAGONFLYVANE_SOAK_SECONDS", 36));
    time_point Start = Clock.now();
    for (const soak_step &Step : drawPlan(Random, HostCount, RunTime)) {
      watchUntil(Start + Step.At);
      perform(Step);
    }
    watchUntil(Start + RunTime);
    watchUntil(Clock.now() + Grace + seconds(1));
    finish();
  }

private:
  bool hasHostLinks() const { return Seed % 5 == 0; }

  int callersPerHost() const {
    return hasHostLinks() ? CallersPerLinkedHost : CallersPerHost;
  }

  /// Half of the callers of a host are behind a slow link.
  void startCallers() {
    for (int Host = 0; Host < HostCount; ++Host) {
      milliseconds Delay = drawDelay();
      Links.push_back(std::make_unique<slow_link>(
          Cluster.callerEndpoint(Host), link_direction{Delay, SlowLinkRate},
          link_direction{Delay, 0}));
      for (int I = 0; I < callersPerHost(); ++I)
        startCaller(Host, I, Delay);
    }
  }

  /// Every third seed has links of other delays.
  milliseconds drawDelay() {
    return milliseconds(Seed % 3 == 0 ? draw(Random, 50, 500) : 60);
  }

  void startCaller(int Host, int Number, milliseconds Delay) {
    caller_place Place;
    Place.Name = "s" + std::to_string(Seed) + "-h" + std::to_string(Host) +
                 "-c" + std::to_string(Number);
    Place.Host = Host;
    bool IsSlow = Number % 2 == 0;
    Place.Remote =
        IsSlow ? Links[Host]->localEndpoint() : Cluster.callerEndpoint(Host);
    Place.RoundTrip = IsSlow ? 2 * Delay : milliseconds(0);
    // Behind a slow link of its caller, an upload takes longer than its
    // timeout.
    if (hasHostLinks() && !IsSlow)
      Place.Draw = drawRequestOrUpload;
    Callers.push_back(std::make_unique<soak_caller>(
        Place, (Seed * HostCount + Host) * CallersPerHost + Number));
  }

  /// The steps are logged with the times of the daemons' logs.
  void perform(const soak_step &Step) {
    logLine(nameOf(Step.Action), Step.Host);
    child_process &Daemon = Cluster.daemon(Step.Host);
    switch (Step.Action) {
    case soak_action::Stop:
      return stop(Step.Host);
    case soak_action::Reload:
      return Daemon.signal(SIGHUP);
    case soak_action::Pause:
      return pause(Step.Host);
    case soak_action::Configure:
      return Cluster.reconfigure(draw(Random, 0, 100),
                                 milliseconds(ShortestRouteTimeout) *
                                     draw(Random, 100, 150) / 100);
    case soak_action::StopServer:
      return Cluster.stopServer(Step.Host);
    }
  }

  void pause(int Host) {
    daemon_pause Pause{Host, Clock.now(), {}};
    Cluster.daemon(Host).signal(SIGSTOP);
    std::this_thread::sleep_for(PauseTime);
    Cluster.daemon(Host).signal(SIGCONT);
    Pause.End = Clock.now();
    Record.Pauses.push_back(Pause);
  }

  void stop(int Host) {
    if (!StopOfHost[Host]) {
      StopOfHost[Host] = Record.Stops.size();
      Record.Stops.push_back({Host, Clock.now(), std::nullopt});
    }
    Cluster.daemon(Host).signal(SIGTERM);
  }

  void logLine(const std::string &What, int Host) const {
    auto Now = std::chrono::system_clock::now();
    std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
    auto Since = Now - std::chrono::system_clock::from_time_t(Seconds);
    std::ofstream(Cluster.folder() + "/steps.log", std::ios::app)
        << std::put_time(std::gmtime(&Seconds), "%T") << "+"
        << inMilliseconds(Since) << " ms " << What << " " << Host << "\n";
  }

  void watchUntil(time_point End) {
    do {
      for (int Host = 0; Host < HostCount; ++Host) {
        checkDaemon(Host);
        logProcessor(Host);
        Cluster.replaceEndedServer(Host);
      }
      std::this_thread::sleep_for(TickTime);
    } while (Clock.now() < End);
  }

  /// Logs when a daemon has no processor or is busy; that excuses nothing.
  void logProcessor(int Host) {
    std::string What = Watches[Host].look(Cluster.daemon(Host));
    if (!What.empty())
      logLine(What, Host);
  }

  /// Checks how a daemon ended, if it did, and starts the next one.
  void checkDaemon(int Host) {
    auto End = Cluster.daemon(Host).wait(milliseconds(0));
    auto Stop = StopOfHost[Host];
    if (!End) {
      if (Stop && Clock.now() - Record.Stops[*Stop].SignalAt > Grace)
        killLate(Host);
      return;
    }
    if (!Stop || !End->isSuccess())
      Faults.push_back("host " + std::to_string(Host) +
                       " ended by itself or without success");
    if (Stop)
      Record.Stops[*Stop].EndedAt = Clock.now();
    StopOfHost[Host].reset();
    Cluster.startDaemon(Host);
    Cluster.awaitOutput(Host);
    Watches[Host] = processor_watch();
  }

  void killLate(int Host) {
    Faults.push_back("host " + std::to_string(Host) +
                     " ran on after the grace");
    Cluster.daemon(Host).signal(SIGKILL);
    Cluster.daemon(Host).wait(seconds(1));
  }

  void finish() {
    std::vector<soak_call> Calls;
    for (const auto &Caller : Callers)
      Caller->requestFinish();
    for (const auto &Caller : Callers)
      for (const soak_call &Call : Caller->finish())
        Calls.push_back(Call);
    Record.Runs = Cluster.runs();
    for (const std::string &Line : brokenPromises(Calls, Record))
      Faults.push_back(Line);
    report(Calls);
  }

  void report(const std::vector<soak_call> &Calls) {
    std::map<std::string, int> Counts;
    for (const soak_call &Call : Calls)
      ++Counts[resultOf(Call)];
    std::string Text = "seed " + std::to_string(Seed) + ": " +
                       std::to_string(Calls.size()) + " requests, " +
                       std::to_string(Record.Stops.size()) + " stops;";
    for (const auto &[Name, Count] : Counts)
      Text += " " + Name + ": " + std::to_string(Count);
    MESSAGE(Text);
    CHECK(Calls.size() > 100);
    CHECK(2 * Counts["200"] > static_cast<int>(Calls.size()));
    if (Faults.empty())
      return;
    Cluster.keepFolder();
    for (const std::string &Fault : Faults)
      FAIL_CHECK("seed " << Seed << ", logs in " << Cluster.folder() << ": "
                         << Fault);
  }

  /// A link resets the caller's connection at once if the daemon refuses the
  /// link's; nothing of the daemon arrives so soon.
  static bool isRefusedByLink(const soak_call &Call) {
    return Call.EndedAt - Call.FirstByteAt < Call.RoundTrip / 2;
  }

  static std::string resultOf(const soak_call &Call) {
    switch (Call.End) {
    case call_end::Answered:
      return std::to_string(Call.Status);
    case call_end::NotConnected:
      return "not connected";
    case call_end::Closed:
      return isRefusedByLink(Call) ? "not connected by link" : "closed";
    case call_end::GivenUp:
      return "given up";
    case call_end::TimedOut:
      return "timed out";
    }
    return "";
  }

  int Seed;
  std::mt19937 Random;
  boot_clock Clock;
  local_cluster Cluster;
  std::vector<std::unique_ptr<slow_link>> Links;
  std::vector<std::unique_ptr<soak_caller>> Callers;
  /// The stop of each host that stops, as an index of those of the record.
  std::vector<std::optional<size_t>> StopOfHost;
  std::vector<processor_watch> Watches;
  soak_record Record;
  std::vector<std::string> Faults;
};

} // namespace

// Guards against requests that a planned stop, a reload or a configuration
// loses, cuts while they arrive, runs twice, falsely calls not run or answers
// in place of their servers. Seeds 1 to 4 failed on 615ff38, and seeds 1 to 3
// on 8ae8c73: requests that were arriving were not waited for in a planned
// stop.
TEST_CASE("random faults lose no request that is on its way or runs") {
  int FirstSeed = numberFrom("DRAGONFLYVANE_FIRST_SOAK_SEED", 1);
  int SeedCount = numberFrom("DRAGONFLYVANE_SOAK_SEEDS", 1);
  for (int Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed)
    fault_soak(Seed).run();
}
