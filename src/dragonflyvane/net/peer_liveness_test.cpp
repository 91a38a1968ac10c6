#include "dragonflyvane/net/peer_transport.hpp"

#include "raw_connection.hpp"
#include "scripted_server.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
/// 1 Mbit/s, in bytes per second.
constexpr size_t SlowLinkRate = 125'000;
constexpr milliseconds CallTimeout{20'000};

http_request makeUpload(size_t Bytes) {
  http_request Request;
  Request.Method = "POST";
  Request.Body = std::string(Bytes, 'x');
  return Request;
}

/// A peer server behind a link, and a client that calls it.
struct linked_peers {
  linked_peers(const link_direction &ToServer, const link_direction &ToClient,
               size_t ResponseBytes = 0)
      : Server(Loop, Listen, MaxBodyBytes,
               [this, ResponseBytes](const exchange_pointer &Exchange) {
                 ++Handled;
                 Exchange->respond({200, {}, std::string(ResponseBytes, 'x')});
               }),
        Link(Listen, ToServer, ToClient) {}

  /// Makes the calls at once, and runs the loop until all have ended.
  std::vector<call_result> callAtOnce(size_t Calls, size_t RequestBytes,
                                      milliseconds Timeout = CallTimeout) {
    std::vector<call_result> Results;
    for (size_t I = 0; I < Calls; ++I)
      Client.send(Link.localEndpoint(), makeUpload(RequestBytes), Timeout,
                  [&](call_result Result) {
                    Results.push_back(std::move(Result));
                    if (Results.size() == Calls)
                      Loop.stop();
                  });
    Loop.run();
    return Results;
  }

  event_loop Loop;
  boot_clock Clock;
  endpoint Listen{"127.0.0.1", freePort()};
  int Handled = 0;
  peer_server Server;
  slow_link Link;
  peer_client Client{Loop, MaxBodyBytes};
};

size_t countCompleted(const std::vector<call_result> &Results) {
  size_t Count = 0;
  for (const call_result &Result : Results) {
    CAPTURE(Result.Error);
    CHECK(Result.Outcome == call_outcome::Completed);
    Count += Result.Outcome == call_outcome::Completed;
  }
  return Count;
}

} // namespace

