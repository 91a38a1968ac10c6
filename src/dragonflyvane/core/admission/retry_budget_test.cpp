#include "dragonflyvane/core/admission/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

constexpr int Hosts = 12;

/// Retries of all hosts in one window in which every request wants one.
int retriesWanted(const retry_budget_options &Terms, int RequestsPerHost) {
  manual_clock Clock;
  int Taken = 0;
  for (int Host = 0; Host < Hosts; ++Host) {
    retry_budget Budget(Terms, Hosts, Clock.now());
    manual_clock Own = Clock;
    for (int I = 0; I < RequestsPerHost; ++I) {
      Own.advance(Terms.Window / RequestsPerHost);
      Budget.onRequest();
      Taken += Budget.take(Own.now());
    }
  }
  return Taken;
}

} // namespace

TEST_CASE("retry storm: all hosts together stay within the shared budget") {
  retry_budget_options Terms{0.2, 64, std::chrono::seconds(10)};
  for (int Requests : {1, 10, 100, 1000}) {
    CAPTURE(Requests);
    double Allowed = Terms.Ratio * Requests * Hosts + Terms.ExtraRetries;
    CHECK(retriesWanted(Terms, Requests) <= Allowed * 0.6);
  }
}

TEST_CASE("a host with hardly any requests may still retry now and then") {
  manual_clock Clock;
  retry_budget Budget({0.2, 64, std::chrono::seconds(10)}, Hosts, Clock.now());
  Clock.advance(std::chrono::seconds(12));
  CHECK(Budget.take(Clock.now()));
  CHECK(!Budget.take(Clock.now()));
}
