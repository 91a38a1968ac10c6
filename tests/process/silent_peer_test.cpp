// Daemons whose peers show no sign of life for a while.
#include "process/local_cluster.hpp"
#include "process/steady_callers.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string describe(const ended_call &Call) {
  return std::string(Call.Idempotent ? "parts " : "orders ") +
         std::to_string(Call.Status) + " after " +
         std::to_string(inMilliseconds(Call.Took)) + " ms; ";
}

} // namespace

// Guards against requests that are answered "unknown" as soon as the daemon
// that they were passed on to does not run for a while: they wait in its
// sockets, and are run when it goes on.
TEST_CASE("a daemon that pauses costs no request that was passed on to it") {
  local_cluster Cluster(2, milliseconds(20));
  Cluster.start();
  steady_callers Callers(Cluster.callerEndpoint(0), 20, milliseconds(20),
                         milliseconds(20));
  std::this_thread::sleep_for(seconds(1));
  Cluster.daemon(1).signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(1400));
  Cluster.daemon(1).signal(SIGCONT);
  std::this_thread::sleep_for(seconds(2));
  std::string Unknown;
  size_t Waited = 0;
  for (const ended_call &Call : Callers.finish()) {
    if (Call.Status == 502 || Call.Status == 504 || Call.isLost())
      Unknown += describe(Call);
    Waited += Call.Status == 200 && Call.Took > milliseconds(1000);
  }
  CHECK(Unknown == "");
  CHECK(Waited > 0);
  CHECK(Cluster.log(0).find("\"message\":\"peer is silent\"") !=
        std::string::npos);
}

// Guards against runs that are cut off, so that their effect is not whole, when
// the daemon that passed their requests on is killed.
TEST_CASE("a daemon that is killed cuts off no run that may not be repeated") {
  local_cluster Cluster(2, milliseconds(600));
  Cluster.start();
  steady_callers Callers(Cluster.callerEndpoint(0), 10, milliseconds(20),
                         milliseconds(20));
  std::this_thread::sleep_for(milliseconds(1500));
  Cluster.daemon(0).signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(300));
  Callers.finish();
  CHECK(Cluster.log(1).find("request goes on without its connection") !=
        std::string::npos);
}
