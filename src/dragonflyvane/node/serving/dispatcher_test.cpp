#include "dragonflyvane/node/serving/dispatcher.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A dispatcher whose backend server of a service without keys responds after
/// `ServerTime` with the header fields in `ServerHeaders`.
struct dispatcher_fixture {
  explicit dispatcher_fixture(bool LearnsCapacity = true)
      : LearnsCapacity(LearnsCapacity) {
    sendHeartbeat(1000);
  }

  void sendHeartbeat(int64_t StartedAtMs) {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", StartedAtMs};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.Slots = 6;
    Heartbeat.Sequence = ++Sequence;
    Server.onHeartbeat(Heartbeat, {});
  }

  call_id receive(const http_request &Request, const call_options &Options,
                  const http_client::callback &Callback) {
    if (!SendsAtOnce)
      return ++LastCall;
    if (!Options.MaySend()) {
      Loop.post([Callback] { Callback({call_outcome::NotSent, {}, ""}); });
      return ++LastCall;
    }
    Arrivals.push_back(Loop.now());
    BodySizes.push_back(Request.Body.size());
    LastTimeLeft =
        milliseconds(std::stoll(*Request.Headers.find(Names.TimeLeft)));
    call_result Result;
    Result.Outcome = call_outcome::Completed;
    Result.Response.Status = ServerStatus;
    Result.Response.Headers = ServerHeaders;
    Result.Response.Headers.add(Names.Signature, "s");
    Result.Response.Headers.add(Names.RequestId,
                                *Request.Headers.find(Names.RequestId));
    Loop.postDelayed(ServerTime(++InFlight), [this, Callback, Result] {
      --InFlight;
      Callback(Result);
    });
    return ++LastCall;
  }

  dispatch_id
  submit(milliseconds TimeLeft = milliseconds(1000), int Priority = 1,
         const std::optional<condition_report> &Known = std::nullopt,
         size_t BodyBytes = 0) {
    forward_metadata Metadata;
    Metadata.Service = "desk";
    Metadata.Route = "peek";
    Metadata.Priority = Priority;
    Metadata.Idempotent = IsIdempotent;
    Metadata.TimeLeft = TimeLeft;
    Metadata.SoftTimeLeft = TimeLeft;
    Metadata.ServerCondition = Known;
    http_request Request;
    Request.Headers.add(Names.RequestId, std::to_string(++LastRequest));
    Request.Body = std::string(BodyBytes, 'x');
    return Dispatcher.submit(
        Metadata, Request,
        [this](const forward_result &Result) { Results.push_back(Result); });
  }

  /// Submits a request every 5 ms.
  void submitFor(duration Span) { submitEvery(milliseconds(5), Span); }

  void submitEvery(duration Period, duration Span) {
    for (duration Elapsed{0}; Elapsed < Span; Elapsed += Period) {
      submit();
      Loop.runFor(Period);
    }
  }

  /// The largest number of arrivals from `From` on within 4 s.
  size_t mostArrivalsIn4s(time_point From) const {
    size_t Most = 0;
    for (size_t I = 0; I < Arrivals.size(); ++I) {
      size_t End = I;
      while (End < Arrivals.size() && Arrivals[End] < Arrivals[I] + seconds(4))
        ++End;
      if (Arrivals[I] >= From)
        Most = std::max(Most, End - I);
    }
    return Most;
  }

  bool LearnsCapacity;
  /// Whether the requests that are submitted may be repeated.
  bool IsIdempotent = false;
  /// Whether connections to the server open.
  bool SendsAtOnce = true;
  /// The time at the server by the number of requests in flight.
  std::function<milliseconds(size_t)> ServerTime = [](size_t) {
    return milliseconds(20);
  };
  size_t InFlight = 0;
  header_names Names;
  header_list ServerHeaders;
  int ServerStatus = 200;
  std::vector<time_point> Arrivals;
  std::vector<size_t> BodySizes;
  /// The time left that the last request told the server.
  milliseconds LastTimeLeft{0};
  std::vector<forward_result> Results;
  /// The calls to the server that were cancelled.
  std::vector<call_id> Cancelled;
  manual_scheduler Loop;
  settings Settings = [] {
    settings Desk;
    Desk.LocalService = "desk";
    return Desk;
  }();
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
  dispatcher Dispatcher{
      {Loop, Loop.clock(),
       [this](const endpoint &, const http_request &Request,
              const call_options &Options,
              const http_client::callback &Callback) {
         return receive(Request, Options, Callback);
       },
       [this](call_id Call) { Cancelled.push_back(Call); }, Server, Guard,
       OperatorState, Names, Metrics, Link, Shutdown,
       [](const std::string &, key_point) { return true; }, [] {},
       [](key_point) {},
       [this](const server_condition &Condition) {
         Server.onCondition(Condition);
       },
       [this](const condition_report &Report) {
         Server.onReportedCondition(Report);
       },
       LearnsCapacity ? feature_mode::On : feature_mode::Off}};
};

} // namespace

