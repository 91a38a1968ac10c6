#include "dragonflyvane/net/peer_transport.hpp"

#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>

#include "dragonflyvane/net/asio_context.hpp"

using namespace dragonflyvane;
using namespace std::string_literals;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
constexpr std::chrono::milliseconds LongTimeout{20'000};

/// Sends one request, and runs the loop until the call has ended.
template <typename ClientType, typename... Options>
call_result callAndWait(event_loop &Loop, ClientType &Client,
                        const endpoint &Remote, http_request Request,
                        Options... Rest) {
  call_result Result;
  Client.send(Remote, std::move(Request), Rest..., [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  return Result;
}

/// Runs the loop until a condition holds; fails the test after 10 s.
template <typename Predicate>
void runUntil(event_loop &Loop, const Predicate &Condition) {
  bool TimedOut = false;
  timer Check = Loop.every(std::chrono::milliseconds(1), [&] {
    if (Condition())
      Loop.stop();
  });
  timer Limit = Loop.after(std::chrono::seconds(10), [&] {
    TimedOut = true;
    Loop.stop();
  });
  Loop.run();
  REQUIRE(!TimedOut);
}

http_request makeRequest(const std::string &Method, std::string Body) {
  http_request Request;
  Request.Method = Method;
  Request.Target = "/t?x=1";
  Request.Headers.add("X-Some", "Value");
  Request.Body = std::move(Body);
  return Request;
}

} // namespace

TEST_CASE("a request and its response pass through a peer stream unchanged") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(
      Loop, Listen, MaxBodyBytes, [](const exchange_pointer &Exchange) {
        http_response Response;
        Response.Status = 207;
        Response.Headers.add("Set-Cookie", "a=1");
        Response.Headers.add("Set-Cookie", "b=2");
        Response.Body =
            Exchange->request().Method + Exchange->request().Target +
            Exchange->request().Headers.find("X-Some").value_or("") +
            Exchange->request().Body.text();
        Exchange->respond(Response);
      });
  peer_client Client(Loop, MaxBodyBytes);
  std::string Large(3'000'000, 'x');
  call_result Result = callAndWait(Loop, Client, Listen,
                                   makeRequest("POST", Large), LongTimeout);
  REQUIRE(Result.Outcome == call_outcome::Completed);
  CHECK(Result.Response.Status == 207);
  CHECK(Result.Response.Body == "POST/t?x=1Value" + Large);
  CHECK(Result.Response.Headers.all().size() == 2);
}

// Guards against a status that HTTP does not have, passed on by a peer of an
// earlier version.
TEST_CASE("a response of a peer with a status that does not exist is no "
          "response") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  int Status = 0;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Exchange->respond({Status, {}, "no"});
                     });
  peer_client Client(Loop, MaxBodyBytes);
  for (int Odd : {600, 999}) {
    CAPTURE(Odd);
    Status = Odd;
    CHECK(callAndWait(Loop, Client, Listen, makeRequest("GET", ""), LongTimeout)
              .Outcome == call_outcome::ConnectionLost);
  }
  Status = 599;
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("GET", ""), LongTimeout)
            .Outcome == call_outcome::Completed);
}

TEST_CASE("a call to a peer that does not listen is not sent") {
  event_loop Loop;
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result =
      callAndWait(Loop, Client, endpoint{"127.0.0.1", freePort()},
                  makeRequest("GET", ""), LongTimeout);
  CHECK(Result.Outcome == call_outcome::NotSent);
}

TEST_CASE(
    "a call to a peer that does not respond to PING has an unknown outcome") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  using tcp = boost::asio::ip::tcp;
  tcp::acceptor Acceptor(
      Loop.internals().Io,
      {boost::asio::ip::make_address(Listen.Address), Listen.Port});
  // The kernel completes the connection, but the process never accepts it.
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result =
      callAndWait(Loop, Client, Listen, makeRequest("GET", ""), LongTimeout);
  CHECK(Result.Outcome == call_outcome::ConnectionLost);
  CHECK(Result.Error == "connection timed out: no response to PING");
}

