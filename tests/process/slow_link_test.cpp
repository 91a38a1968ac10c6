#include "slow_link.hpp"

#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <string>
#include <thread>

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

// Guards against a shared link on which each connection has the whole rate, or
// on which bytes pass others that were sent before.
TEST_CASE("connections through a shared link wait for each other's bytes") {
  constexpr size_t Rate = 64 << 10;
  link_direction Slow{milliseconds(0), Rate};
  scripted_server Server([](scripted_connection &Connection) {
    Connection.send(std::string(Connection.readRest().size(), 'x'));
  });
  bool IsShared = false;
  SUBCASE("shared") { IsShared = true; }
  SUBCASE("not shared") {}
  slow_link Link(endpointOf(Server), Slow, Slow,
                 IsShared ? link_sharing::AllConnections : link_sharing::None);
  endpoint Further = Link.addTarget(endpointOf(Server));
  raw_connection Large(Link.localEndpoint().Port);
  raw_connection Small(Further.Port);
  auto Start = steady_clock::now();
  Large.send(std::string(Rate / 4, 'x'));
  Large.endSending();
  // The proxy accepts all bytes long before it delivers them.
  std::this_thread::sleep_for(milliseconds(50));
  Small.send("abc");
  Small.endSending();
  CHECK(Small.readAll() == "xxx");
  if (IsShared)
    CHECK(timeSince(Start) >= milliseconds(250));
  else
    CHECK(!Large.awaitInput(milliseconds(0)));
  CHECK(Large.readAll().size() == Rate / 4);
  CHECK(timeSince(Start) >= milliseconds(500));
  CHECK(Link.connectionCount() == 2);
}

// Guards against a shared link whose directions wait for each other.
TEST_CASE("the directions of a shared link are independent") {
  constexpr size_t Size = 32 << 10;
  link_direction Slow{milliseconds(0), 2 * Size};
  scripted_server Server([](scripted_connection &Connection) {
    Connection.send(std::string(Size, 'x'));
    Connection.readRest();
  });
  slow_link Link(endpointOf(Server), Slow, Slow, link_sharing::AllConnections);
  raw_connection Caller(Link.localEndpoint().Port);
  auto Start = steady_clock::now();
  Caller.send(std::string(Size, 'x'));
  Caller.endSending();
  CHECK(Caller.readAll().size() == Size);
  CHECK(timeSince(Start) >= milliseconds(500));
  CHECK(timeSince(Start) < milliseconds(1'000));
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

// Guards against the same when the link or the caller learns of the reset by
// what it writes, since bytes are still on their way to the server.
TEST_CASE("a slow link passes on a reset beside an upload") {
  constexpr int Rounds = 10;
  for (int Round = 0; Round < Rounds; ++Round) {
    CAPTURE(Round);
    scripted_server Server([](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send("part");
      std::this_thread::sleep_for(milliseconds(20));
      Connection.resetOnClose();
    });
    slow_link Link(endpointOf(Server), {}, {});
    raw_connection Caller(Link.localEndpoint().Port);
    Caller.send("POST / HTTP/1.1\r\n\r\n" + std::string(16 << 20, 'x'));
    CHECK(Caller.readAll() == "part");
    CHECK(Caller.wasReset());
  }
}

// Guards against a link that keeps a connection open which its target refused.
TEST_CASE("a slow link resets a connection that its target refuses") {
  slow_link Link({"127.0.0.1", freePort()}, {milliseconds(200)}, {});
  raw_connection Caller(Link.localEndpoint().Port);
  CHECK(Caller.readAll() == "");
  CHECK(Caller.wasReset());
  CHECK(Link.hasRefused(Caller.localPort()));
}