// Guards against a backend server that gets more requests than the limit that
// it has named (incident LIMIT). Pattern: lasting overload by many callers.
TEST_CASE("a server gets no more requests than the limit that it names") {
  dispatcher_fixture Fixture;
  Fixture.submitFor(seconds(1));
  Fixture.ServerHeaders.add(Fixture.Names.RateLimit, "8");
  Fixture.submitFor(milliseconds(500));
  time_point Known = Fixture.Loop.now();
  Fixture.submitFor(seconds(12));
  CHECK(Fixture.mostArrivalsIn4s(Known) <= 4 * 8 + 5);
}

// Guards against requests that are run, or wait, although their time ran out on
// a full link and their callers have left.
TEST_CASE("a request whose time ran out on its way is refused at once") {
  dispatcher_fixture Fixture;
  for (milliseconds TimeLeft : {milliseconds(0), milliseconds(-300)}) {
    Fixture.Results.clear();
    Fixture.submit(TimeLeft);
    REQUIRE(Fixture.Results.size() == 1);
    CHECK((Fixture.Results[0].Outcome == forward_outcome::NotRun));
    CHECK(Fixture.Results[0].Code == "expired-on-arrival");
    CHECK(!Fixture.Results[0].Reached);
  }
  Fixture.Loop.runFor(seconds(1));
  CHECK(Fixture.Arrivals.empty());
  CHECK(Fixture.Dispatcher.activeCount() == 0);
  CHECK(Fixture.Metrics.exposition().find(
            "dragonflyvane_expired_on_arrival_total 2\n") != std::string::npos);
}

// Guards against requests that wait for a limit which leaves them no time.
// Pattern: many callers at a server that takes few requests.
TEST_CASE("a request that the limit would make too late is refused at once, "
          "with the time until there is room") {
  dispatcher_fixture Fixture;
  Fixture.ServerHeaders.add(Fixture.Names.RateLimit, "4");
  Fixture.submitFor(milliseconds(500));
  Fixture.Results.clear();
  size_t Before = Fixture.Dispatcher.activeCount();
  Fixture.submit(milliseconds(100));
  REQUIRE(Fixture.Results.size() == 1);
  CHECK(Fixture.Results.front().Outcome == forward_outcome::NotRun);
  CHECK(!Fixture.Results.front().Reached);
  CHECK(Fixture.Results.front().RetryAfter >= milliseconds(250) * Before);
}

// Guards against waiting requests that are refused only when their deadline has
// passed, because more urgent ones take the tokens.
TEST_CASE(
    "under a limit urgent requests go first, and those that they leave no "
    "time are refused early") {
  dispatcher_fixture Fixture;
  Fixture.ServerHeaders.add(Fixture.Names.RateLimit, "4");
  Fixture.submitFor(milliseconds(500));
  Fixture.Loop.runFor(seconds(5));
  Fixture.Results.clear();
  for (int I = 0; I < 4; ++I)
    Fixture.submit(milliseconds(1000), 1);
  for (int I = 0; I < 3; ++I)
    Fixture.submit(milliseconds(1000), 0);
  Fixture.Loop.runFor(milliseconds(100));
  size_t Refused = 0;
  for (const forward_result &Result : Fixture.Results)
    Refused += Result.Outcome == forward_outcome::NotRun;
  CHECK(Refused == 2);
  Fixture.Loop.runFor(seconds(2));
  CHECK(Fixture.Results.size() == 7);
}