TEST_CASE("a call without a response in time has an unknown outcome, and its "
          "handler is notified") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  exchange_pointer Held;
  bool Disconnected = false;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Held = Exchange;
                       Exchange->onDisconnect([&](disconnect_cause) {
                         Disconnected = true;
                         Loop.stop();
                       });
                     });
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result = callAndWait(Loop, Client, Listen, makeRequest("GET", ""),
                                   std::chrono::milliseconds(100));
  CHECK(Result.Outcome == call_outcome::TimedOut);
  if (!Disconnected)
    Loop.run();
  CHECK(Disconnected);
}

TEST_CASE("the HTTP client reports whether a request may have been sent") {
  event_loop Loop;
  http_client Client(Loop);
  endpoint Listen{"127.0.0.1", freePort()};
  CHECK(
      callAndWait(Loop, Client, Listen, makeRequest("GET", ""), call_options())
          .Outcome == call_outcome::ConnectionRefused);

  // The server closes the connection when the request arrives; as far as the
  // client can tell, the request may have been processed.
  using tcp = boost::asio::ip::tcp;
  tcp::acceptor Acceptor(
      Loop.internals().Io,
      {boost::asio::ip::make_address(Listen.Address), Listen.Port});
  tcp::socket Accepted(Loop.internals().Io);
  int Connections = 0;
  Acceptor.async_accept(Accepted, [&](auto) {
    ++Connections;
    Accepted.async_wait(tcp::socket::wait_read, [&](auto) {
      boost::system::error_code Ignored;
      Accepted.close(Ignored);
    });
  });
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("POST", "order"),
                    call_options())
            .Outcome == call_outcome::ConnectionLost);
  CHECK(Connections == 1);
}

TEST_CASE("a request is not sent if MaySend returns false") {
  event_loop Loop;
  http_client Client(Loop);
  endpoint Listen{"127.0.0.1", freePort()};
  int Requests = 0;
  http_server Server(Loop, Listen, {}, [&](const exchange_pointer &Exchange) {
    ++Requests;
    Exchange->respond({});
  });
  call_options Options;
  Options.MaySend = [] { return false; };
  call_result Result =
      callAndWait(Loop, Client, Listen, makeRequest("POST", "x"), Options);
  CHECK(Result.Outcome == call_outcome::NotSent);
  CHECK(Requests == 0);
}

TEST_CASE(
    "a call that may open no connection is not sent without an idle one") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  http_server Server(Loop, Listen, {}, [](const exchange_pointer &Exchange) {
    Exchange->respond({200, {}, "x"});
  });
  http_client Client(Loop);
  call_options Options;
  Options.MayConnect = false;
  auto Call = [&](const call_options &CallOptions) {
    return callAndWait(Loop, Client, Listen, makeRequest("GET", ""),
                       CallOptions);
  };
  CHECK(Call(Options).Outcome == call_outcome::NotSent);
  CHECK(Call({}).Outcome == call_outcome::Completed);
  CHECK(Call(Options).Outcome == call_outcome::Completed);
}

// A daemon that stops destroys its peer client after the objects that wait for
// calls of it.
TEST_CASE("a call that is open when its client is destroyed is not called "
          "back") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  exchange_pointer Open;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Open = Exchange;
                       Loop.stop();
                     });
  int Results = 0;
  {
    peer_client Client(Loop, MaxBodyBytes);
    Client.send(Listen, makeRequest("GET", ""), LongTimeout,
                [&](const call_result &) { ++Results; });
    Loop.run();
    REQUIRE(Open);
  }
  CHECK(Results == 0);
}

// One malformed message ended the whole process: an exception of a handler or
// of a callback left the event loop, or crossed the frames of nghttp2.
TEST_CASE("an exception of a handler or a callback ends no process") {
  event_loop Loop;
  endpoint PeerListen{"127.0.0.1", freePort()};
  endpoint Listen{"127.0.0.1", freePort()};
  auto Throw = [](const exchange_pointer &) {
    throw std::runtime_error("malformed");
  };
  peer_server PeerServer(Loop, PeerListen, MaxBodyBytes, Throw);
  http_server Server(Loop, Listen, {}, Throw);
  peer_client PeerClient(Loop, MaxBodyBytes);
  http_client Client(Loop);
  for (int I = 0; I < 2; ++I) {
    call_result FromPeer = callAndWait(Loop, PeerClient, PeerListen,
                                       makeRequest("GET", ""), LongTimeout);
    CHECK(FromPeer.Response.Status == 500);
    call_result FromServer = callAndWait(
        Loop, Client, Listen, makeRequest("GET", ""), call_options{});
    CHECK(FromServer.Response.Status == 500);
  }
  PeerClient.send(PeerListen, makeRequest("GET", ""), LongTimeout,
                  [&](const call_result &) {
                    Loop.post([&] { Loop.stop(); });
                    throw std::runtime_error("malformed");
                  });
  Loop.run();
  Loop.post([] { throw std::runtime_error("malformed"); });
  Loop.post([&] { Loop.stop(); });
  Loop.run();
}

