// Responses whose heads have lines that are no header fields.
#include "dragonflyvane/net/http_client.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

using namespace dragonflyvane;
using namespace std::string_literals;

namespace {

const std::string StatusLine = "HTTP/1.1 200 OK\r\n";
const std::string Length = "Content-Length: 2\r\n";
const std::string Sound = StatusLine + Length + "\r\nok";

/// What the server does after its response.
enum class after_response { KeepsConnection, EndsStream };

/// Sends a request, to which the server responds with `Response`.
call_result callFor(const std::string &Response,
                    after_response After = after_response::KeepsConnection) {
  scripted_server Server([&](scripted_connection &Connection) {
    Connection.readRequest();
    Connection.send(Response);
    if (After == after_response::EndsStream)
      Connection.endSending();
    Connection.readRest();
  });
  event_loop Loop;
  http_client Client(Loop);
  call_options Options;
  Options.Timeout = std::chrono::seconds(20);
  call_result Result;
  Client.send({"127.0.0.1", Server.port()}, {}, Options,
              [&](call_result Ended) {
                Result = std::move(Ended);
                Loop.stop();
              });
  Loop.run();
  return Result;
}

/// Checks that the response that consists of these parts is none.
void checkLost(std::initializer_list<std::string_view> Parts,
               after_response After = after_response::KeepsConnection) {
  std::string Response;
  for (std::string_view Part : Parts)
    Response.append(Part);
  CAPTURE(Response);
  call_result Result = callFor(Response, After);
  CHECK(Result.Outcome == call_outcome::ConnectionLost);
  CHECK(Result.Response.Headers.all().empty());
  CHECK(Result.Response.Body.empty());
}

/// Lines whose part before the colon is no field name (RFC 9112, 5.1).
const std::string OddLines[] = {
    "X Odd: 1\r\n"s,
    "X\tOdd: 1\r\n"s,
    "X\x01Odd: 1\r\n"s,
    "X\x0bOdd: 1\r\n"s,
    "X\0Odd: 1\r\n"s,
    "X\rOdd: 1\r\n"s,
    "X\x7fOdd: 1\r\n"s,
    "X\xe4Odd: 1\r\n"s,
    "X(Odd: 1\r\n"s,
    ": 1\r\n"s,
    "X-Odd : 1\r\n"s,
    "X-Odd\t: 1\r\n"s,
    "X-Odd\x01: 1\r\n"s,
    "X-Odd\r\n"s,
    "Content-Length : 2\r\n"s,
    "Content-Length\x01: 2\r\n"s,
    "Transfer-Encoding : chunked\r\n"s,
    "Transfer-Encoding\x01: chunked\r\n"s,
};

} // namespace

// Guards against a line that is passed on with a name that is none, and against
// a body that is not the server's, because the line would have told where it
// ends.
TEST_CASE("a response with a malformed field name is no response") {
  CHECK(callFor(Sound).Outcome == call_outcome::Completed);
  for (const std::string &Line : OddLines) {
    checkLost({StatusLine, Line, Length, "\r\nok"});
    checkLost({StatusLine, Length, Line, "\r\nok"});
  }
}

// Guards against the same in the head of an interim response, which is skipped.
TEST_CASE("a malformed field name in an interim response ends the call") {
  for (const std::string &Line : OddLines)
    checkLost({"HTTP/1.1 103 Early Hints\r\n", Line, "\r\n", Sound});
}

// Guards against the same after the body.
TEST_CASE("a malformed field name in a trailer ends the call") {
  const std::string Chunked =
      StatusLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  for (const std::string &Line : OddLines)
    checkLost({Chunked, Line, "\r\n"});
}

// Guards against a line that would continue the status line.
TEST_CASE("a blank before the first field ends the call") {
  for (const char *Blank : {" ", "\t"})
    checkLost({StatusLine, Blank, "X-Odd: 1\r\n", Length, "\r\nok"});
}

// Guards against a status that does not exist, which would be skipped like that
// of an interim response.
TEST_CASE("a status that does not exist after an interim response ends the "
          "call") {
  for (const char *Status : {"000", "099", "600", "20", "2000"})
    checkLost({"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 ", Status, " Odd\r\n",
               Length, "\r\nok"});
}

// Guards against a change of protocol that nobody asked for: what follows is no
// response in HTTP.
TEST_CASE("a response that switches protocols ends the call") {
  checkLost({"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", Sound});
  checkLost({"HTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 101 Switching Protocols\r\n\r\n", Sound});
}

// Guards against a body that is passed on as the server's, although it is still
// in a coding that this client does not know.
TEST_CASE("a response in an unknown transfer coding ends the call") {
  const std::string Chunk = "\r\n2\r\nok\r\n0\r\n\r\n";
  for (const char *Coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "x",
        "identity", "", "gzip\r\nTransfer-Encoding: chunked",
        "chunked\r\nTransfer-Encoding: gzip"})
    checkLost({StatusLine, "Transfer-Encoding: ", Coding, "\r\n", Chunk},
              after_response::EndsStream);
  for (const char *Coding : {"chunked", "Chunked"}) {
    CAPTURE(Coding);
    std::string Response = StatusLine + "Transfer-Encoding: ";
    Response.append(Coding).append("\r\n").append(Chunk);
    CHECK(callFor(Response).Response.Body == "ok");
  }
}

// Guards against a line that is passed on as a part of the value before it. It
// may as well be a field whose name begins with a blank.
TEST_CASE("a line of a head that begins with a blank ends the call") {
  for (const char *Blank : {" ", "\t", "  \t"}) {
    checkLost({StatusLine, Length, "A: b\r\n", Blank, "X-B: c\r\n\r\nok"});
    checkLost({StatusLine, Length, "A:\r\n", Blank, "c\r\n\r\nok"});
    checkLost({"HTTP/1.1 103 Early Hints\r\nA: b\r\n", Blank, "X-B: c\r\n\r\n",
               Sound});
  }
  CHECK(callFor(StatusLine + Length + "\r\n o").Response.Body == " o");
}

// Guards against a field after the body that is taken for one of the head, such
// as one that says whose response it is, or that the request was not run.
TEST_CASE("fields of a trailer are no header fields") {
  for (const char *Trailer : {"X-Late: 1\r\n", "A: b\r\n X-Late: 1\r\n"}) {
    CAPTURE(Trailer);
    std::string Response = StatusLine;
    Response.append("Transfer-Encoding: chunked\r\nX-Early: 1\r\n")
        .append("\r\n2\r\nok\r\n0\r\n")
        .append(Trailer)
        .append("\r\n");
    call_result Result = callFor(Response);
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Result.Response.Body == "ok");
    CHECK(Result.Response.Headers.find("X-Early") == "1");
    CHECK(Result.Response.Headers.all().size() == 2);
  }
}