// Guards against a connection that is closed while uploads move over it: the
// PING and its response wait behind the bytes that are on their way.
TEST_CASE("uploads over a slow link do not close their connection") {
  linked_peers Peers({{}, SlowLinkRate}, {});
  CHECK(countCompleted(Peers.callAtOnce(5, 60'000)) == 5);
  CHECK(Peers.Handled == 5);
}

// The same in the other direction: the server checks the client.
TEST_CASE("downloads over a slow link do not close their connection") {
  linked_peers Peers({}, {{}, SlowLinkRate}, 60'000);
  CHECK(countCompleted(Peers.callAtOnce(5, 0)) == 5);
}

// Guards against progress that hides the loss of a host: new calls are written
// to a socket whose bytes nobody receives.
TEST_CASE("a peer that is gone is detected while calls are sent to it") {
  link_direction Blocked{std::chrono::hours(1), 0};
  linked_peers Peers(Blocked, {});
  time_point Begin = Peers.Clock.now();
  time_point FirstEnd{};
  timer Calls = Peers.Loop.every(milliseconds(20), [&] {
    Peers.Client.send(Peers.Link.localEndpoint(), makeUpload(10'000),
                      CallTimeout, [&](const call_result &Result) {
                        CHECK(Result.Outcome == call_outcome::ConnectionLost);
                        FirstEnd = Peers.Clock.now();
                        Peers.Loop.stop();
                      });
  });
  Peers.Loop.run();
  Calls.cancel();
  CHECK(FirstEnd - Begin < milliseconds(1'300));
}

// Guards against a caller that is told "unknown" of an upload which the peer
// cannot have begun: its last byte never left this process. Calls whose last
// byte was sent stay unknown.
TEST_CASE("a call that ends before its last byte was handed to the socket is "
          "not sent") {
  link_direction Blocked{std::chrono::hours(1), 0};
  constexpr size_t BeyondWindow = 3'000'000;
  SUBCASE("the connection closes") {
    linked_peers Peers(Blocked, {});
    call_result Result = Peers.callAtOnce(1, BeyondWindow)[0];
    CHECK(Result.Outcome == call_outcome::NotSent);
    CHECK(Result.Error == "connection timed out: no response to PING");
    Result = Peers.callAtOnce(1, 100)[0];
    CHECK(Result.Outcome == call_outcome::ConnectionLost);
  }
  SUBCASE("the call times out") {
    linked_peers Peers({{}, SlowLinkRate}, {});
    CHECK(Peers.callAtOnce(1, BeyondWindow, milliseconds(300))[0].Outcome ==
          call_outcome::NotSent);
    CHECK(Peers.callAtOnce(1, 10, milliseconds(300))[0].Outcome ==
          call_outcome::TimedOut);
    CHECK(Peers.Handled == 0);
  }
  SUBCASE("the peer resets the connection") {
    for (size_t Bytes : {size_t{100}, BeyondWindow}) {
      scripted_server Server([](scripted_connection &Connection) {
        Connection.readRequest();
        std::this_thread::sleep_for(milliseconds(50));
        Connection.resetOnClose();
      });
      event_loop Loop;
      peer_client Client(Loop, MaxBodyBytes);
      call_result Result;
      Client.send({"127.0.0.1", Server.port()}, makeUpload(Bytes), CallTimeout,
                  [&](call_result Ended) {
                    Result = std::move(Ended);
                    Loop.stop();
                  });
      Loop.run();
      CHECK(Result.Outcome == (Bytes == BeyondWindow
                                   ? call_outcome::NotSent
                                   : call_outcome::ConnectionLost));
    }
  }
}

// Guards against an upload that fills the link and keeps nested calls and other
// small messages waiting until it has ended.
TEST_CASE("small calls to a peer pass an upload on a slow link") {
  constexpr size_t Rate = 1'250'000;
  event_loop Loop;
  boot_clock Clock;
  bulk_pacer Pacer(Loop, Clock, Rate);
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(
      Loop, Listen, MaxBodyBytes,
      [](const exchange_pointer &Exchange) { Exchange->respond({}); },
      {&Pacer});
  slow_link Link(Listen, {{}, Rate}, {});
  peer_client Client(Loop, MaxBodyBytes, {&Pacer});
  bool UploadEnded = false;
  Client.send(Link.localEndpoint(), makeUpload(1'000'000), CallTimeout,
              [&](const call_result &Result) {
                CHECK(Result.Outcome == call_outcome::Completed);
                UploadEnded = true;
                Loop.stop();
              });
  int Completed = 0;
  timer Calls = Loop.every(milliseconds(100), [&] {
    time_point Begin = Clock.now();
    Client.send(Link.localEndpoint(), makeUpload(100), CallTimeout,
                [&, Begin](const call_result &Result) {
                  CHECK(Result.Outcome == call_outcome::Completed);
                  CHECK(Clock.now() - Begin < milliseconds(150));
                  CHECK(!UploadEnded);
                  ++Completed;
                });
  });
  Loop.run();
  // The upload takes 800 ms at least.
  CHECK(Completed >= 4);
  CHECK(Pacer.isIdle());
}

// Guards against a link that stays reserved for an upload whose caller has
// left, while its connection takes no bytes.
TEST_CASE("a cancelled upload frees the link at once") {
  event_loop Loop;
  boot_clock Clock;
  bulk_pacer Pacer(Loop, Clock, 1'250'000);
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(Loop, Listen, MaxBodyBytes, [](const auto &) {});
  slow_link Link(Listen, {std::chrono::hours(1), 0}, {});
  peer_client Client(Loop, MaxBodyBytes, {&Pacer});
  call_id Call = Client.send(Link.localEndpoint(), makeUpload(1'000'000),
                             CallTimeout, [](const call_result &) {});
  timer Later = Loop.after(milliseconds(100), [&] {
    CHECK(!Pacer.isIdle());
    Client.cancel(Call);
    CHECK(Pacer.isIdle());
    Loop.stop();
  });
  Loop.run();
}
