#include "dragonflyvane/net/peer_transport.hpp"

#include "raw_connection.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using namespace std::string_literals;
using std::chrono::milliseconds;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
/// 1 Mbit/s, in bytes per second: 60 kB take 480 ms.
constexpr size_t SlowLinkRate = 125'000;
constexpr size_t UploadBytes = 60'000;
constexpr milliseconds CallTimeout{20'000};

/// The frame of a request `POST / http` without a body, with further encoded
/// fields.
std::string makeRequestFrame(uint16_t Stream, const std::string &Fields) {
  constexpr char HeadersFrame = 1;
  constexpr char EndOfStreamAndHeaders = 5;
  std::string Payload = "\x83\x84\x86" + Fields;
  return "\0\0"s + static_cast<char>(Payload.size()) + HeadersFrame +
         EndOfStreamAndHeaders + "\0\0"s + static_cast<char>(Stream >> 8) +
         static_cast<char>(Stream & 0xff) + Payload;
}

/// A peer server behind a link, and a client that calls it. The targets of the
/// requests tell them apart.
struct measured_peers {
  measured_peers(const link_direction &ToServer, const link_direction &ToClient)
      : Link(Listen, ToServer, ToClient) {}

  void serve(const exchange_pointer &Exchange) {
    const http_request &Request = Exchange->request();
    RequestDelays[Request.Target] = Exchange->transitDelay();
    RequestFields[Request.Target] = Request.Headers.all().size();
    http_response Response;
    if (Request.Target == "/download")
      Response.Body = std::string(UploadBytes, 'x');
    Exchange->respond(std::move(Response));
  }

  void call(const std::string &Target, size_t Bytes = 0) {
    http_request Request;
    Request.Method = "POST";
    Request.Target = Target;
    Request.Headers.add("X-Some", "1");
    Request.Body = std::string(Bytes, 'x');
    ++OpenCalls;
    Client.send(Link.localEndpoint(), std::move(Request), CallTimeout,
                [this, Target](const call_result &Result) {
                  CHECK(Result.Outcome == call_outcome::Completed);
                  CHECK(Result.Response.Headers.all().empty());
                  ResponseDelays[Target] = Result.TransitDelay;
                  if (--OpenCalls == 0)
                    Loop.stop();
                });
  }

  void callAndWait(const std::string &Target, size_t Bytes = 0) {
    call(Target, Bytes);
    Loop.run();
  }

  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  std::map<std::string, duration> RequestDelays;
  std::map<std::string, size_t> RequestFields;
  std::map<std::string, duration> ResponseDelays;
  int OpenCalls = 0;
  peer_server Server{Loop, Listen, MaxBodyBytes,
                     [this](const exchange_pointer &E) { serve(E); }};
  slow_link Link;
  peer_client Client{Loop, MaxBodyBytes};
};

} // namespace

// Guards against a request that waits behind others on its way and is then
// treated as fresh.
TEST_CASE("a peer server knows how long a request waited on a full link") {
  measured_peers Peers({milliseconds(30), SlowLinkRate}, {});
  Peers.callAndWait("/first");
  Peers.call("/upload", UploadBytes);
  timer Later =
      Peers.Loop.after(milliseconds(50), [&] { Peers.call("/small"); });
  Peers.Loop.run();
  CHECK(Peers.RequestDelays.at("/first") == duration{0});
  CHECK(Peers.RequestDelays.at("/upload") >= milliseconds(400));
  CHECK(Peers.RequestDelays.at("/upload") <= milliseconds(1'500));
  CHECK(Peers.RequestDelays.at("/small") >= milliseconds(300));
  CHECK(Peers.RequestDelays.at("/small") <= milliseconds(1'500));
  // Nothing is in the way of the responses.
  CHECK(Peers.ResponseDelays.at("/small") < milliseconds(250));
}

TEST_CASE("a peer client knows how long a response was on its way") {
  measured_peers Peers({}, {{}, SlowLinkRate});
  Peers.callAndWait("/first");
  Peers.call("/download");
  timer Later =
      Peers.Loop.after(milliseconds(50), [&] { Peers.call("/small"); });
  Peers.Loop.run();
  CHECK(Peers.ResponseDelays.at("/download") >= milliseconds(400));
  CHECK(Peers.ResponseDelays.at("/small") >= milliseconds(300));
  CHECK(Peers.RequestDelays.at("/small") < milliseconds(250));
}

// Guards against a first upload on a connection that counts as prompt because
// there is nothing to compare it with.
TEST_CASE("the body of the first request on a connection counts") {
  measured_peers Peers({{}, SlowLinkRate}, {});
  Peers.callAndWait("/upload", UploadBytes);
  CHECK(Peers.RequestDelays.at("/upload") >= milliseconds(400));
}

// Guards against a request that waits for its connection to be opened, as
// behind a full link, and is then treated as fresh.
TEST_CASE("the time that a request waited for its connection counts") {
  measured_peers Peers({}, {});
  Peers.call("/first");
  // The connection is open at once, but the client cannot notice it.
  Peers.Loop.post([] { std::this_thread::sleep_for(milliseconds(300)); });
  Peers.Loop.run();
  CHECK(Peers.RequestDelays.at("/first") >= milliseconds(250));
  CHECK(Peers.RequestDelays.at("/first") <= milliseconds(1'500));
  Peers.callAndWait("/second");
  CHECK(Peers.RequestDelays.at("/second") < milliseconds(250));
}

TEST_CASE("the send time of a message does not reach handlers and callers") {
  measured_peers Peers({}, {});
  Peers.callAndWait("/first");
  CHECK(Peers.RequestFields.at("/first") == 1);
}

// Guards against daemons of earlier versions, and faulty ones, whose requests
// fail or count as late.
TEST_CASE("requests without a valid send time are served and have no delay") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  std::vector<duration> Delays;
  std::vector<size_t> FieldCounts;
  std::vector<std::string> Values = {
      "",   "soon", "-7",    "12x", "1e9",    " 5", "99999999999999999999",
      "7,", "7,-1", "7,1,1", ",5",  "7,20000"};
  peer_server Server(
      Loop, Listen, MaxBodyBytes, [&](const exchange_pointer &Exchange) {
        Delays.push_back(Exchange->transitDelay());
        FieldCounts.push_back(Exchange->request().Headers.all().size());
        Exchange->respond({});
        if (Delays.size() == Values.size() + 1)
          Loop.stop();
      });
  raw_connection Peer(Listen.Port);
  const std::string EmptySettings = "\0\0\0\4\0\0\0\0\0"s;
  Peer.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + EmptySettings);
  const std::string Field = "x-dragonflyvane-sent-at";
  uint16_t Stream = 1;
  Peer.send(makeRequestFrame(Stream, ""));
  for (const std::string &Value : Values) {
    Stream += 2;
    std::string Literal(1, '\0');
    Literal.push_back(static_cast<char>(Field.size()));
    Literal.append(Field).push_back(static_cast<char>(Value.size()));
    Peer.send(makeRequestFrame(Stream, Literal.append(Value)));
  }
  timer Limit = Loop.after(std::chrono::seconds(10), [&] { Loop.stop(); });
  Loop.run();
  REQUIRE(Delays.size() == Values.size() + 1);
  for (duration Delay : Delays)
    CHECK(Delay == duration{0});
  for (size_t Count : FieldCounts)
    CHECK(Count == 0);
}