namespace {

constexpr char DataFrame = 0;
constexpr char HeadersFrame = 1;
constexpr char SettingsFrame = 4;
constexpr char EndStreamFlag = 1;
constexpr char EndHeadersFlag = 4;

/// A frame of HTTP/2 for a stream, or for the connection if `Stream` is 0.
std::string makeFrame(char Type, char Flags, uint16_t Stream,
                      const std::string &Payload) {
  std::string Frame(9, '\0');
  Frame[2] = static_cast<char>(Payload.size());
  Frame[3] = Type;
  Frame[4] = Flags;
  Frame[7] = static_cast<char>(Stream >> 8);
  Frame[8] = static_cast<char>(Stream & 0xff);
  return Frame + Payload;
}

} // namespace

// Guards against a response that ends early, taken for a whole one by the host
// of the caller: after each byte that a peer sends, with a close and with a
// reset.
TEST_CASE("a response of a peer that is cut off is not whole") {
  const std::string StatusOk = "\x88";
  const std::string Whole =
      makeFrame(SettingsFrame, 0, 0, "") +
      makeFrame(HeadersFrame, EndHeadersFlag, 1, StatusOk) +
      makeFrame(DataFrame, 0, 1, "wh") +
      makeFrame(DataFrame, EndStreamFlag, 1, "ole");
  auto Call = [&](size_t Size, bool WithReset) {
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send(Whole.substr(0, Size));
      if (WithReset)
        Connection.resetOnClose();
    });
    event_loop Loop;
    peer_client Client(Loop, MaxBodyBytes);
    return callAndWait(Loop, Client, endpoint{"127.0.0.1", Server.port()},
                       makeRequest("GET", ""), LongTimeout);
  };
  for (size_t Size = 0; Size < Whole.size(); ++Size)
    for (bool WithReset : {false, true}) {
      CAPTURE(Size);
      CAPTURE(WithReset);
      CHECK(Call(Size, WithReset).Outcome == call_outcome::ConnectionLost);
    }
  call_result Result = Call(Whole.size(), false);
  CHECK(Result.Outcome == call_outcome::Completed);
  CHECK(Result.Response.Body == "whole");
}

// Guards against a request that crosses the planned stop of a peer, and of
// which the caller is told that it may have run.
TEST_CASE("a peer that stops certainly does not process what arrives later") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  int Handled = 0;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       ++Handled;
                       Exchange->respond({});
                     });
  peer_client Client(Loop, MaxBodyBytes);
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("POST", "x"), LongTimeout)
            .Outcome == call_outcome::Completed);
  Server.stopAccepting();
  Server.finishClosing();
  // The client does not know yet.
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("POST", "x"), LongTimeout)
            .Outcome == call_outcome::NotSent);
  CHECK(Handled == 1);
  // It opens a new connection once it knows.
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("POST", "x"), LongTimeout)
            .Error == "cannot connect");
}

// Guards against requests with an unknown outcome after a pause of this
// process: they are sent on connections that the peers have closed meanwhile.
TEST_CASE("a call is not sent on a connection that the peer has closed") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  int Handled = 0;
  auto Respond = [&](const exchange_pointer &Exchange) {
    ++Handled;
    Exchange->respond({});
  };
  auto Server =
      std::make_unique<peer_server>(Loop, Listen, MaxBodyBytes, Respond);
  peer_client Client(Loop, MaxBodyBytes);
  for (int I = 1; I <= 2; ++I) {
    CHECK(
        callAndWait(Loop, Client, Listen, makeRequest("POST", "x"), LongTimeout)
            .Outcome == call_outcome::Completed);
    CHECK(Handled == I);
    // The client's loop does not run before the next call.
    Server.reset();
    Server = std::make_unique<peer_server>(Loop, Listen, MaxBodyBytes, Respond);
  }
}

