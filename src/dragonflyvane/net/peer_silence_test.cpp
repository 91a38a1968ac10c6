// Calls to peers that show no sign of life for a while, or for good.
#include "dragonflyvane/net/peer_transport.hpp"

#include "raw_connection.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
constexpr milliseconds CallTimeout{10'000};
constexpr link_direction Late{milliseconds(1500), 0};
constexpr link_direction Blocked{std::chrono::hours(1), 0};
/// A lost host is noticed within this time.
constexpr milliseconds NoticeTime{1300};

http_request makeRequest(size_t BodyBytes = 0) {
  http_request Request;
  Request.Method = "POST";
  Request.Body = std::string(BodyBytes, 'x');
  return Request;
}

/// An HTTP/2 frame of a type with flags, on a stream.
std::string makeFrame(char Type, char Flags, char StreamId,
                      const std::string &Payload) {
  return std::string{0,    0,     static_cast<char>(Payload.size()),
                     Type, Flags, 0,
                     0,    0,     StreamId} +
         Payload;
}

/// A whole request `GET /` on a connection.
std::string makeRawRequest() {
  constexpr char SettingsFrame = 4;
  constexpr char HeadersFrame = 1;
  constexpr char EndOfStreamAndHeaders = 5;
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
         makeFrame(SettingsFrame, 0, 0, "") +
         makeFrame(HeadersFrame, EndOfStreamAndHeaders, 1, "\x82\x84\x86");
}

http_handler respondAtOnce() {
  return [](const exchange_pointer &Exchange) { Exchange->respond({}); };
}

struct ended_call {
  call_outcome Outcome;
  std::string Error;
  duration Took{0};
  bool PeerAnswers = false;
};

/// Makes calls to one endpoint, and runs the loop until all have ended.
struct caller {
  /// Calls are numbered from 0.
  void send(silence_policy Policy, size_t BodyBytes = 0,
            milliseconds Timeout = CallTimeout) {
    size_t Number = Ended.size();
    Ended.emplace_back();
    time_point Begin = Clock.now();
    ++OpenCalls;
    Client.send(
        Peer, makeRequest(BodyBytes), Timeout,
        [this, Number, Begin](const call_result &Result) {
          Ended[Number] = {Result.Outcome, Result.Error, Clock.now() - Begin,
                           Result.PeerAnswers};
          if (--OpenCalls == 0)
            Loop.stop();
        },
        Policy);
  }

  /// Returns how a call ended.
  const ended_call &call(size_t Number) const { return *Ended.at(Number); }

  event_loop &Loop;
  endpoint Peer;
  boot_clock Clock{};
  peer_client Client{Loop, MaxBodyBytes};
  size_t OpenCalls = 0;
  std::vector<std::optional<ended_call>> Ended{};
};

/// A peer server behind a link.
struct linked_server {
  linked_server(const link_direction &ToServer, const link_direction &ToClient)
      : Link(Listen, ToServer, ToClient) {}

  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server{Loop, Listen, MaxBodyBytes, respondAtOnce()};
  slow_link Link;
  caller Caller{Loop, Link.localEndpoint()};
};

/// A process that accepts one connection, reads nothing from it, and then ends
/// without the connection being reset, as when its host is restarted.
class silent_process {
public:
  silent_process() : Listener(socket(AF_INET, SOCK_STREAM, 0)) {
    int On = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    REQUIRE(bind(Listener, Generic, Size) == 0);
    REQUIRE(listen(Listener, 8) == 0);
    getsockname(Listener, Generic, &Size);
    Port = ntohs(Address.sin_port);
  }
  ~silent_process() {
    end();
    close(Connection);
  }
  silent_process(const silent_process &) = delete;
  silent_process &operator=(const silent_process &) = delete;

  endpoint localEndpoint() const { return {"127.0.0.1", Port}; }

  /// From now on connections are refused.
  void end() {
    if (Listener < 0)
      return;
    Connection = accept(Listener, nullptr, nullptr);
    close(Listener);
    Listener = -1;
  }

private:
  int Listener;
  int Connection = -1;
  uint16_t Port = 0;
};

} // namespace

// Guards against a call that is told "unknown" although its response is on its
// way: bytes wait in a full link, as long as a lost host is silent.
TEST_CASE("a call that waits gets its response over a link that is late") {
  bool IsRequestLate = false;
  SUBCASE("the request is late") { IsRequestLate = true; }
  SUBCASE("the response is late") {}
  linked_server Peer(IsRequestLate ? Late : link_direction{},
                     IsRequestLate ? link_direction{} : Late);
  Peer.Caller.send(silence_policy::Wait);
  Peer.Caller.send(silence_policy::End);
  Peer.Loop.run();
  CHECK(Peer.Caller.call(0).Outcome == call_outcome::Completed);
  CHECK(Peer.Caller.call(0).Took >= milliseconds(1500));
  CHECK(Peer.Caller.call(1).Outcome == call_outcome::ConnectionLost);
  CHECK(Peer.Caller.call(1).Error ==
        "connection timed out: no response to PING");
  CHECK(Peer.Caller.call(1).Took < NoticeTime);
}

