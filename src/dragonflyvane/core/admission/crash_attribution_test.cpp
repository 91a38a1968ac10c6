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
  CHECK(fingerprintOf(Request, "ferry", {}) ==
        fingerprintOf(Again, "ferry", {}));
  CHECK(fingerprintOf(Request, "ferry", {}) !=
        fingerprintOf(Request, "mill", {}));
  Again.Body = "x";
  CHECK(fingerprintOf(Request, "ferry", {}) !=
        fingerprintOf(Again, "ferry", {}));
}

// Guards against the quarantine of all requests for a path, because one of
// them, with one key, crashes its servers.
TEST_CASE("requests with other keys have other fingerprints") {
  http_request Request;
  Request.Method = "GET";
  Request.Target = "/parts/17";
  CHECK(fingerprintOf(Request, "", 4) == fingerprintOf(Request, "", 4));
  CHECK(fingerprintOf(Request, "", 4) != fingerprintOf(Request, "", 5));
  CHECK(fingerprintOf(Request, "", 4) != fingerprintOf(Request, "", {}));
}

namespace {

/// Two requests that ran together in the crashes of three servers.
struct convicted_cluster : cluster {
  convicted_cluster() {
    for (int Server = 0; Server < 3; ++Server)
      crashServer(Server, {Crashing, Popular});
    report();
    REQUIRE(isQuarantined(Crashing));
    REQUIRE(isQuarantined(Popular));
  }
  void refuse(const std::string &Host, request_fingerprint Request,
              size_t OtherServers = 2) {
    Correlator.onRefused(Host, {Request}, OtherServers, Now);
  }
  request_trial trialOf(request_fingerprint Request) const {
    return Correlator.trials(Now).at(Request);
  }
  /// The server of a host runs a request as a trial and crashes.
  void crashTrial(int Server, int Incarnation) {
    Recorders[Server].onTrial(Crashing, incarnation(Incarnation));
    Recorders[Server].onConnectionLost(Crashing, incarnation(Incarnation), Now);
    Recorders[Server].onServerCrashed(incarnation(Incarnation), Now);
    report();
  }
};

} // namespace

// Guards against requests that did no harm, and that are refused for minutes
// because no server may run them to show it.
TEST_CASE("a quarantined request is released by a response to its trial") {
  convicted_cluster Cluster;
  Cluster.refuse("a", Popular);
  CHECK(Cluster.trialOf(Popular).Host.empty());
  CHECK(Cluster.trialOf(Popular).Delay == seconds(5));
  Cluster.Now += seconds(5);
  Cluster.refuse("a", Popular);
  CHECK(Cluster.trialOf(Popular).Host == "a");
  CHECK(Cluster.trialOf(Popular).Delay == seconds(0));
  Cluster.Recorders[0].onResponse(Popular, Cluster.Now);
  Cluster.report();
  CHECK_FALSE(Cluster.isQuarantined(Popular));
  CHECK(Cluster.isQuarantined(Crashing));
}

TEST_CASE("a request has one trial at a time, and so has a host") {
  convicted_cluster Cluster;
  Cluster.Now += seconds(5);
  Cluster.refuse("a", Popular);
  uint64_t Number = Cluster.trialOf(Popular).Number;
  Cluster.refuse("b", Popular);
  CHECK(Cluster.trialOf(Popular).Host == "a");
  CHECK(Cluster.trialOf(Popular).Number == Number);
  Cluster.refuse("a", Crashing);
  CHECK(Cluster.trialOf(Crashing).Host.empty());
  Cluster.refuse("b", Crashing);
  CHECK(Cluster.trialOf(Crashing).Host == "b");
}

TEST_CASE("no trial begins while no other server is ready") {
  convicted_cluster Cluster;
  Cluster.Now += seconds(5);
  Cluster.refuse("a", Popular, 0);
  CHECK(Cluster.trialOf(Popular).Host.empty());
  Cluster.refuse("a", Popular, 1);
  Cluster.refuse("b", Crashing, 1);
  CHECK(Cluster.trialOf(Crashing).Host.empty());
}

// Guards against a request that ends a server again and again.
TEST_CASE("a request that crashes its trials gets three of them, further and "
          "further apart") {
  convicted_cluster Cluster;
  int Trials = 0;
  std::vector<std::chrono::milliseconds> Delays;
  for (time_point End = Cluster.Now + seconds(290); Cluster.Now < End;
       Cluster.Now += seconds(1)) {
    Cluster.refuse("a", Crashing);
    if (Cluster.trialOf(Crashing).Host.empty())
      continue;
    ++Trials;
    Cluster.crashTrial(0, 10 + Trials);
    CHECK(Cluster.trialOf(Crashing).Host.empty());
    Delays.push_back(Cluster.trialOf(Crashing).Delay);
    CHECK(Cluster.isQuarantined(Crashing));
  }
  CHECK(Trials == 3);
  CHECK(Delays == std::vector<std::chrono::milliseconds>{
                      seconds(30), seconds(120), seconds(300)});
}

TEST_CASE("a new coordinator knows the trials that have failed") {
  convicted_cluster Cluster;
  Cluster.Now += seconds(5);
  Cluster.refuse("a", Crashing);
  uint64_t Number = Cluster.trialOf(Crashing).Number;
  Cluster.crashTrial(0, 10);
  Cluster.Correlator = {};
  Cluster.report();
  CHECK(Cluster.trialOf(Crashing).Delay == seconds(30));
  Cluster.Now += seconds(30);
  Cluster.refuse("a", Crashing);
  CHECK(Cluster.trialOf(Crashing).Number > Number);
}

TEST_CASE("a trial without a result ends, and another host may try") {
  convicted_cluster Cluster;
  Cluster.Now += seconds(5);
  Cluster.refuse("a", Popular);
  Cluster.Now += seconds(10);
  CHECK(Cluster.trialOf(Popular).Host.empty());
  Cluster.refuse("b", Popular);
  CHECK(Cluster.trialOf(Popular).Host == "b");
}

// Guards against a planned stop or restart of servers as evidence against the
// requests that they ran.
TEST_CASE("a server that stops as announced is no evidence") {
  cluster Cluster;
  for (int Server = 0; Server < 3; ++Server) {
    Cluster.Recorders[Server].onConnectionLost(Popular, incarnation(Server),
                                               Cluster.Now);
    Cluster.Recorders[Server].onServerStopped(incarnation(Server));
    Cluster.Recorders[Server].onServerCrashed(incarnation(Server), Cluster.Now);
  }
  Cluster.report();
  CHECK(Cluster.Correlator.suspects(Cluster.Now).empty());
}

TEST_CASE("fingerprints are formatted and parsed as 16 hexadecimal digits") {
  CHECK(formatFingerprint(0x2a) == "000000000000002a");
  CHECK(parseFingerprint("000000000000002a") == 0x2a);
  CHECK_FALSE(parseFingerprint("2a"));
  CHECK_FALSE(parseFingerprint("00000000000000zz"));
}