// Guards against a daemon that ends before its responses to peers are written.
TEST_CASE("a peer server is writing until the whole response is sent") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  bool WasWriting = false;
  std::unique_ptr<peer_server> Server;
  Server = std::make_unique<peer_server>(
      Loop, Listen, MaxBodyBytes, [&](const exchange_pointer &Exchange) {
        http_response Response;
        Response.Body = std::string(3'000'000, 'x');
        Exchange->respond(Response);
        WasWriting = Server->activity().IsWriting;
      });
  peer_client Client(Loop, MaxBodyBytes);
  CHECK(!Server->activity().IsWriting);
  CHECK(callAndWait(Loop, Client, Listen, makeRequest("GET", ""), LongTimeout)
            .Outcome == call_outcome::Completed);
  CHECK(WasWriting);
  timer Check = Loop.every(std::chrono::milliseconds(1), [&] {
    if (!Server->activity().IsWriting)
      Loop.stop();
  });
  Loop.run();
  CHECK(!Server->activity().IsWriting);
}

namespace {

/// What a client sends first.
std::string makePreface() {
  return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
         makeFrame(SettingsFrame, 0, 0, "");
}

/// The header fields `POST / http` of a request on the first stream, whose body
/// follows.
std::string makeHeaders() {
  return makeFrame(HeadersFrame, EndHeadersFlag, 1, "\x83\x84\x86");
}

/// A peer server that counts its requests, and responds to them at once or
/// keeps them.
struct counting_server {
  explicit counting_server(bool Responds = true)
      : Listen{"127.0.0.1", freePort()},
        Server(std::make_unique<peer_server>(
            Loop, Listen, MaxBodyBytes,
            [this, Responds](const exchange_pointer &Exchange) {
              ++Handled;
              if (Responds)
                return Exchange->respond({200, {}, "done"});
              Held = Exchange;
            })) {}

  call_result call(peer_client &Client, std::string Body) {
    return callAndWait(Loop, Client, Listen,
                       makeRequest("POST", std::move(Body)), LongTimeout);
  }

  event_loop Loop;
  endpoint Listen;
  int Handled = 0;
  exchange_pointer Held;
  std::unique_ptr<peer_server> Server;
};

} // namespace

// Guards against a daemon that ends while the body of a peer's request is on
// its way.
TEST_CASE("a peer server is receiving until a request has arrived") {
  counting_server Setup(false);
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeHeaders());
  runUntil(Setup.Loop, [&] { return Setup.Server->activity().IsReceiving; });
  Peer.send(makeFrame(DataFrame, 0, 1, "or"));
  Setup.Loop.post([&] { Setup.Loop.stop(); });
  Setup.Loop.run();
  CHECK(Setup.Server->activity().IsReceiving);
  CHECK(Setup.Handled == 0);
  Peer.send(makeFrame(DataFrame, EndStreamFlag, 1, "der"));
  runUntil(Setup.Loop, [&] { return Setup.Handled == 1; });
  CHECK(!Setup.Server->activity().IsReceiving);
  CHECK(Setup.Held->request().Body == "order");
}

// Guards against a caller who is told that its request may have run, although
// the peer ended before it had arrived.
TEST_CASE("a request that has not arrived is certainly not processed by a peer "
          "that ends") {
  counting_server Setup;
  peer_client Client(Setup.Loop, MaxBodyBytes);
  std::function<void()> RefuseOnceArriving = [&] {
    if (!Setup.Server->activity().IsReceiving)
      return Setup.Loop.post(RefuseOnceArriving);
    Setup.Server->stopAccepting();
    Setup.Server->refuseArriving();
    Setup.Server->finishClosing();
  };
  Setup.Loop.post(RefuseOnceArriving);
  CHECK(Setup.call(Client, std::string(6'000'000, 'x')).Outcome ==
        call_outcome::NotSent);
  CHECK(Setup.Handled == 0);
}