// Guards against the estimate of an earlier server that binds the next one.
// Pattern: a server that is slower than the service usually is, then restarts.
TEST_CASE("a new incarnation starts with speed unknown and all its slots") {
  dispatcher_fixture Fixture;
  Fixture.Dispatcher.capacity().setServiceTimes({{"peek", milliseconds(10)}});
  Fixture.submitFor(seconds(2));
  load_report Report = Fixture.Dispatcher.takeLoadReport();
  CHECK(Report.Speed < 0.6);
  CHECK(Report.Speed > 0.4);
  CHECK(Report.ConcurrencyLimit == 6);
  std::string Gauges = Fixture.Metrics.exposition();
  CHECK(Gauges.find("dragonflyvane_server_concurrency_limit") !=
        std::string::npos);
  CHECK(Gauges.find("dragonflyvane_server_speed") != std::string::npos);
  Fixture.sendHeartbeat(2000);
  CHECK_FALSE(Fixture.Dispatcher.capacity().speed());
  Fixture.Loop.runFor(milliseconds(100));
  CHECK_FALSE(Fixture.Dispatcher.takeLoadReport().ConcurrencyLimit);
  CHECK(Fixture.Dispatcher.load().Slots == 6);
  Fixture.submitFor(seconds(2));
  CHECK(Fixture.Dispatcher.capacity().speed().value_or(1) < 0.6);
}

// Guards against more requests at a server than it handles well. Pattern: a
// server whose throughput stops growing at 2 in flight, and a load around it.
TEST_CASE("a server that slows before it is full runs fewer requests, unless "
          "learning is turned off") {
  for (bool LearnsCapacity : {true, false}) {
    dispatcher_fixture Fixture(LearnsCapacity);
    Fixture.ServerTime = [](size_t InFlight) {
      return milliseconds(std::max<size_t>(20, InFlight * 10));
    };
    for (int I = 0; I < 30; ++I) {
      Fixture.submitEvery(milliseconds(20), milliseconds(800));
      Fixture.submitEvery(milliseconds(5), milliseconds(200));
    }
    uint32_t Expected = LearnsCapacity ? 3 : 6;
    CHECK(Fixture.Dispatcher.load().Slots <= Expected);
    CHECK(Fixture.Dispatcher.load().Slots >= Expected - 1);
  }
}

// Guards against a limit that outlives its server or the need.
TEST_CASE("a limit ends with a response without it and with the incarnation") {
  dispatcher_fixture Fixture;
  Fixture.ServerHeaders.add(Fixture.Names.RateLimit, "2");
  Fixture.submitFor(seconds(2));
  CHECK(Fixture.Server.condition().RateLimit == 2);
  Fixture.sendHeartbeat(2000);
  CHECK(!Fixture.Server.condition().RateLimit);
  Fixture.submitFor(milliseconds(200));
  CHECK(Fixture.Server.condition().RateLimit == 2);
  Fixture.ServerHeaders = {};
  Fixture.submitFor(seconds(2));
  CHECK(!Fixture.Server.condition().RateLimit);
}

// Guards against requests that reach a server which says only in its responses
// that it leaves: new ones, waiting ones and those on open connections.
TEST_CASE("a server that says in a response that it leaves gets no requests "
          "after the drain timeout") {
  dispatcher_fixture Fixture;
  Fixture.ServerHeaders.add(Fixture.Names.Leaving, "1");
  Fixture.submitFor(milliseconds(100));
  CHECK(Fixture.Server.availability() == server_availability::Leaving);
  time_point DrainEnd = Fixture.Loop.now() + Fixture.Settings.DrainTimeout;
  Fixture.submitFor(seconds(4));
  CHECK(Fixture.Arrivals.back() < DrainEnd);
  CHECK(Fixture.Results.back().Code == "server-leaving-or-down");
  Fixture.sendHeartbeat(2000);
  Fixture.submitFor(milliseconds(100));
  CHECK(Fixture.Arrivals.back() > DrainEnd);
}

// Guards against a daemon that forgets with a restart what its peers, who go on
// to send through it, are still bound by.
TEST_CASE("a restarted daemon keeps to the limit that its peers know") {
  dispatcher_fixture Fixture;
  condition_report Known{Fixture.Server.incarnation(), 4, {}};
  for (int I = 0; I < 200; ++I) {
    Fixture.submit(milliseconds(400), 1, Known);
    Fixture.Loop.runFor(milliseconds(5));
    Fixture.ServerHeaders.set(Fixture.Names.RateLimit, "4");
  }
  CHECK(Fixture.Arrivals.size() <= 4);
}

