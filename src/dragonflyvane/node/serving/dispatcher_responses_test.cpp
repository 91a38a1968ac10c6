#include "dragonflyvane/node/serving/dispatcher.hpp"

#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <thread>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// Time between two looks at what another thread does.
constexpr milliseconds PollPeriod{10};
constexpr std::chrono::seconds TimeLeft{60};
constexpr std::chrono::seconds WellBeforeDeadline{20};

/// A dispatcher that sends over real connections to a scripted server.
struct dispatcher_connection_fixture {
  explicit dispatcher_connection_fixture(scripted_server::script Script)
      : Remote(std::move(Script)) {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", 1000};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:" + std::to_string(Remote.port());
    Heartbeat.Slots = 6;
    Heartbeat.Sequence = 1;
    Server.onHeartbeat(Heartbeat, {});
  }

  /// Submits a request and returns its result.
  forward_result submit(const std::string &RequestId) {
    forward_metadata Metadata;
    Metadata.Service = "desk";
    Metadata.Route = "order";
    Metadata.TimeLeft = TimeLeft;
    Metadata.SoftTimeLeft = TimeLeft;
    http_request Request;
    Request.Method = "GET";
    Request.Target = "/order/1";
    Request.Headers.add(Names.RequestId, RequestId);
    forward_result Result;
    Dispatcher->submit(Metadata, Request, [&](forward_result Ended) {
      Result = std::move(Ended);
      Loop.stop();
    });
    Loop.run();
    return Result;
  }

  header_names Names;
  scripted_server Remote;
  event_loop Loop;
  boot_clock Clock;
  settings Settings = [] {
    settings Desk;
    Desk.LocalService = "desk";
    return Desk;
  }();
  local_server Server{Settings, Clock};
  crash_guard Guard{Clock, "host"};
  operator_state OperatorState{{},
                               [](const stored_row &) { return std::nullopt; }};
  metrics Metrics;
  bulk_pacer Link{Loop, Clock, 1e9};
  graceful_shutdown Shutdown{Clock, milliseconds(5600)};
  /// Closes its connections before `Remote` waits for that.
  http_client Client{Loop};
  std::unique_ptr<dispatcher> Dispatcher =
      std::make_unique<dispatcher>(dispatcher::dependencies{
          Loop, Clock,
          [this](const endpoint &To, const http_request &Request,
                 call_options Options, http_client::callback Callback) {
            return Client.send(To, Request, std::move(Options),
                               std::move(Callback));
          },
          [this](call_id Call) { Client.cancel(Call); }, Server, Guard,
          OperatorState, Names, Metrics, Link, Shutdown,
          [](const std::string &, key_point) { return true; }, [] {},
          [](key_point) {}, [](const server_condition &) {},
          [](const condition_report &) {}});
};

std::string rejection(const std::string &RequestId) {
  std::string Echo =
      RequestId.empty() ? "" : "X-Request-Id: " + RequestId + "\r\n";
  return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + Echo +
         "Content-Length: 0\r\n\r\n";
}

std::string success(const std::string &RequestId) {
  return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: " + RequestId +
         "\r\nContent-Length: 4\r\n\r\ndone";
}

/// Rejects the first request of the first connection, then sends the rejection
/// again, before the response to the next request on the connection if there is
/// one. Runs all other requests.
scripted_server::script repeatRejection(bool HasId) {
  return [HasId, Rejected = std::make_shared<std::atomic<bool>>(false)](
             scripted_connection &Connection) {
    std::string Rejection;
    for (std::string Head; !(Head = Connection.readRequest()).empty();) {
      std::string Id = fieldOf(Head, "X-Request-Id");
      if (!Rejected->exchange(true)) {
        Rejection = rejection(HasId ? Id : "");
        Connection.send(Rejection);
        continue;
      }
      Connection.send(std::exchange(Rejection, "") + success(Id));
    }
  };
}

} // namespace

// Guards against 'not run' for a request that the server runs: the late second
// copy of a rejection has the id of the repeat, too (review, case 2).
TEST_CASE("a second copy of a rejection is no response to the repeat") {
  for (bool HasId : {true, false}) {
    CAPTURE(HasId);
    dispatcher_connection_fixture Fixture(repeatRejection(HasId));
    CHECK(Fixture.submit("r-1").Outcome == forward_outcome::NotRun);
    forward_result Repeat = Fixture.submit("r-1");
    CHECK(Repeat.Outcome == forward_outcome::Answered);
    CHECK(Repeat.Response.Body == "done");
    CHECK(Fixture.submit("r-1").Outcome == forward_outcome::Answered);
  }
}

