#include "dragonflyvane/net/http_client.hpp"

#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace dragonflyvane;

namespace {

/// Sends one request, and runs the loop until the call has ended.
call_result callAndWait(event_loop &Loop, http_client &Client, uint16_t Port,
                        const char *Method = "GET", std::string Body = "") {
  http_request Request;
  Request.Method = Method;
  Request.Target = "/orders/1";
  Request.Body = std::move(Body);
  call_options Options;
  Options.Timeout = std::chrono::seconds(60);
  call_result Result;
  Client.send({"127.0.0.1", Port}, Request, Options, [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  return Result;
}

const std::string WholeResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Responds to the requests on a connection but the last, then sends `Cut` and
/// ends the connection.
scripted_server::script endAfter(const std::string &Cut, int RequestsBefore,
                                 bool WithReset) {
  return [=](scripted_connection &Connection) {
    for (int I = 0; I < RequestsBefore; ++I) {
      Connection.readRequest();
      Connection.send(WholeResponse);
    }
    Connection.readRequest();
    Connection.send(Cut);
    if (WithReset)
      Connection.resetOnClose();
  };
}

call_result callCutOff(const std::string &Cut, int RequestsBefore,
                       bool WithReset, const char *Method = "GET") {
  scripted_server Server(endAfter(Cut, RequestsBefore, WithReset));
  event_loop Loop;
  http_client Client(Loop);
  for (int I = 0; I < RequestsBefore; ++I)
    CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "ok");
  return callAndWait(Loop, Client, Server.port(), Method);
}

} // namespace

// Guards against a response that ends early, framed as a whole one with an
// empty or short body: after each byte of the head and of the body, with a
// close and with a reset, on a new connection and on one in use again.
TEST_CASE("a response that is cut off is not whole") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\n\r\n"
      "4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n";
  const std::string WithLength =
      "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 15\r\n\r\n"
      "whole, 15 bytes";
  for (const std::string &Whole : {Chunked, WithLength})
    for (size_t Size = 0; Size < Whole.size(); ++Size)
      for (int RequestsBefore : {0, 1})
        for (bool WithReset : {false, true}) {
          std::string Cut = Whole.substr(0, Size);
          CAPTURE(Cut);
          CAPTURE(RequestsBefore);
          CAPTURE(WithReset);
          call_result Result = callCutOff(Cut, RequestsBefore, WithReset);
          CHECK(Result.Outcome == call_outcome::ConnectionLost);
          CHECK(Result.Response.Body.empty());
        }
}

// Guards against the same for a response that ends with its connection: its
// body may be short by design, but its head must be whole.
TEST_CASE("a response without length is whole only after its head, and if its "
          "connection was closed") {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n";
  for (size_t Size = 0; Size < Head.size(); ++Size) {
    CAPTURE(Size);
    CHECK(callCutOff(Head.substr(0, Size), 0, false).Outcome ==
          call_outcome::ConnectionLost);
  }
  std::string Whole = Head;
  Whole.append("body");
  call_result Closed = callCutOff(Whole, 0, false);
  CHECK(Closed.Outcome == call_outcome::Completed);
  CHECK(Closed.Response.Body == "body");
  CHECK(callCutOff(Whole, 0, true).Outcome == call_outcome::ConnectionLost);
}

TEST_CASE("a response to HEAD is whole after its head") {
  std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n";
  CHECK(callCutOff(Head, 0, false, "HEAD").Outcome == call_outcome::Completed);
  Head.pop_back();
  CHECK(callCutOff(Head, 0, false, "HEAD").Outcome ==
        call_outcome::ConnectionLost);
}

// Guards against another request where the rest of a long body is due: a server
// that responds before it has read the body reads on later (review, case 3).
TEST_CASE(
    "a connection whose request is still being written is not used again") {
  constexpr size_t BodySize = size_t{16} << 20;
  std::atomic<size_t> Foreign{0};
  {
    scripted_server Server([&](scripted_connection &Connection) {
      while (!Connection.readRequest().empty()) {
        Connection.send(WholeResponse);
        if (Connection.number() > 0)
          continue;
        for (char Byte : Connection.readRest())
          Foreign += Byte != 'x';
      }
    });
    event_loop Loop;
    http_client Client(Loop);
    CHECK(callAndWait(Loop, Client, Server.port(), "POST",
                      std::string(BodySize, 'x'))
              .Response.Body == "ok");
    for (int I = 0; I < 3; ++I)
      CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "ok");
  }
  CHECK(Foreign == 0);
}

// Guards against a process that ends for want of memory because a server sends
// a line without an end: in the head, in the size of a chunk, in a trailer.
TEST_CASE("a response with a line without an end is given up") {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Begin :
       {std::string("HTTP/1.1 200 OK\r\nX: "), Chunked,
        Chunked + "5;x=", Chunked + "4\r\nwhol", Chunked + "0\r\nX: "}) {
    CAPTURE(Begin);
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send(Begin);
      const std::string Endless(size_t{64} << 10, '#');
      while (Connection.send(Endless))
        ;
    });
    event_loop Loop;
    http_client Client(Loop);
    CHECK(callAndWait(Loop, Client, Server.port()).Outcome ==
          call_outcome::ConnectionLost);
  }
}

