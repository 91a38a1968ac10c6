#include "dragonflyvane/net/peer_transport.hpp"

#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "raw_connection.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>

#include "dragonflyvane/net/asio_context.hpp"

using namespace dragonflyvane;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
constexpr std::chrono::milliseconds LongTimeout{20'000};

/// Sends one request and runs the loop until it has ended.
template <typename Client, typename... Options>
call_result callAndWait(event_loop &Loop, Client &Peers, const endpoint &Peer,
                        http_request Request, Options... Rest) {
  call_result Result;
  Peers.send(Peer, std::move(Request), Rest..., [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  return Result;
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

TEST_CASE("a request and its answer cross a peer stream whole") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(Loop, Listen, MaxBodyBytes, [](const exchange_pointer &E) {
    http_response Response;
    Response.Status = 207;
    Response.Headers.add("Set-Cookie", "a=1");
    Response.Headers.add("Set-Cookie", "b=2");
    Response.Body = E->request().Method + E->request().Target +
                    E->request().Headers.find("X-Some").value_or("") +
                    E->request().Body;
    E->respond(Response);
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

TEST_CASE("a peer that is not there: certainly not sent") {
  event_loop Loop;
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result =
      callAndWait(Loop, Client, endpoint{"127.0.0.1", freePort()},
                  makeRequest("GET", ""), LongTimeout);
  CHECK(Result.Outcome == call_outcome::NotSent);
}

TEST_CASE("a peer that accepts and stays silent is given up, outcome unknown") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  using tcp = boost::asio::ip::tcp;
  tcp::acceptor Acceptor(
      Loop.internals().Io,
      {boost::asio::ip::make_address(Listen.Address), Listen.Port});
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result =
      callAndWait(Loop, Client, Listen, makeRequest("GET", ""), LongTimeout);
  CHECK(Result.Outcome == call_outcome::ConnectionLost);
  CHECK(Result.Error == "connection went silent");
}

TEST_CASE("a call that is not answered in time has an unknown outcome") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  exchange_pointer Held;
  bool Gone = false;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &E) {
                       Held = E;
                       E->onDisconnect([&] {
                         Gone = true;
                         Loop.stop();
                       });
                     });
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result = callAndWait(Loop, Client, Listen, makeRequest("GET", ""),
                                   std::chrono::milliseconds(100));
  CHECK(Result.Outcome == call_outcome::TimedOut);
  if (!Gone)
    Loop.run();
  CHECK(Gone);
}

TEST_CASE("the HTTP client tells what was sent from what was not") {
  event_loop Loop;
  http_client Client(Loop);
  endpoint Listen{"127.0.0.1", freePort()};
  CHECK(
      callAndWait(Loop, Client, Listen, makeRequest("GET", ""), call_options())
          .Outcome == call_outcome::ConnectionRefused);

  // Reads the request, then hangs up: it may have run.
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

TEST_CASE("a request that may not be sent any more is not sent") {
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