// Guards against calls that wait for ever on a connection whose host is gone.
TEST_CASE("the wait for a silent peer is limited") {
  linked_server Peer(Blocked, {});
  Peer.Caller.send(silence_policy::Wait);
  Peer.Caller.send(silence_policy::Wait, 0, milliseconds(2000));
  Peer.Loop.run();
  CHECK(Peer.Caller.call(0).Outcome == call_outcome::ConnectionLost);
  CHECK(Peer.Caller.call(0).Took > milliseconds(3000));
  CHECK(Peer.Caller.call(0).Took < milliseconds(4200));
  CHECK(Peer.Caller.call(1).Outcome == call_outcome::TimedOut);
  CHECK(Peer.Caller.call(1).Took < milliseconds(2300));
}

// Guards against a call that waits although the peer cannot have its whole
// request, and against one of several calls that ends the others.
TEST_CASE("a call whose last byte was not sent does not wait") {
  constexpr size_t BeyondWindow = 3'000'000;
  linked_server Peer(Blocked, {});
  Peer.Caller.send(silence_policy::Wait, BeyondWindow);
  Peer.Caller.send(silence_policy::Wait);
  Peer.Loop.run();
  CHECK(Peer.Caller.call(0).Outcome == call_outcome::NotSent);
  CHECK(Peer.Caller.call(0).Took < NoticeTime);
  CHECK(Peer.Caller.call(1).Outcome == call_outcome::ConnectionLost);
  CHECK(Peer.Caller.call(1).Took > milliseconds(3000));
}

// Guards against calls that wait for a process that has ended.
TEST_CASE("calls do not wait for a peer that refuses connections") {
  event_loop Loop;
  silent_process Process;
  caller Caller{Loop, Process.localEndpoint()};
  Caller.send(silence_policy::Wait);
  timer End = Loop.after(milliseconds(100), [&] { Process.end(); });
  Loop.run();
  CHECK(Caller.call(0).Outcome == call_outcome::ConnectionLost);
  CHECK(Caller.call(0).Error == "peer refuses connections");
  CHECK(!Caller.call(0).PeerAnswers);
  CHECK(Caller.call(0).Took < NoticeTime);
}

// Guards against calls that wait on a connection which is silent for good,
// while the peer answers on others, and against new calls on the silent one.
TEST_CASE("calls wait a short time only if the peer answers elsewhere") {
  event_loop Loop;
  silent_process Process;
  caller Caller{Loop, Process.localEndpoint()};
  std::optional<peer_server> Next;
  Caller.send(silence_policy::Wait);
  timer Restart = Loop.after(milliseconds(100), [&] {
    Process.end();
    Next.emplace(Loop, Process.localEndpoint(), MaxBodyBytes, respondAtOnce());
  });
  timer Later = Loop.after(milliseconds(1100), [&] {
    REQUIRE(!Caller.Ended[0]);
    Caller.send(silence_policy::End);
  });
  Loop.run();
  CHECK(Caller.call(0).Outcome == call_outcome::ConnectionLost);
  CHECK(Caller.call(0).Took > milliseconds(1200));
  CHECK(Caller.call(0).Took < milliseconds(2000));
  CHECK(Caller.call(0).PeerAnswers);
  CHECK(Caller.call(1).Outcome == call_outcome::Completed);
  CHECK(Caller.call(1).Took < milliseconds(300));
}

// Guards against a server that cuts off what it runs for a peer whose responses
// to its PING are late.
TEST_CASE("a peer server serves a peer that is late") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  timer Work;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Work = Loop.after(milliseconds(2000),
                                         [Exchange] { Exchange->respond({}); });
                     });
  slow_link Link(Listen, Late, {});
  caller Caller{Loop, Link.localEndpoint()};
  Caller.send(silence_policy::Wait);
  Loop.run();
  CHECK(Caller.call(0).Outcome == call_outcome::Completed);
  CHECK(Caller.call(0).Error == "");
  CHECK(Caller.call(0).Took > milliseconds(3500));
}

// Guards against requests of a peer that is gone, which take slots and memory.
TEST_CASE("a peer server waits for a silent peer for a limited time") {
  event_loop Loop;
  boot_clock Clock;
  endpoint Listen{"127.0.0.1", freePort()};
  time_point Begin;
  duration Waited{0};
  exchange_pointer Held;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Held = Exchange;
                       Begin = Clock.now();
                       Held->onDisconnect([&](disconnect_cause) {
                         Waited = Clock.now() - Begin;
                         Loop.stop();
                       });
                     });
  raw_connection Peer(Listen);
  Peer.send(makeRawRequest());
  Loop.run();
  CHECK(Waited > milliseconds(3000));
  CHECK(Waited < milliseconds(4200));
}

// Guards against a run that is cut off because its cause cannot be told: a
// caller that has left, or a connection that has ended.
TEST_CASE("a peer server tells why an exchange ends") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  std::optional<disconnect_cause> Cause;
  auto Client = std::make_unique<peer_client>(Loop, MaxBodyBytes);
  call_id Call = 0;
  disconnect_cause Expected = disconnect_cause::Cancelled;
  std::function<void()> End;
  SUBCASE("the call is cancelled") {
    End = [&] { Client->cancel(Call); };
  }
  SUBCASE("the connection is closed") {
    Expected = disconnect_cause::ConnectionEnded;
    End = [&] { Client.reset(); };
  }
  exchange_pointer Held;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Held = Exchange;
                       Held->onDisconnect([&](disconnect_cause Seen) {
                         Cause = Seen;
                         Loop.stop();
                       });
                       Loop.post(End);
                     });
  Call = Client->send(Listen, makeRequest(), CallTimeout,
                      [](const call_result &) {});
  Loop.run();
  CHECK(Cause == Expected);
}