// Guards against requests that peers send before they know of the stop, and
// which they must send to another host.
TEST_CASE("a request that crosses the shutdown notice of a peer is served") {
  counting_server Setup;
  peer_client Client(Setup.Loop, MaxBodyBytes);
  REQUIRE(Setup.call(Client, "x").Outcome == call_outcome::Completed);
  Setup.Server->startClosing();
  CHECK(Setup.call(Client, "x").Outcome == call_outcome::Completed);
  Setup.Server->stopAccepting();
  // The request may be on its way, since the peer does not know yet.
  CHECK(Setup.Server->activity().IsReceiving);
  CHECK(Setup.call(Client, "x").Outcome == call_outcome::Completed);
  CHECK(Setup.Handled == 3);
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsReceiving; });
  CHECK(Setup.call(Client, "x").Error == "cannot connect");
}

// Guards against a reset of connections that wait to be accepted when a daemon
// stops to listen.
TEST_CASE("a peer server that stops accepting serves connections that are "
          "established") {
  counting_server Setup;
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeHeaders() +
            makeFrame(DataFrame, EndStreamFlag, 1, "x"));
  Setup.Server->stopAccepting();
  runUntil(Setup.Loop, [&] { return Setup.Handled == 1; });
  CHECK(!Peer.readUntil("done").empty());
}

// Guards against a stop that waits for a peer that is gone or does not run.
TEST_CASE("a peer that does not confirm the shutdown notice is not awaited") {
  counting_server Setup;
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface());
  Setup.Server->stopAccepting();
  CHECK(Setup.Server->activity().IsReceiving);
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsReceiving; });
  CHECK(Setup.Server->activity().HasConnections);
}

// Guards against a process that has to wait at its end, since its peers keep
// connections of no use.
TEST_CASE("a peer client closes a connection that takes no more calls, once it "
          "has no calls left") {
  counting_server Setup(false);
  peer_client Client(Setup.Loop, MaxBodyBytes);
  call_result Result;
  Client.send(Setup.Listen, makeRequest("POST", "x"), LongTimeout,
              [&](call_result Ended) {
                Result = std::move(Ended);
                Setup.Loop.stop();
              });
  runUntil(Setup.Loop, [&] { return Setup.Handled == 1; });
  Setup.Server->stopAccepting();
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsReceiving; });
  CHECK(Setup.Server->activity().HasConnections);
  Setup.Held->respond({200, {}, "late"});
  Setup.Loop.run();
  CHECK(Result.Response.Body == "late");
  runUntil(Setup.Loop,
           [&] { return !Setup.Server->activity().HasConnections; });
}

// Guards against a connection that is closed for writing before the GOAWAY: the
// peer could not tell that a request on its way is certainly not processed.
TEST_CASE("a peer server that finishes closing later than it stopped accepting "
          "names the streams that it processes") {
  constexpr char GoawayFrame = 7;
  counting_server Setup;
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeHeaders() +
            makeFrame(DataFrame, EndStreamFlag, 1, "x"));
  runUntil(Setup.Loop, [&] { return Setup.Handled == 1; });
  Setup.Server->stopAccepting();
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsWriting; });
  Setup.Server->finishClosing();
  Peer.send(makeFrame(HeadersFrame, EndHeadersFlag | EndStreamFlag, 3,
                      "\x83\x84\x86"));
  std::string LastStreamAndNoError = "\0\0\0\1\0\0\0\0"s;
  CHECK(Peer.readAll().find(makeFrame(
            GoawayFrame, 0, 0, LastStreamAndNoError)) != std::string::npos);
  Peer.close();
  runUntil(Setup.Loop,
           [&] { return !Setup.Server->activity().HasConnections; });
  CHECK(Setup.Handled == 1);
}

// Guards against a reset that takes a response from a peer which has not read
// it, and against peers that send to a process which ends.
TEST_CASE("a peer server that finishes closing closes its idle connections for "
          "writing") {
  counting_server Setup;
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeHeaders() +
            makeFrame(DataFrame, EndStreamFlag, 1, "x"));
  runUntil(Setup.Loop, [&] { return Setup.Handled == 1; });
  Setup.Server->finishClosing();
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsWriting; });
  Peer.send(makeFrame(DataFrame, 0, 1, "late"));
  CHECK(Peer.readAll().find("done") != std::string::npos);
  CHECK(Setup.Server->activity().HasConnections);
  Peer.close();
  runUntil(Setup.Loop,
           [&] { return !Setup.Server->activity().HasConnections; });
}

