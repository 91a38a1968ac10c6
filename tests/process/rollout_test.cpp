// Rollouts with real daemons and servers.
#include "process/local_cluster.hpp"
#include "process/steady_callers.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <thread>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int OldHosts = 3;
constexpr int HostCount = 6;
/// Long enough for a release of keys by heartbeats on a busy machine.
constexpr seconds Duration{12};
/// How long the old servers have been gone when the callers end.
constexpr milliseconds Aftermath{700};
/// The servers of a version that was rolled back stop no earlier than this.
constexpr seconds DrainAfter{2};
/// The bounds of the deployment with rollouts.
constexpr double ExposureShare = 0.1;
constexpr double ExposureSlack = 50;

/// Waits until operators read that the rollout to a version has ended, and
/// returns what they read.
std::string awaitEnd(const local_cluster &Cluster, const std::string &To) {
  boot_clock Clock;
  time_point End = Clock.now() + Duration + seconds(3);
  std::string Status;
  while (Clock.now() < End) {
    Status = Cluster.rolloutStatus("bookings");
    if (Status.find("running") == std::string::npos &&
        Status.find(To) != std::string::npos)
      return Status;
    std::this_thread::sleep_for(milliseconds(100));
  }
  return Status;
}

std::unique_ptr<steady_callers> startCallers(const local_cluster &Cluster) {
  return std::make_unique<steady_callers>(Cluster.callerEndpoint(0), 16,
                                          milliseconds(60), milliseconds(100));
}

ptrdiff_t countStatus(const std::vector<ended_call> &Calls, int Status) {
  return std::count_if(Calls.begin(), Calls.end(), [&](const ended_call &Call) {
    return Call.Status == Status;
  });
}

/// Starts servers of another version beside the old ones.
void startVersion(local_cluster &Cluster, const std::string &Version,
                  int FailurePercent) {
  for (int Host = OldHosts; Host < HostCount; ++Host)
    Cluster.replaceServer(Host, Version, FailurePercent);
}

} // namespace

// Guards against a bad version that is completed or gets more requests than the
// bound allows, and against a good one that is not completed in time, or whose
// old servers still have keys or requests at that moment.
TEST_CASE("a bad version is rolled back, and a good one is completed") {
  local_cluster Cluster(HostCount, milliseconds(15));
  Cluster.enableRollouts();
  for (int Host = 0; Host < OldHosts; ++Host)
    Cluster.startDaemon(Host);
  for (int Host = 0; Host < OldHosts; ++Host)
    Cluster.awaitService(Host);

  auto Callers = startCallers(Cluster);
  Cluster.orderRollout("bookings", "v2", Duration);
  startVersion(Cluster, "v2", 40);
  for (int Host = OldHosts; Host < HostCount; ++Host)
    Cluster.startDaemon(Host);
  CHECK(awaitEnd(Cluster, "v2") == R"({"state":"rolled_back","to":"v2"})");
  std::vector<ended_call> Calls = Callers->finish();
  auto Failed = static_cast<double>(countStatus(Calls, 500));
  CHECK(Failed > 0);
  CHECK(Failed <=
        ExposureShare * static_cast<double>(Calls.size()) + ExposureSlack);

  std::this_thread::sleep_for(DrainAfter);
  Callers = startCallers(Cluster);
  boot_clock Clock;
  time_point OrderedAt = Clock.now();
  Cluster.orderRollout("bookings", "v3", Duration);
  startVersion(Cluster, "v3", 0);
  CHECK(awaitEnd(Cluster, "v3") == R"({"state":"completed","to":"v3"})");
  time_point CompletedAt = Clock.now();
  CHECK(CompletedAt - OrderedAt < Duration);
  for (int Host = 0; Host < OldHosts; ++Host)
    Cluster.killServer(Host);
  std::this_thread::sleep_for(Aftermath);
  // A request whose key changes owner may be refused, but none is lost.
  for (const ended_call &Call : Callers->finish()) {
    bool IsRefused = Call.Status == 503 && Call.SentAt < CompletedAt;
    CHECK((Call.Status == 200 || IsRefused));
  }
}
