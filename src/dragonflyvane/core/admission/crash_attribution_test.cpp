#include "dragonflyvane/core/admission/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::seconds;

namespace {

constexpr request_fingerprint Bad = 7;
constexpr request_fingerprint Popular = 8;

server_incarnation incarnation(int Number) {
  return {"i-" + std::to_string(Number), Number};
}

/// Doors of some servers, and the steward that they report to.
struct fleet {
  std::vector<crash_recorder> Doors{4};
  crash_correlator Correlator;
  time_point Now{seconds(1000)};

  void die(int Server, const std::vector<request_fingerprint> &Running) {
    for (request_fingerprint Request : Running)
      Doors[Server].onConnectionLost(Request, incarnation(Server), Now);
    Now += seconds(1);
    Doors[Server].onServerCrashed(incarnation(Server), Now);
  }
  void report() {
    for (crash_recorder &Recorder : Doors)
      Correlator.onReport(Recorder.crashes(Now), Recorder.answered(Now), Now);
  }
  bool isQuarantined(request_fingerprint Request) const {
    return Correlator.quarantined(Now).contains(Request);
  }
};

} // namespace

TEST_CASE("a request that brings down two servers is not run a third time") {
  fleet Fleet;
  Fleet.die(0, {Bad, 1});
  Fleet.report();
  CHECK_FALSE(Fleet.isQuarantined(Bad));
  CHECK(Fleet.Correlator.suspects(Fleet.Now).contains(Bad));
  Fleet.die(1, {Bad, 2, 3});
  Fleet.report();
  CHECK(Fleet.isQuarantined(Bad));
  CHECK_FALSE(Fleet.isQuarantined(1));
}

TEST_CASE("on busy servers it takes three deaths to be sure") {
  fleet Fleet;
  Fleet.die(0, {Bad, 10, 11, 12, 13, 14});
  Fleet.die(1, {Bad, 20, 21, 22, 23, 24});
  Fleet.report();
  CHECK_FALSE(Fleet.isQuarantined(Bad));
  Fleet.die(2, {Bad, 30, 31, 32, 33, 34});
  Fleet.report();
  CHECK(Fleet.isQuarantined(Bad));
}

TEST_CASE("a popular request that is answered elsewhere is no cause") {
  fleet Fleet;
  Fleet.die(0, {Popular});
  Fleet.report();
  Fleet.Doors[3].onAnswered(Popular, Fleet.Now);
  Fleet.report();
  Fleet.die(1, {Popular});
  Fleet.die(2, {Popular});
  Fleet.report();
  CHECK_FALSE(Fleet.isQuarantined(Popular));
  Fleet.Correlator = {};
  Fleet.report();
  CHECK_FALSE(Fleet.isQuarantined(Popular));
}

TEST_CASE("a connection that breaks while its server lives on proves nothing") {
  fleet Fleet;
  Fleet.Doors[0].onConnectionLost(Bad, incarnation(0), Fleet.Now);
  Fleet.Now += seconds(60);
  Fleet.Doors[0].onServerCrashed(incarnation(0), Fleet.Now);
  Fleet.report();
  CHECK(Fleet.Correlator.suspects(Fleet.Now).empty());
}

TEST_CASE("a new steward learns of all crashes from the next reports") {
  fleet Fleet;
  Fleet.die(0, {Bad});
  Fleet.die(1, {Bad});
  Fleet.report();
  Fleet.Correlator = {};
  CHECK_FALSE(Fleet.isQuarantined(Bad));
  Fleet.report();
  CHECK(Fleet.isQuarantined(Bad));
}

TEST_CASE("a quarantine ends some minutes after the last crash") {
  fleet Fleet;
  Fleet.die(0, {Bad});
  Fleet.die(1, {Bad});
  Fleet.report();
  Fleet.Now += seconds(301);
  CHECK_FALSE(Fleet.isQuarantined(Bad));
  Fleet.report();
  CHECK(Fleet.Correlator.suspects(Fleet.Now).empty());
}

TEST_CASE("repetitions have the same fingerprint, others do not") {
  http_request Request;
  Request.Method = "GET";
  Request.Target = "/parts/17";
  Request.Headers.add("Host", "desk.example");
  Request.Headers.add("Request-Id", "1");
  http_request Again = Request;
  Again.Headers.set("Request-Id", "2");
  CHECK(fingerprintOf(Request, "ferry") == fingerprintOf(Again, "ferry"));
  CHECK(fingerprintOf(Request, "ferry") != fingerprintOf(Request, "mill"));
  Again.Body = "x";
  CHECK(fingerprintOf(Request, "ferry") != fingerprintOf(Again, "ferry"));
}

TEST_CASE("fingerprints are written and read as 16 digits") {
  CHECK(formatFingerprint(0x2a) == "000000000000002a");
  CHECK(parseFingerprint("000000000000002a") == 0x2a);
  CHECK_FALSE(parseFingerprint("2a"));
  CHECK_FALSE(parseFingerprint("00000000000000zz"));
}