TEST_CASE("a restarted daemon sends nothing to a server that has been leaving "
          "for the drain timeout, as its peers know") {
  dispatcher_fixture Fixture;
  condition_report Known{Fixture.Server.incarnation(), {}, milliseconds(2500)};
  Fixture.submit(milliseconds(400), 1, Known);
  Fixture.Loop.runFor(milliseconds(500));
  CHECK(Fixture.Arrivals.empty());
  CHECK(Fixture.Server.availability() == server_availability::Leaving);
}

TEST_CASE("what peers know of an earlier incarnation does not bind the next") {
  dispatcher_fixture Fixture;
  condition_report Known{{"i-1", 500}, 0, milliseconds(2500)};
  Fixture.submit(milliseconds(400), 1, Known);
  CHECK(Fixture.Arrivals.size() == 1);
  CHECK(!Fixture.Server.condition().RateLimit);
}

// Guards against a limit that two daemons report to each other after its end.
TEST_CASE("a response outweighs the limit that peers report") {
  dispatcher_fixture Fixture;
  Fixture.submitFor(milliseconds(50));
  condition_report Known{Fixture.Server.incarnation(), 1, {}};
  Fixture.submit(milliseconds(400), 1, Known);
  CHECK(!Fixture.Server.condition().RateLimit);
}

// Guards against requests of peers that begin in a planned stop and are cut off
// at its end, those first that must not be repeated.
TEST_CASE(
    "in a shutdown a request begins only if its usual work ends in time") {
  dispatcher_fixture Fixture;
  Fixture.Shutdown.begin();
  Fixture.submit(seconds(10));
  REQUIRE(Fixture.Results.size() == 1);
  CHECK(Fixture.Results.front().Code == "stopping");
  CHECK(Fixture.Results.front().Outcome == forward_outcome::NotRun);
  // Until a route has a response, its usual time is unknown.
  Fixture.submit(milliseconds(1000));
  Fixture.Loop.runFor(milliseconds(100));
  Fixture.submit(seconds(10));
  Fixture.Loop.runFor(milliseconds(100));
  CHECK(Fixture.Results.back().Outcome == forward_outcome::Answered);
  Fixture.Loop.runFor(milliseconds(2200));
  Fixture.submit(milliseconds(1000));
  CHECK(Fixture.Results.back().Code == "stopping");
}

// Guards against a server that is given more time than its daemon has left.
TEST_CASE("deadlines that are passed on end before the process does") {
  dispatcher_fixture Fixture;
  Fixture.submit(milliseconds(1000));
  Fixture.Loop.runFor(milliseconds(100));
  Fixture.Shutdown.begin();
  Fixture.submit(seconds(10));
  CHECK(Fixture.LastTimeLeft == milliseconds(5350));
}

// Guards against slots that are taken by requests whose nested calls find no
// room. Pattern: lasting overload of a called service.
TEST_CASE("requests whose nested calls would be refused take no slots") {
  dispatcher_fixture Fixture;
  Fixture.ServerStatus = 500;
  for (int I = 0; I < 400; ++I) {
    Fixture.submit();
    Fixture.Dispatcher.onNestedCallRefused("queue-full");
    Fixture.Loop.runFor(milliseconds(5));
  }
  Fixture.Results.clear();
  Fixture.submitFor(milliseconds(500));
  size_t Refused = 0;
  for (const forward_result &Result : Fixture.Results) {
    if (Result.Code != "nested-calls-refused")
      continue;
    ++Refused;
    CHECK(Result.RetryAfter >= milliseconds(1000));
  }
  CHECK(Refused >= 80);
  CHECK(Refused <= 95);
}

// Guards against callers that return too early and are refused again. Pattern:
// a burst at a server that is full for longer than the burst lasts.
TEST_CASE("no refused caller is told to return while the server is full") {
  dispatcher_fixture Fixture;
  for (int I = 0; I < 400; ++I)
    Fixture.submit(milliseconds(1000));
  REQUIRE(Fixture.Results.size() > 50);
  // 6 slots, and requests that are expected to take 50 ms.
  size_t Waiting = Fixture.Dispatcher.activeCount() - 6;
  for (const forward_result &Result : Fixture.Results)
    CHECK(Result.RetryAfter >= milliseconds(50) * Waiting / 6);
}