// Guards against a process that is busy with interim responses until the call's
// timeout, because a server sends them without an end.
TEST_CASE("a call with interim responses without an end is given up") {
  scripted_server Server([&](scripted_connection &Connection) {
    Connection.readRequest();
    while (Connection.send("HTTP/1.1 100 Continue\r\n\r\n"))
      ;
  });
  event_loop Loop;
  http_client Client(Loop);
  CHECK(callAndWait(Loop, Client, Server.port()).Outcome ==
        call_outcome::ConnectionLost);
}

// Guards against an interim response that counts as the final one.
TEST_CASE("a connection that ends after an interim response is lost") {
  CHECK(callCutOff("HTTP/1.1 100 Continue\r\n\r\n", 0, false).Outcome ==
        call_outcome::ConnectionLost);
}

namespace {

/// Responds to each request with the number of its connection, and with the
/// fields of `Headers`.
scripted_server::script respondWithNumber(const std::string &Headers) {
  return [=](scripted_connection &Connection) {
    std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
    Head.append(Headers).append("\r\n");
    std::string Body = std::to_string(Connection.number());
    while (!Connection.readRequest().empty())
      Connection.send(Head + Body);
  };
}

} // namespace

// Guards against a request that is lost though it need not be: a server closes
// an idle connection while the event loop is busy, and the request is sent on
// it before the loop has noticed. An unsafe request must not be
// sent again after that.
TEST_CASE("a request is not sent on a connection that the server has closed") {
  for (bool WithReset : {false, true}) {
    CAPTURE(WithReset);
    std::atomic<bool> MayClose{false};
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send(WholeResponse);
      if (Connection.number() > 0) {
        Connection.readRest();
        return;
      }
      while (!MayClose)
        std::this_thread::yield();
      if (WithReset)
        Connection.resetOnClose();
    });
    event_loop Loop;
    http_client Client(Loop);
    CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "ok");
    // The loop does not run, so that it cannot notice the close.
    MayClose = true;
    while (Server.closedConnections() == 0)
      std::this_thread::yield();
    call_result Result = callAndWait(Loop, Client, Server.port(), "POST");
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Server.connections() == 2);
  }
}

// Guards against the same for bytes outside a response, which would be taken
// for the response to the next request.
TEST_CASE("a connection on which bytes wait after a response is not used "
          "again") {
  std::atomic<bool> HasSent{false};
  scripted_server Server([&](scripted_connection &Connection) {
    Connection.readRequest();
    Connection.send(WholeResponse);
    if (Connection.number() == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
      HasSent = true;
    }
    Connection.readRest();
  });
  event_loop Loop;
  http_client Client(Loop);
  CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "ok");
  while (!HasSent)
    std::this_thread::yield();
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "ok");
}

// Guards against a request that crosses the close of its connection, because
// the server keeps idle connections for a shorter time than the client assumes.
TEST_CASE("an idle connection is used no longer than the server says") {
  struct example {
    const char *Headers;
    std::chrono::milliseconds Pause;
    bool IsReused;
  };
  const example Examples[] = {
      {"Keep-Alive: timeout=3\r\n", std::chrono::milliseconds(0), true},
      {"Keep-Alive: timeout=1\r\n", std::chrono::milliseconds(700), false},
      {"keep-alive: max=9, Timeout=1\r\n", std::chrono::milliseconds(700),
       false},
      {"Keep-Alive: timeout=0\r\n", std::chrono::milliseconds(0), false},
      {"Keep-Alive: timeout=4\r\n", std::chrono::milliseconds(700), true},
      {"Keep-Alive: timeout=x\r\n", std::chrono::milliseconds(700), true},
      {"", std::chrono::milliseconds(700), true},
  };
  for (const example &Example : Examples) {
    CAPTURE(Example.Headers);
    CAPTURE(Example.Pause.count());
    scripted_server Server(respondWithNumber(Example.Headers));
    event_loop Loop;
    http_client Client(Loop);
    CHECK(callAndWait(Loop, Client, Server.port()).Response.Body == "0");
    std::this_thread::sleep_for(Example.Pause);
    call_result Next = callAndWait(Loop, Client, Server.port());
    CHECK(Next.Response.Body.text() == (Example.IsReused ? "0" : "1"));
  }
}

// Guards against an answer with a status that HTTP does not have, which callers
// would take for a response, or which would be skipped so that the next
// response is taken for that of the request.
TEST_CASE("a response with a status that does not exist is no response") {
  for (const char *Status : {"000", "001", "099", "600", "999"}) {
    CAPTURE(Status);
    std::string Odd = "HTTP/1.1 " + std::string(Status) +
                      " Odd\r\nContent-Length: 2\r\n\r\nno";
    for (const std::string &After : {std::string(), WholeResponse}) {
      call_result Result = callCutOff(Odd + After, 1, false);
      CHECK(Result.Outcome == call_outcome::ConnectionLost);
      CHECK(Result.Error ==
            "invalid response: status " + std::to_string(std::stoi(Status)));
    }
  }
  for (const char *Status : {"200", "599"})
    CHECK(callCutOff("HTTP/1.1 " + std::string(Status) +
                         " Sound\r\nContent-Length: 2\r\n\r\nok",
                     0, false)
              .Outcome == call_outcome::Completed);
}
