// Heads of messages between daemons that no sound peer sends.
#include "dragonflyvane/net/peer_transport.hpp"
#include "http2_frames.hpp"
#include "raw_connection.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

constexpr size_t MaxBodyBytes = size_t{1} << 20;
constexpr std::chrono::milliseconds CallTimeout{5000};
/// In one frame, these references make a head of 60 MB.
constexpr size_t References = 15'000;

call_result callPeer(uint16_t Port, const http_request &Request) {
  event_loop Loop;
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result;
  Client.send({"127.0.0.1", Port}, Request, CallTimeout,
              [&](call_result Ended) {
                Result = std::move(Ended);
                Loop.stop();
              });
  Loop.run();
  return Result;
}

/// A peer that responds with this encoded head, and with no body.
scripted_server::script respondWithHead(const std::string &Head) {
  return [Head](scripted_connection &Connection) {
    Connection.send(encodeFrame(frame_type::Settings, 0, 0, ""));
    Connection.readRequest();
    Connection.send(encodeFrame(frame_type::Headers,
                                EndHeadersFlag | EndStreamFlag, 1, Head));
    Connection.readRest();
  };
}

} // namespace

// Guards against a response whose small encoded head takes the memory of the
// process: a reference of one byte stands for a field of 4 KB.
TEST_CASE("a call to a peer ends when the head of its response is too large") {
  std::string Fields = repeat(EncodedReference, References);
  std::string Head;
  SUBCASE("in one frame") {
    Head = encodeFrame(frame_type::Headers, 0, 1,
                       EncodedOk + encodedEntry() + Fields.substr(0, 12'000));
  }
  SUBCASE("in several frames") {
    Head = encodeFrame(frame_type::Headers, 0, 1, EncodedOk + encodedEntry()) +
           encodeFrame(frame_type::Continuation, 0, 1, Fields);
  }
  scripted_server Server([&](scripted_connection &Connection) {
    Connection.send(encodeFrame(frame_type::Settings, 0, 0, ""));
    Connection.readRequest();
    Connection.send(Head);
    Connection.readRest();
  });
  call_result Result = callPeer(Server.port(), {});
  CHECK(Result.Outcome == call_outcome::ConnectionLost);
  // Not by a timeout, until when the memory would be taken.
  CHECK(Result.Error == "ENHANCE_YOUR_CALM");
}

// Guards against a response that is lost between daemons although the HTTP
// client has taken its head from the backend server.
TEST_CASE("a head of many short fields passes between daemons") {
  header_list Fields;
  for (int I = 0; I < 10'000; ++I)
    Fields.add("a", "b");
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       Exchange->respond({200, Fields, "sound"});
                     });
  peer_client Client(Loop, MaxBodyBytes);
  call_result Result;
  Client.send(Listen, {}, CallTimeout, [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  CHECK(Result.Outcome == call_outcome::Completed);
  CHECK(Result.Response.Headers.all().size() == 10'000);
}

// Guards against a field that is passed on although its name is none, or its
// value would begin another line.
TEST_CASE("a call to a peer ends when a field of its response is malformed") {
  struct field {
    std::string Name;
    std::string Value;
    bool IsWellFormed = false;
  };
  const field Fields[] = {
      {"x odd", "1"},
      {" x-odd", "1"},
      {"x-odd\t", "1"},
      {"x\x01odd", "1"},
      {"x\rodd", "1"},
      {"x-odd:", "1"},
      {"", "1"},
      {"x-odd", "1\r\nx-further: 2"},
      {"x-odd", "1\x01"},
      {"x-dragonflyvane-body-bytes ", "1"},
      {"x-odd", "1", true},
      {"x!#$%&'*+-.^_`|~9", "\t \xe4", true},
  };
  for (const field &Field : Fields) {
    CAPTURE(Field.Name);
    CAPTURE(Field.Value);
    scripted_server Server(
        respondWithHead(EncodedOk + encodedField(Field.Name, Field.Value)));
    call_result Result = callPeer(Server.port(), {});
    CHECK(Result.Outcome == (Field.IsWellFormed
                                 ? call_outcome::Completed
                                 : call_outcome::ConnectionLost));
    CHECK(Result.Response.Headers.all().size() == (Field.IsWellFormed ? 1 : 0));
  }
}
