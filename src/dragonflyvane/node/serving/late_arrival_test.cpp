#include "dragonflyvane/node/serving/dispatcher.hpp"

#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "raw_connection.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t MaxBodyBytes = 1 << 20;
/// 1 Mbit/s, in bytes per second: 60 kB take 480 ms.
constexpr size_t SlowLinkRate = 125'000;
constexpr milliseconds CallTimeout{10'000};

/// A dispatcher that serves peers over a slow link, with a backend server that
/// responds at once.
struct linked_dispatcher {
  linked_dispatcher() {
    heartbeat Heartbeat;
    Heartbeat.Incarnation = {"i-1", 1000};
    Heartbeat.Service = "desk";
    Heartbeat.Address = "127.0.0.1:9";
    Heartbeat.Slots = 6;
    Heartbeat.Sequence = 1;
    Server.onHeartbeat(Heartbeat, {});
  }

  call_id run(const http_request &Request,
              const http_client::callback &Callback) {
    Ran[*Request.Headers.find(Names.RequestId)] =
        milliseconds(std::stoll(*Request.Headers.find(Names.TimeLeft)));
    call_result Result;
    Result.Outcome = call_outcome::Completed;
    Result.Response.Headers.add(Names.Signature, "s");
    Result.Response.Headers.add(Names.RequestId,
                                *Request.Headers.find(Names.RequestId));
    Loop.post([Callback, Result] { Callback(Result); });
    return ++LastCall;
  }

  void serve(const exchange_pointer &Exchange) {
    http_request Request = Exchange->request();
    auto Metadata = extractMetadata(Request.Headers, Exchange->transitDelay());
    REQUIRE(Metadata);
    Dispatcher.submit(*Metadata, std::move(Request),
                      [Exchange](forward_result Result) {
                        Exchange->respond(encodeResult(std::move(Result)));
                      });
  }

  void call(const std::string &Id, milliseconds TimeLeft, size_t Bytes = 0) {
    forward_metadata Metadata;
    Metadata.Service = "desk";
    Metadata.Route = "peek";
    Metadata.TimeLeft = TimeLeft;
    Metadata.SoftTimeLeft = TimeLeft;
    http_request Request;
    Request.Headers.add(Names.RequestId, Id);
    Request.Body = std::string(Bytes, 'x');
    writeMetadata(Metadata, Request.Headers);
    ++OpenCalls;
    Client.send(Link.localEndpoint(), std::move(Request), CallTimeout,
                [this, Id](call_result Result) {
                  CHECK((Result.Outcome == call_outcome::Completed));
                  Results[Id] = decodeResult(std::move(Result.Response));
                  if (--OpenCalls == 0)
                    Loop.stop();
                });
  }

  event_loop Loop;
  boot_clock Clock;
  header_names Names;
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
  bulk_pacer Pacer{Loop, Clock, 1e9};
  graceful_shutdown Shutdown{Clock, milliseconds(5600)};
  call_id LastCall = 0;
  /// The requests that reached the backend server, with the time left.
  std::map<std::string, milliseconds> Ran;
  std::map<std::string, forward_result> Results;
  int OpenCalls = 0;
  dispatcher Dispatcher{
      {Loop, Clock,
       [this](const endpoint &, const http_request &Request,
              const call_options &, const http_client::callback &Callback) {
         return run(Request, Callback);
       },
       [](call_id) {}, Server, Guard, OperatorState, Names, Metrics, Pacer,
       Shutdown, [](const std::string &, key_point) { return true; }, [] {},
       [](key_point) {}, [](const server_condition &) {},
       [](const condition_report &) {}}};
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server PeerServer{Loop, Listen, MaxBodyBytes,
                         [this](const exchange_pointer &E) { serve(E); }};
  slow_link Link{Listen, {{}, SlowLinkRate}, {}};
  peer_client Client{Loop, MaxBodyBytes};
};

} // namespace

// Guards against calls that are run after their callers have left, because they
// waited behind uploads on the link of the host.
TEST_CASE("a request that a full link delays past its deadline is not run") {
  linked_dispatcher Host;
  Host.call("first", milliseconds(1'000));
  Host.Loop.run();
  Host.call("upload", milliseconds(5'000), 60'000);
  timer Later = Host.Loop.after(milliseconds(50), [&] {
    Host.call("expired", milliseconds(150));
    Host.call("in time", milliseconds(4'000));
  });
  Host.Loop.run();
  CHECK((Host.Results["upload"].Outcome == forward_outcome::Answered));
  CHECK((Host.Results["in time"].Outcome == forward_outcome::Answered));
  CHECK((Host.Results["expired"].Outcome == forward_outcome::NotRun));
  CHECK(Host.Results["expired"].Code == "expired-on-arrival");
  CHECK(!Host.Ran.contains("expired"));
  REQUIRE(Host.Ran.contains("in time"));
  // The backend server is told of the time that is really left.
  CHECK(Host.Ran["in time"] < milliseconds(3'700));
  CHECK(Host.Ran["upload"] < milliseconds(4'600));
}