// Guards against requests of peers that are lost without a trace: each stream
// that ends without a complete response is reported once.
TEST_CASE("a peer server reports requests that end without a response") {
  std::vector<unanswered_request> Reported;
  counting_server Setup(false);
  Setup.Server->onUnanswered(
      [&](const unanswered_request &Request) { Reported.push_back(Request); });
  {
    raw_connection Peer(Setup.Listen.Port);
    Peer.send(makePreface() + makeHeaders() + makeFrame(DataFrame, 0, 1, "or"));
    runUntil(Setup.Loop, [&] { return Setup.Server->activity().IsReceiving; });
    Peer.close();
    runUntil(Setup.Loop, [&] { return !Reported.empty(); });
    CHECK((Reported[0].Phase == request_phase::Receiving));
    CHECK(Reported[0].BytesRead > 2);
    CHECK(Reported[0].Reason == "peer closed the connection");
  }
  peer_client Client(Setup.Loop, MaxBodyBytes);
  CHECK(callAndWait(Setup.Loop, Client, Setup.Listen, makeRequest("POST", "x"),
                    std::chrono::milliseconds(100))
            .Outcome == call_outcome::TimedOut);
  runUntil(Setup.Loop, [&] { return Reported.size() == 2; });
  CHECK((Reported[1].Phase == request_phase::Serving));
  CHECK(Reported[1].Headers.find("x-some") == "Value");
  CHECK(Reported[1].Reason == "cancelled by the peer");

  raw_connection Slow(Setup.Listen.Port);
  Slow.send(makePreface() + makeHeaders() +
            makeFrame(DataFrame, EndStreamFlag, 1, "x"));
  runUntil(Setup.Loop, [&] { return Setup.Handled == 2; });
  http_response Response{200, {}, std::string(3'000'000, 'x')};
  Response.Headers.add("X-Id", "7");
  Setup.Held->respond(Response);
  Setup.Server.reset();
  REQUIRE(Reported.size() == 3);
  CHECK((Reported[2].Phase == request_phase::Responding));
  CHECK(Reported[2].Headers.find("x-id") == "7");
  CHECK(Reported[2].Reason == "server closed");
}

// Guards against responses that are lost between the session and the socket:
// their streams are closed, but the peer does not get them.
TEST_CASE("a peer server reports responses that a full socket does not take") {
  constexpr size_t Requests = 1'000;
  constexpr char WindowUpdateFrame = 8;
  const std::string LargeWindow = "\x7f\xff\x00\x00"s;
  counting_server Setup(false);
  size_t Reports = 0;
  Setup.Server->onUnanswered([&](const unanswered_request &) { ++Reports; });
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeFrame(WindowUpdateFrame, 0, 0, LargeWindow));
  for (size_t I = 0; I < Requests; ++I) {
    Peer.send(makeFrame(HeadersFrame, EndHeadersFlag | EndStreamFlag,
                        static_cast<uint16_t>(2 * I + 1), "\x83\x84\x86"));
    runUntil(Setup.Loop, [&] { return Setup.Held != nullptr; });
    std::exchange(Setup.Held, nullptr)
        ->respond({200, {}, std::string(20'000, 'x') + "end"});
  }
  Setup.Server.reset();
  std::string Received = Peer.readAll();
  size_t Whole = 0;
  for (size_t I = Received.find("end"); I != std::string::npos;
       I = Received.find("end", I + 1))
    ++Whole;
  CHECK(Whole < Requests);
  // A part of the responses that are being written may arrive.
  CHECK(Whole + Reports >= Requests);
  CHECK(Reports < Requests);
}

TEST_CASE("a peer server reports no requests that were answered or refused") {
  int Reports = 0;
  counting_server Setup;
  Setup.Server->onUnanswered([&](const unanswered_request &) { ++Reports; });
  {
    peer_client Client(Setup.Loop, MaxBodyBytes);
    CHECK(Setup.call(Client, "x").Outcome == call_outcome::Completed);
    CHECK(Setup.call(Client, std::string(MaxBodyBytes + 1, 'x')).Outcome ==
          call_outcome::NotSent);
  }
  raw_connection Peer(Setup.Listen.Port);
  Peer.send(makePreface() + makeHeaders());
  runUntil(Setup.Loop, [&] { return Setup.Server->activity().IsReceiving; });
  Setup.Server->finishClosing();
  runUntil(Setup.Loop, [&] { return !Setup.Server->activity().IsWriting; });
  Setup.Server.reset();
  CHECK(Reports == 0);
}
