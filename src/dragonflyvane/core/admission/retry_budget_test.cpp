#include "dragonflyvane/core/admission/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

constexpr int Hosts = 12;

/// Returns the retries of all hosts within one window in which every request
/// asks for one retry.
int countRetries(const retry_budget_options &Options, int RequestsPerHost) {
  manual_clock Clock;
  int Taken = 0;
  for (int Host = 0; Host < Hosts; ++Host) {
    retry_budget Budget(Options, Hosts, Clock.now());
    manual_clock HostClock = Clock;
    for (int I = 0; I < RequestsPerHost; ++I) {
      HostClock.advance(Options.Window / RequestsPerHost);
      Budget.onRequest();
      Taken += Budget.take(HostClock.now());
    }
  }
  return Taken;
}

} // namespace

TEST_CASE("in a retry storm all hosts together stay within the shared budget") {
  retry_budget_options Options{0.2, 64, std::chrono::seconds(10)};
  for (int Requests : {1, 10, 100, 1000}) {
    CAPTURE(Requests);
    double Allowed = Options.Ratio * Requests * Hosts + Options.ExtraRetries;
    CHECK(countRetries(Options, Requests) <= Allowed * 0.6);
  }
}

TEST_CASE("a host without recent requests may still retry at a low rate") {
  manual_clock Clock;
  retry_budget Budget({0.2, 64, std::chrono::seconds(10)}, Hosts, Clock.now());
  Clock.advance(std::chrono::seconds(12));
  CHECK(Budget.take(Clock.now()));
  CHECK(!Budget.take(Clock.now()));
}

// Guards against a process that restarts again and again, and is given a retry
// each time.
TEST_CASE("a host that has just started has earned no retry") {
  manual_clock Clock;
  retry_budget Budget({0.2, 10, std::chrono::seconds(10)}, 6, Clock.now());
  Budget.onRequest();
  Clock.advance(std::chrono::milliseconds(200));
  CHECK(!Budget.take(Clock.now()));
  for (int I = 0; I < 15; ++I)
    Budget.onRequest();
  CHECK(Budget.take(Clock.now()));
  CHECK(!Budget.take(Clock.now()));
}
