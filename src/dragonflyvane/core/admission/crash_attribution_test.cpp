#include "dragonflyvane/core/admission/crash_attribution.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::seconds;

namespace {

constexpr request_fingerprint Crashing = 7;
constexpr request_fingerprint Popular = 8;

server_incarnation incarnation(int Number) {
  return {"i-" + std::to_string(Number), Number};
}

/// The crash recorders of several hosts and the coordinator's correlator that
/// they report to.
struct cluster {
  std::vector<crash_recorder> Recorders{4};
  crash_correlator Correlator;
  time_point Now{seconds(1000)};

  void crashServer(int Server,
                   const std::vector<request_fingerprint> &Running) {
    for (request_fingerprint Request : Running)
      Recorders[Server].onConnectionLost(Request, incarnation(Server), Now);
    Now += seconds(1);
    Recorders[Server].onServerCrashed(incarnation(Server), Now);
  }
  void report() {
    for (crash_recorder &Recorder : Recorders)
      Correlator.onReport(Recorder.crashes(Now),
                          Recorder.requestsWithResponse(Now), Now);
  }
  bool isQuarantined(request_fingerprint Request) const {
    return Correlator.quarantined(Now).contains(Request);
  }
};

} // namespace

TEST_CASE("a request that crashes two servers is quarantined") {
  cluster Cluster;
  Cluster.crashServer(0, {Crashing, 1});
  Cluster.report();
  CHECK_FALSE(Cluster.isQuarantined(Crashing));
  CHECK(Cluster.Correlator.suspects(Cluster.Now).contains(Crashing));
  Cluster.crashServer(1, {Crashing, 2, 3});
  Cluster.report();
  CHECK(Cluster.isQuarantined(Crashing));
  CHECK_FALSE(Cluster.isQuarantined(1));
}

TEST_CASE("on busy servers a request is quarantined after three crashes") {
  cluster Cluster;
  Cluster.crashServer(0, {Crashing, 10, 11, 12, 13, 14});
  Cluster.crashServer(1, {Crashing, 20, 21, 22, 23, 24});
  Cluster.report();
  CHECK_FALSE(Cluster.isQuarantined(Crashing));
  Cluster.crashServer(2, {Crashing, 30, 31, 32, 33, 34});
  Cluster.report();
  CHECK(Cluster.isQuarantined(Crashing));
}

TEST_CASE("a request that another server responds to is not quarantined") {
  cluster Cluster;
  Cluster.crashServer(0, {Popular});
  Cluster.report();
  Cluster.Recorders[3].onResponse(Popular, Cluster.Now);
  Cluster.report();
  Cluster.crashServer(1, {Popular});
  Cluster.crashServer(2, {Popular});
  Cluster.report();
  CHECK_FALSE(Cluster.isQuarantined(Popular));
  Cluster.Correlator = {};
  Cluster.report();
  CHECK_FALSE(Cluster.isQuarantined(Popular));
}

TEST_CASE("a request whose connection was lost long before a crash is not "
          "suspected") {
  cluster Cluster;
  Cluster.Recorders[0].onConnectionLost(Crashing, incarnation(0), Cluster.Now);
  Cluster.Now += seconds(60);
  Cluster.Recorders[0].onServerCrashed(incarnation(0), Cluster.Now);
  Cluster.report();
  CHECK(Cluster.Correlator.suspects(Cluster.Now).empty());
}

TEST_CASE("a new coordinator restores the quarantine from the next reports") {
  cluster Cluster;
  Cluster.crashServer(0, {Crashing});
  Cluster.crashServer(1, {Crashing});
  Cluster.report();
  Cluster.Correlator = {};
  CHECK_FALSE(Cluster.isQuarantined(Crashing));
  Cluster.report();
  CHECK(Cluster.isQuarantined(Crashing));
}

TEST_CASE("a quarantine ends 300 seconds after the last crash") {
  cluster Cluster;
  Cluster.crashServer(0, {Crashing});
  Cluster.crashServer(1, {Crashing});
  Cluster.report();
  Cluster.Now += seconds(301);
  CHECK_FALSE(Cluster.isQuarantined(Crashing));
  Cluster.report();
  CHECK(Cluster.Correlator.suspects(Cluster.Now).empty());
}

TEST_CASE("repetitions of a request have the same fingerprint, other requests "
          "do not") {
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

TEST_CASE("fingerprints are formatted and parsed as 16 hexadecimal digits") {
  CHECK(formatFingerprint(0x2a) == "000000000000002a");
  CHECK(parseFingerprint("000000000000002a") == 0x2a);
  CHECK_FALSE(parseFingerprint("2a"));
  CHECK_FALSE(parseFingerprint("00000000000000zz"));
}