// Guards against 'not run' for another request on the connection. The response
// that is ready a moment later is delivered.
TEST_CASE("an earlier rejection is no response to another request") {
  for (bool HasId : {true, false}) {
    CAPTURE(HasId);
    dispatcher_connection_fixture Fixture(repeatRejection(HasId));
    CHECK(Fixture.submit("r-1").Outcome == forward_outcome::NotRun);
    forward_result Next = Fixture.submit("r-2");
    CHECK(Next.Outcome == forward_outcome::Answered);
    CHECK(Next.Response.Body == "done");
    CHECK(Fixture.Remote.connections() == 1);
  }
}

// Guards against 'not run' on the word of a response that may be an earlier
// one, and against a caller who waits for another until the deadline.
TEST_CASE("a rejection without an id on a connection in use again proves "
          "nothing") {
  dispatcher_connection_fixture Fixture([](scripted_connection &Connection) {
    std::string Head = Connection.readRequest();
    Connection.send(success(fieldOf(Head, "X-Request-Id")));
    while (!Connection.readRequest().empty())
      Connection.send(rejection(""));
  });
  CHECK(Fixture.submit("r-1").Outcome == forward_outcome::Answered);
  time_point SentAt = Fixture.Clock.now();
  CHECK(Fixture.submit("r-2").Outcome == forward_outcome::Unknown);
  CHECK(Fixture.Clock.now() - SentAt < WellBeforeDeadline);
}

// Servers may reject without an id. On a new connection the first response can
// only belong to the first request.
TEST_CASE("a rejection without an id on a new connection is believed") {
  for (const char *Status : {"503 Service Unavailable", "429 Too Many Requests",
                             "421 Misdirected Request"}) {
    dispatcher_connection_fixture Fixture(
        [Status](scripted_connection &Connection) {
          Connection.readRequest();
          Connection.send("HTTP/1.1 " + std::string(Status) +
                          "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        });
    CHECK(Fixture.submit("r-1").Outcome == forward_outcome::NotRun);
  }
}

// Guards against one connection more with each repeat: a server takes a limited
// number of them.
TEST_CASE("repeats do not add to the open connections") {
  std::atomic<int> Open{0};
  dispatcher_connection_fixture Fixture([&](scripted_connection &Connection) {
    ++Open;
    for (std::string Head; !(Head = Connection.readRequest()).empty();)
      Connection.send(rejection(fieldOf(Head, "X-Request-Id")));
    --Open;
  });
  for (int I = 0; I < 30; ++I)
    CHECK(Fixture.submit("r-1").Outcome == forward_outcome::NotRun);
  CHECK(Fixture.Remote.connections() == 30);
  time_point Until = Fixture.Clock.now() + WellBeforeDeadline;
  while (Open > 1 && Fixture.Clock.now() < Until)
    std::this_thread::sleep_for(PollPeriod);
  CHECK(Open == 1);
}

namespace {

/// Returns the quarantined requests that the host reports as harmless.
size_t clearedRequests(crash_guard &Guard) {
  report_message Report;
  Guard.addCrashReport(Report);
  return Report.RequestsWithResponse.size();
}

} // namespace

// Guards against a request that crashes servers and is released by a server
// that was full and has not run it.
TEST_CASE("only a response of a run releases a quarantined request") {
  dispatcher_connection_fixture Fixture(repeatRejection(true));
  http_request Request;
  Request.Method = "GET";
  Request.Target = "/order/1";
  request_fingerprint Fingerprint = fingerprintOf(Request, "", {});
  report_response Response;
  Response.Suspects = Response.Quarantined = {Fingerprint};
  Response.Trials[Fingerprint] = {"host", 1, {}};
  Fixture.Guard.onReportResponse(Response);
  CHECK(Fixture.submit("r-1").Outcome == forward_outcome::NotRun);
  CHECK(clearedRequests(Fixture.Guard) == 0);
  CHECK(Fixture.Guard.refusalDelay(Fingerprint));
  Response.Trials[Fingerprint].Number = 2;
  Fixture.Guard.onReportResponse(Response);
  CHECK(Fixture.submit("r-2").Outcome == forward_outcome::Answered);
  CHECK(clearedRequests(Fixture.Guard) == 1);
}
