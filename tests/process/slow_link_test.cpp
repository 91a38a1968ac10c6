#include "slow_link.hpp"

#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

endpoint endpointOf(const scripted_server &Server) {
  return {"127.0.0.1", Server.port()};
}

milliseconds timeSince(steady_clock::time_point Start) {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - Start);
}

} // namespace

// Guards against a link on which bytes arrive before their delays are over.
TEST_CASE("a slow link delays both directions") {
  scripted_server Server([](scripted_connection &Connection) {
    Connection.readRequest();
    Connection.send("answer");
  });
  slow_link Link(endpointOf(Server), {milliseconds(80)}, {milliseconds(50)});
  raw_connection Caller(Link.localEndpoint().Port);
  auto Start = steady_clock::now();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(Caller.readAll() == "answer");
  CHECK(timeSince(Start) >= milliseconds(130));
}

// Guards against a link that passes many bytes on at once, or loses some.
TEST_CASE("a slow link limits the rate") {
  scripted_server Server([](scripted_connection &Connection) {
    Connection.send(std::to_string(Connection.readRest().size()));
  });
  slow_link Link(endpointOf(Server), {milliseconds(0), 64 << 10}, {});
  raw_connection Caller(Link.localEndpoint().Port);
  auto Start = steady_clock::now();
  Caller.send(std::string(16 << 10, 'x'));
  Caller.endSending();
  CHECK(Caller.readAll() == std::to_string(16 << 10));
  CHECK(timeSince(Start) >= milliseconds(250));
}

// Guards against a link that closes both directions when one ends, or that ends
// a direction before its last bytes have arrived.
TEST_CASE("a slow link passes on the end of one direction after its bytes") {
  scripted_server Server([](scripted_connection &Connection) {
    std::string Received = Connection.readRest();
    Connection.send("received " + Received);
  });
  slow_link Link(endpointOf(Server), {milliseconds(30)}, {milliseconds(30)});
  raw_connection Caller(Link.localEndpoint().Port);
  Caller.send("abc");
  Caller.endSending();
  CHECK(Caller.readAll() == "received abc");
}

// Guards against resets that arrive as a regular end of the stream.
TEST_CASE("a slow link passes resets on") {
  scripted_server Server([](scripted_connection &Connection) {
    Connection.readRequest();
    Connection.resetOnClose();
  });
  slow_link Link(endpointOf(Server), {}, {milliseconds(40)});
  raw_connection Caller(Link.localEndpoint().Port);
  auto Start = steady_clock::now();
  Caller.send("GET / HTTP/1.1\r\n\r\n");
  CHECK(Caller.readAll() == "");
  CHECK(Caller.wasReset());
  CHECK(!Link.hasRefused(Caller.localPort()));
  CHECK(timeSince(Start) >= milliseconds(40));
}

// Guards against a link that keeps a connection open which its target refused.
TEST_CASE("a slow link resets a connection that its target refuses") {
  slow_link Link({"127.0.0.1", freePort()}, {milliseconds(200)}, {});
  raw_connection Caller(Link.localEndpoint().Port);
  CHECK(Caller.readAll() == "");
  CHECK(Caller.wasReset());
  CHECK(Link.hasRefused(Caller.localPort()));
}
