#include "dragonflyvane/node/serving/crash_guard.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr request_fingerprint Request = 7;

/// The response of a coordinator that has quarantined the request.
report_response quarantine(const request_trial &Trial) {
  report_response Response;
  Response.Suspects = Response.Quarantined = {Request};
  Response.Trials[Request] = Trial;
  return Response;
}

struct fixture {
  std::vector<request_fingerprint> takeRefused() {
    report_message Report;
    Guard.addCrashReport(Report);
    return Report.RefusedRequests;
  }

  manual_scheduler Loop;
  crash_guard Guard{Loop.clock(), "a"};
};

} // namespace

// Guards against a request that each host runs, or that a host runs several
// times, in a single trial.
TEST_CASE("a host runs a quarantined request once for each of its trials") {
  fixture F;
  CHECK(!F.Guard.refusalDelay(Request));
  F.Guard.onReportResponse(quarantine({"b", 1, {}}));
  CHECK(F.Guard.refusalDelay(Request));
  F.Guard.onReportResponse(quarantine({"a", 2, {}}));
  CHECK(!F.Guard.refusalDelay(Request));
  CHECK(F.Guard.refusalDelay(Request));
  F.Guard.onReportResponse(quarantine({"a", 2, {}}));
  CHECK(F.Guard.refusalDelay(Request));
  F.Guard.onReportResponse(quarantine({"a", 3, {}}));
  CHECK(!F.Guard.refusalDelay(Request));
}

// Guards against callers that return too early, or much later than the trial.
TEST_CASE("the delay of a refusal ends after the next trial") {
  fixture F;
  F.Guard.onReportResponse(quarantine({"", 0, seconds(20)}));
  auto Delay = F.Guard.refusalDelay(Request);
  REQUIRE(Delay);
  CHECK(*Delay >= seconds(20));
  CHECK(*Delay < seconds(25));
  F.Loop.runFor(seconds(8));
  CHECK(*F.Guard.refusalDelay(Request) == *Delay - seconds(8));
  F.Loop.runFor(seconds(60));
  CHECK(*F.Guard.refusalDelay(Request) > milliseconds(0));
}

TEST_CASE("refused requests are reported once") {
  fixture F;
  F.Guard.onReportResponse(quarantine({}));
  CHECK(F.takeRefused().empty());
  F.Guard.refusalDelay(Request);
  F.Guard.refusalDelay(Request);
  CHECK(F.takeRefused() == std::vector<request_fingerprint>{Request});
  CHECK(F.takeRefused().empty());
}

TEST_CASE("the host of an open trial is known") {
  fixture F;
  CHECK(!F.Guard.trialHost(Request));
  F.Guard.onReportResponse(quarantine({"b", 1, {}}));
  CHECK(F.Guard.trialHost(Request) == "b");
  F.Guard.onReportResponse(quarantine({"", 1, seconds(3)}));
  CHECK(!F.Guard.trialHost(Request));
}
