#include "dragonflyvane/node/serving/dispatcher.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr key_point HotPoint = 30'000;

/// A dispatcher whose backend server holds all keys, has 6 slots, and responds
/// after 100 ms, so that it processes 60 requests a second.
struct keyed_fixture {
  struct outcome {
    int Answered = 0;
    std::vector<forward_result> Refused;
  };

  keyed_fixture() {
    Loop.runFor(milliseconds(1));
    sendHeartbeat();
    Map.Ranges[0].Owner = "host-1";
    Map.Ranges[0].Incarnation = Server.incarnation();
    Map.Ranges[0].Token = 7;
    sendHeartbeat();
    // Past the time after which the keys are surely free.
    for (int I = 0; I < 50; ++I) {
      Loop.runFor(milliseconds(200));
      sendHeartbeat();
    }
  }

  void sendHeartbeat() {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", 1000};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.Slots = 6;
    Heartbeat.Sequence = ++Sequence;
    Heartbeat.Keys.emplace();
    if (Sequence > 2)
      Heartbeat.Keys->Held.push_back({0, LastPoint, 7});
    Server.onHeartbeat(Heartbeat, {&Map, false, Loop.now() + seconds(4),
                                   grant_way::Heartbeat, true});
  }

  call_id receive(const http_request &Request,
                  const http_client::callback &Callback) {
    call_result Result;
    Result.Outcome = call_outcome::Completed;
    Result.Response.Headers.add(Names.Signature, "s");
    Result.Response.Headers.add(Names.RequestId,
                                *Request.Headers.find(Names.RequestId));
    Loop.postDelayed(milliseconds(100),
                     [Callback, Result] { Callback(Result); });
    return ++LastCall;
  }

  void submit(key_point Point, outcome &Outcome) {
    forward_metadata Metadata;
    Metadata.Service = "desk";
    Metadata.Route = "peek";
    Metadata.Point = Point;
    Metadata.TimeLeft = milliseconds(2000);
    Metadata.SoftTimeLeft = milliseconds(500);
    http_request Request;
    Request.Headers.add(Names.RequestId, std::to_string(++LastRequest));
    Dispatcher.submit(Metadata, Request, [&](const forward_result &Result) {
      if (Result.Outcome == forward_outcome::Answered)
        ++Outcome.Answered;
      else
        Outcome.Refused.push_back(Result);
    });
  }

  /// Submits 25 requests a second for all points, and `HotRate` for one.
  void submitFor(duration Span, int HotRate) {
    for (duration Elapsed{0}; Elapsed < Span; Elapsed += milliseconds(40)) {
      OtherPoint = (OtherPoint + 7919) % LastPoint;
      submit(OtherPoint, Others);
      for (int I = 0; I < HotRate * 40 / 1000; ++I)
        submit(HotPoint, Hot);
      Loop.runFor(milliseconds(40));
      if (inMilliseconds(Elapsed) % 200 == 0)
        sendHeartbeat();
    }
  }

  header_names Names;
  manual_scheduler Loop;
  settings Settings = [] {
    settings Desk;
    Desk.Host = "host-1";
    Desk.LocalService = "desk";
    Desk.ServerEndpoint = endpoint{"127.0.0.1", 9};
    return Desk;
  }();
  ownership_map Map;
  local_server Server{Settings, Loop.clock()};
  crash_guard Guard{Loop.clock(), "host"};
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  metrics Metrics;
  bulk_pacer Link{Loop, Loop.clock(), 1e9};
  graceful_shutdown Shutdown{Loop.clock(), milliseconds(5600)};
  uint64_t Sequence = 0;
  call_id LastCall = 0;
  int LastRequest = 0;
  key_point OtherPoint = 0;
  outcome Others;
  outcome Hot;
  dispatcher Dispatcher{
      {Loop, Loop.clock(),
       [this](const endpoint &, const http_request &Request,
              const call_options &, const http_client::callback &Callback) {
         return receive(Request, Callback);
       },
       [](call_id) {}, Server, Guard, OperatorState, Names, Metrics, Link,
       Shutdown, [](const std::string &, key_point) { return true; }, [] {},
       [](key_point) {}, [](const server_condition &) {},
       [](const condition_report &) {}}};
};

} // namespace

// Guards against a hot key that fills the queue of its server, so that requests
// for other keys are refused. Pattern: one point with 2.5 times what the server
// processes.
TEST_CASE_FIXTURE(keyed_fixture,
                  "a hot key point is limited, and no other point is refused") {
  REQUIRE(Server.holds(HotPoint, Loop.now()));
  submitFor(seconds(2), 150);
  Others = {};
  Hot = {};
  submitFor(seconds(5), 150);
  CHECK(Others.Refused.empty());
  CHECK(Hot.Answered > 0);
  REQUIRE(!Hot.Refused.empty());
  for (const forward_result &Result : Hot.Refused) {
    CHECK(Result.Outcome == forward_outcome::NotRun);
    CHECK(Result.Code == "hot-key");
    CHECK(Result.RetryAfter > milliseconds(0));
  }
}

// Guards against a limit for a server that has room for all.
TEST_CASE_FIXTURE(keyed_fixture, "a busy key point is not limited while there "
                                 "is room") {
  REQUIRE(Server.holds(HotPoint, Loop.now()));
  submitFor(seconds(5), 25);
  CHECK(Others.Refused.empty());
  CHECK(Hot.Refused.empty());
}
