#include "dragonflyvane/net/body_memory.hpp"

#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/net/http_server.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <thread>

using namespace dragonflyvane;

namespace {

constexpr size_t MemoryLimit = size_t{4} << 20;
constexpr std::chrono::milliseconds CallTimeout{10'000};

/// Sends the head of a response, then the same bytes until the client closes.
scripted_server::script sendForever(const std::string &Head,
                                    const std::string &Bytes) {
  return [=](scripted_connection &Connection) {
    Connection.readRequest();
    bool IsOpen = Connection.send(Head);
    while (IsOpen)
      IsOpen = Connection.send(Bytes);
  };
}

/// The largest memory that bodies took while all calls ended, in bytes.
struct call_summary {
  size_t Peak = 0;
  int Lost = 0;
};

/// Calls the server six times at once.
call_summary callSixTimes(const scripted_server &Server) {
  event_loop Loop;
  Loop.bodyMemory().setLimit(MemoryLimit);
  http_client Client(Loop);
  call_summary Summary;
  int Ended = 0;
  for (int I = 0; I < 6; ++I) {
    call_options Options;
    Options.Timeout = CallTimeout;
    Client.send({"127.0.0.1", Server.port()}, {}, std::move(Options),
                [&](const call_result &Result) {
                  Summary.Lost +=
                      Result.Outcome == call_outcome::ConnectionLost;
                  if (++Ended == 6)
                    Loop.stop();
                });
  }
  timer Watch = Loop.every(std::chrono::milliseconds(1), [&] {
    Summary.Peak = std::max(Summary.Peak, Loop.bodyMemory().used());
  });
  Loop.run();
  CHECK(Loop.bodyMemory().used() == 0);
  return Summary;
}

/// Sends a request to the server of `Loop`, and returns the response.
std::string requestFrom(event_loop &Loop, uint16_t Port,
                        const std::string &Bytes) {
  std::string Response;
  std::thread Caller([&] {
    raw_connection Connection(Port);
    Connection.send(Bytes);
    Response = Connection.readUntil("\r\n\r\n");
    Loop.stop();
  });
  Loop.run();
  Caller.join();
  return Response;
}

} // namespace

// Guards against bodies without an end, several at once, that take a process
// over its memory limit: each with a limit of its own is no limit for all.
TEST_CASE("responses without an end take no more than the memory for bodies") {
  const std::string Bytes(size_t{64} << 10, '#');
  std::string Head = "HTTP/1.1 200 OK\r\n";
  std::string Body = Bytes;
  SUBCASE("neither length nor chunks") {}
  SUBCASE("chunks") {
    Head += "Transfer-Encoding: chunked\r\n";
    Body = "10000\r\n" + Bytes + "\r\n";
  }
  SUBCASE("a length beyond the memory") {
    Head += "Content-Length: 67000000\r\n";
  }
  scripted_server Server(sendForever(Head + "\r\n", Body));
  call_summary Summary = callSixTimes(Server);
  CHECK(Summary.Lost == 6);
  CHECK(Summary.Peak <= MemoryLimit);
}

// Guards against a small response of a sound server that finds no memory while
// other servers send bodies without an end.
TEST_CASE("a small response arrives while others have no end") {
  scripted_server Faulty(
      sendForever("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, '#')));
  scripted_server Sound([](scripted_connection &Connection) {
    while (!Connection.readRequest().empty())
      Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound");
  });
  event_loop Loop;
  Loop.bodyMemory().setLimit(MemoryLimit);
  http_client Client(Loop);
  int Completed = 0;
  std::function<void()> CallSound = [&] {
    Client.send({"127.0.0.1", Sound.port()}, {}, {},
                [&](const call_result &Result) {
                  CHECK(Result.Response.Body == "sound");
                  if (++Completed == 200)
                    return Loop.stop();
                  CallSound();
                });
  };
  std::function<void()> CallFaulty = [&] {
    Client.send({"127.0.0.1", Faulty.port()}, {}, {},
                [&](const call_result &) { Loop.post(CallFaulty); });
  };
  for (int I = 0; I < 6; ++I)
    CallFaulty();
  CallSound();
  Loop.run();
  CHECK(Completed == 200);
}

// Guards against requests of callers that take a process over its memory limit.
TEST_CASE("a request without room for its body is refused and never handled") {
  event_loop Loop;
  Loop.bodyMemory().setLimit(MemoryLimit);
  uint16_t Port = freePort();
  http_limits Limits;
  Limits.MaxBodyBytes = size_t{64} << 20;
  int Handled = 0;
  http_server Server(Loop, {"127.0.0.1", Port}, Limits,
                     [&](const exchange_pointer &Exchange) {
                       ++Handled;
                       Exchange->respond({});
                     });
  const std::string Start = "POST / HTTP/1.1\r\nHost: x\r\n";
  SUBCASE("larger than the memory for any body") {
    std::string Response =
        requestFrom(Loop, Port, Start + "Content-Length: 3000000\r\n\r\n");
    CHECK(Response.find("HTTP/1.1 413") == 0);
  }
  SUBCASE("larger than what is free") {
    memory_share Taken(Loop.bodyMemory());
    REQUIRE(Taken.resize(2'000'000));
    std::string Response =
        requestFrom(Loop, Port, Start + "Content-Length: 1500000\r\n\r\n");
    CHECK(Response.find("HTTP/1.1 503") == 0);
    CHECK(Response.find("Retry-After: ") != std::string::npos);
  }
  SUBCASE("chunks without an end") {
    std::string Bytes = Start + "Transfer-Encoding: chunked\r\n\r\n";
    for (int I = 0; I < 100; ++I)
      Bytes += "10000\r\n" + std::string(size_t{64} << 10, '#') + "\r\n";
    CHECK(requestFrom(Loop, Port, Bytes).find("HTTP/1.1 413") == 0);
  }
  CHECK(Handled == 0);
}

// Guards against the same between daemons, and against a request that is run
// with the part of its body that had arrived.
TEST_CASE("a request of a peer without room for its body is not processed") {
  event_loop Loop;
  Loop.bodyMemory().setLimit(MemoryLimit);
  endpoint Listen{"127.0.0.1", freePort()};
  int Handled = 0;
  peer_server Server(Loop, Listen, size_t{65} << 20,
                     [&](const exchange_pointer &Exchange) {
                       ++Handled;
                       Exchange->respond({});
                     });
  peer_client Client(Loop, size_t{65} << 20);
  http_request Request;
  Request.Method = "POST";
  Request.Body = std::string(5'000'000, 'x');
  call_result Result;
  Client.send(Listen, Request, CallTimeout, [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  CHECK(Result.Outcome == call_outcome::NotSent);
  CHECK(Handled == 0);
}

// Guards against responses that slow readers leave in the process without
// counting, and against a share that is not returned when the reader leaves.
TEST_CASE("a response that a peer does not read counts as memory in use") {
  constexpr size_t BodyBytes = 1'500'000;
  event_loop Loop;
  Loop.bodyMemory().setLimit(MemoryLimit);
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(
      Loop, Listen, size_t{65} << 20, [&](const exchange_pointer &Exchange) {
        memory_share Share(Loop.bodyMemory());
        REQUIRE(Share.resize(BodyBytes));
        Exchange->respond(
            {200, {}, {std::string(BodyBytes, 'x'), std::move(Share)}});
      });
  raw_connection Peer(Listen.Port);
  // The preface, empty settings, and a request without a body.
  Peer.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
            std::string("\0\0\0\4\0\0\0\0\0", 9) +
            std::string("\0\0\3\1\5\0\0\0\1\x83\x84\x86", 12));
  auto RunFor = [&](std::chrono::milliseconds Time) {
    timer End = Loop.after(Time, [&] { Loop.stop(); });
    Loop.run();
  };
  RunFor(std::chrono::milliseconds(300));
  CHECK(Loop.bodyMemory().used() == BodyBytes);
  Peer.close();
  RunFor(std::chrono::milliseconds(300));
  CHECK(Loop.bodyMemory().used() == 0);
}
