// Uploads and short calls from all hosts of a cluster at once, on links of
// 10 Mbit/s, beside a planned stop. `DRAGONFLYVANE_FIRST_LINK_SEED` and
// `DRAGONFLYVANE_LINK_SEEDS` choose the seeds.
#include "process/local_cluster.hpp"
#include "process/soak_caller.hpp"
#include "process/soak_checks.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int HostCount = 6;
constexpr int LinkMbps = 10;
/// Uploaders at each host that has `bookings`, and at each other.
constexpr int Uploaders = 4;
constexpr int CatalogueUploaders = 1;
constexpr int CatalogueHosts = 2;
constexpr int ShortCallersPerHost = 2;
constexpr int StoppedHost = 1;
constexpr seconds TimeBeforeStop{3};
constexpr seconds TimeAfterStop{3};
/// Then nothing is on its way any more.
constexpr seconds TimeAfterCallers{2};
/// A server begins no request later after its caller has left.
constexpr milliseconds LateBeginBound{500};

int numberFrom(const char *Variable, int Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::atoi(Text) : Default;
}

/// What callers and servers saw in a run of one seed.
struct link_run {
  std::vector<soak_call> Calls;
  soak_record Record;

  std::vector<server_run> runsOf(const soak_call &Call) const {
    auto Found = Record.Runs.find(Call.RequestId);
    return Found == Record.Runs.end() ? std::vector<server_run>{}
                                      : Found->second;
  }

  /// Whether an answer of the daemon took the place of a server's success.
  bool isLostAnswer(const soak_call &Call) const {
    std::vector<server_run> Runs = runsOf(Call);
    bool IsOwn = Call.Status == 502 || Call.Status == 504;
    return IsOwn && std::any_of(Runs.begin(), Runs.end(), [](const auto &Run) {
             return Run.End && !Run.HasFailed;
           });
  }

  /// Whether a server began the request long after its caller had left.
  bool isBegunLate(const soak_call &Call) const {
    std::vector<server_run> Runs = runsOf(Call);
    return std::any_of(Runs.begin(), Runs.end(), [&](const auto &Run) {
      return Run.Begin > Call.EndedAt + LateBeginBound;
    });
  }

  template <typename Condition>
  ptrdiff_t count(const Condition &Matches) const {
    return std::count_if(Calls.begin(), Calls.end(), Matches);
  }
};

std::vector<std::unique_ptr<soak_caller>>
startCallers(const local_cluster &Cluster, int Seed) {
  std::vector<std::unique_ptr<soak_caller>> Callers;
  for (int Host = 0; Host < HostCount; ++Host) {
    bool HasBookings = Host < HostCount - CatalogueHosts;
    int UploadersHere = HasBookings ? Uploaders : CatalogueUploaders;
    for (int I = 0; I < UploadersHere + ShortCallersPerHost; ++I) {
      caller_place Place;
      Place.Name = "u" + std::to_string(Seed) + "-h" + std::to_string(Host) +
                   "-c" + std::to_string(I);
      Place.Host = Host;
      // TCP keeps what a caller has on its way small, which the test's links
      // do not, so uploads of callers do not take them.
      bool Uploads = I < UploadersHere;
      Place.Remote =
          Uploads ? Cluster.callerEndpoint(Host) : Cluster.remoteEndpoint(Host);
      Place.Draw = Uploads ? drawUpload : drawShortCall;
      Callers.push_back(
          std::make_unique<soak_caller>(Place, Seed * 1000 + Host * 100 + I));
    }
  }
  return Callers;
}

daemon_stop stopAndReplace(local_cluster &Cluster, int Host) {
  boot_clock Clock;
  daemon_stop Stop{Host, Clock.now(), std::nullopt};
  Cluster.daemon(Host).signal(SIGTERM);
  auto End = Cluster.daemon(Host).wait(Grace);
  CHECK((End && End->isSuccess()));
  Stop.EndedAt = Clock.now();
  Cluster.startDaemon(Host);
  return Stop;
}

link_run runSeed(local_cluster &Cluster, int Seed) {
  link_run Run;
  Cluster.start();
  auto Callers = startCallers(Cluster, Seed);
  std::this_thread::sleep_for(TimeBeforeStop);
  Run.Record.Stops.push_back(stopAndReplace(Cluster, StoppedHost));
  std::this_thread::sleep_for(TimeAfterStop);
  for (const auto &Caller : Callers)
    Caller->requestFinish();
  for (const auto &Caller : Callers)
    for (const soak_call &Call : Caller->finish())
      Run.Calls.push_back(Call);
  std::this_thread::sleep_for(TimeAfterCallers);
  Run.Record.Runs = Cluster.runs();
  return Run;
}

void printStatuses(const link_run &Run, int Seed) {
  std::map<std::string, int> Counts;
  for (const soak_call &Call : Run.Calls)
    ++Counts[Call.Kind + " " + std::to_string(Call.Status)];
  std::string Text = "seed " + std::to_string(Seed) + ":";
  for (const auto &[Name, Count] : Counts)
    Text += " " + Name + ": " + std::to_string(Count) + ",";
  MESSAGE(Text);
}

/// Returns whether all promises were kept.
bool checkRun(const link_run &Run) {
  auto LostAnswers =
      Run.count([&](const auto &Call) { return Run.isLostAnswer(Call); });
  auto BegunLate =
      Run.count([&](const auto &Call) { return Run.isBegunLate(Call); });
  auto Uploaded = Run.count([](const auto &Call) {
    return Call.Kind == "upload" && Call.Status == 200;
  });
  std::vector<std::string> Broken = brokenPromises(Run.Calls, Run.Record);
  CHECK(LostAnswers == 0);
  CHECK(BegunLate == 0);
  CHECK(Uploaded > 50);
  for (const std::string &Promise : Broken)
    FAIL_CHECK(Promise);
  return LostAnswers == 0 && BegunLate == 0 && Uploaded > 50 && Broken.empty();
}

} // namespace

// Guards against a full link that is taken for the loss of a host: uploads that
// servers run to their end are answered 502, and small requests reach servers
// after their callers have left.
TEST_CASE("uploads from all hosts on thin links are answered by their "
          "servers") {
  int FirstSeed = numberFrom("DRAGONFLYVANE_FIRST_LINK_SEED", 1);
  int SeedCount = numberFrom("DRAGONFLYVANE_LINK_SEEDS", 1);
  for (int Seed = FirstSeed; Seed < FirstSeed + SeedCount; ++Seed) {
    local_cluster Cluster(HostCount, milliseconds(15),
                          cluster_services::BookingsAndTwoCatalogues, LinkMbps);
    link_run Run = runSeed(Cluster, Seed);
    CAPTURE(Seed);
    CAPTURE(Cluster.folder());
    printStatuses(Run, Seed);
    if (!checkRun(Run))
      Cluster.keepFolder();
  }
}