// Guards against a planned stop that ends without telling what became of a
// request.
TEST_CASE("at the end of a shutdown each request gets a true result") {
  dispatcher_fixture Fixture;
  for (int I = 0; I < 8; ++I)
    Fixture.submit(milliseconds(1000));
  Fixture.Dispatcher.endAll();
  REQUIRE(Fixture.Results.size() == 8);
  int Unknown = 0;
  for (const forward_result &Result : Fixture.Results)
    Unknown += Result.Outcome == forward_outcome::Unknown;
  CHECK(Unknown == 6);
  CHECK(Fixture.Arrivals.size() == 6);
  CHECK(Fixture.Dispatcher.activeCount() == 0);
}

// Guards against a server that crashes because the uploads that it holds exceed
// its memory, and against small requests that wait behind uploads for it.
TEST_CASE("uploads beyond the allowance wait, and requests that fit pass") {
  dispatcher_fixture Fixture;
  for (int I = 0; I < 4; ++I)
    Fixture.submit(milliseconds(1000), 1, std::nullopt, 200'000);
  Fixture.submit(milliseconds(1000), 2);
  REQUIRE(Fixture.BodySizes.size() == 2);
  CHECK(Fixture.BodySizes[0] == 200'000);
  CHECK(Fixture.BodySizes[1] == 0);
  Fixture.Loop.runFor(milliseconds(200));
  CHECK(Fixture.Results.size() == 5);
  for (const forward_result &Result : Fixture.Results)
    CHECK(Result.Outcome == forward_outcome::Answered);
}

// Guards against an upload that is lost, though the server had it whole, since
// the connection of the peer that sent it has ended.
TEST_CASE("a request that may not be repeated goes on without its connection") {
  dispatcher_fixture Fixture;
  dispatch_id Request = Fixture.submit();
  Fixture.Dispatcher.onConnectionEnded(Request);
  CHECK(Fixture.Cancelled.empty());
  CHECK(Fixture.Dispatcher.activeCount() == 1);
  CHECK(Fixture.Metrics.exposition().find("runs_without_connection_total 1") !=
        std::string::npos);
  // It keeps its slot until it ends.
  for (int I = 0; I < 6; ++I)
    Fixture.submit();
  CHECK(Fixture.Arrivals.size() == 6);
  Fixture.Loop.runFor(milliseconds(30));
  CHECK(Fixture.Arrivals.size() == 7);
  Fixture.Loop.runFor(milliseconds(100));
  CHECK(Fixture.Dispatcher.activeCount() == 0);
}

// Guards against work that nobody waits for and that loses nothing if it is
// dropped.
TEST_CASE("other requests end with the connection of their peer") {
  dispatcher_fixture Fixture;
  SUBCASE("a request that may be repeated") {
    Fixture.IsIdempotent = true;
    Fixture.Dispatcher.onConnectionEnded(Fixture.submit());
    CHECK(Fixture.Cancelled.size() == 1);
    CHECK(Fixture.Dispatcher.activeCount() == 0);
  }
  SUBCASE("a request that waits for a slot") {
    for (int I = 0; I < 6; ++I)
      Fixture.submit();
    dispatch_id Waiting = Fixture.submit();
    REQUIRE(Waiting != 0);
    Fixture.Dispatcher.onConnectionEnded(Waiting);
    CHECK(Fixture.Dispatcher.activeCount() == 6);
    Fixture.Loop.runFor(milliseconds(100));
    CHECK(Fixture.Arrivals.size() == 6);
  }
  SUBCASE(
      "a request that is not sent yet, as the server accepts no connection") {
    Fixture.SendsAtOnce = false;
    dispatch_id Connecting = Fixture.submit();
    REQUIRE(Fixture.Dispatcher.isServerRunning());
    Fixture.Dispatcher.onConnectionEnded(Connecting);
    CHECK(Fixture.Cancelled.size() == 1);
    CHECK(!Fixture.Dispatcher.isServerRunning());
  }
  SUBCASE("a request that was cancelled") {
    Fixture.Dispatcher.cancel(Fixture.submit());
    CHECK(Fixture.Cancelled.size() == 1);
    CHECK(Fixture.Dispatcher.activeCount() == 0);
  }
}
