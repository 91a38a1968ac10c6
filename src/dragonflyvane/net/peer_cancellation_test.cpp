// Cancellations that arrive together with their requests.
#include "dragonflyvane/net/peer_transport.hpp"
#include "http2_frames.hpp"
#include "raw_connection.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

constexpr size_t MaxBodyBytes = size_t{1} << 20;
/// More than a peer connection reads at once.
constexpr size_t ManyBytes = size_t{150} << 10;
constexpr size_t MaxFramePayload = size_t{16} << 10;
/// A type that HTTP/2 does not define; such frames are ignored.
constexpr auto UnknownFrame = static_cast<frame_type>(0xfa);

std::string completeRequest(uint8_t Stream) {
  return encodeFrame(frame_type::Headers, EndHeadersFlag | EndStreamFlag,
                     Stream, EncodedPost);
}

std::string cancellation(uint8_t Stream) {
  return encodeFrame(frame_type::ResetStream, 0, Stream, CancelCode);
}

std::string otherFrames(size_t Size) {
  return repeat(
      encodeFrame(UnknownFrame, 0, 0, std::string(MaxFramePayload, 'x')), Size);
}

/// Sends frames to a peer server, whose loop runs only after they have arrived.
/// Returns the number of requests that were served within half a second.
int servedRequests(const std::string &Frames) {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  int Served = 0;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       ++Served;
                       Exchange->respond({200, {}, ""});
                     });
  raw_connection Peer(Listen);
  Peer.send(ClientPreface + encodeFrame(frame_type::Settings, 0, 0, "") +
            Frames);
  timer Limit =
      Loop.after(std::chrono::milliseconds(500), [&] { Loop.stop(); });
  Loop.run();
  return Served;
}

} // namespace

// Guards against requests that start although their callers have left: on a
// link that was full, a request and its cancellation arrive together.
TEST_CASE("a request that arrives together with its cancellation is not "
          "served") {
  for (size_t Between : {size_t{0}, ManyBytes}) {
    CAPTURE(Between);
    std::string Other = Between > 0 ? otherFrames(Between) : std::string();
    CHECK(servedRequests(completeRequest(1) + Other + cancellation(1)) == 0);
    CHECK(servedRequests(completeRequest(1) + completeRequest(3) + Other +
                         cancellation(1)) == 1);
  }
}

// Guards against requests that wait for an end of the bytes that does not come.
TEST_CASE("requests are served while more bytes keep arriving") {
  event_loop Loop;
  endpoint Listen{"127.0.0.1", freePort()};
  bool IsServed = false;
  peer_server Server(Loop, Listen, MaxBodyBytes,
                     [&](const exchange_pointer &Exchange) {
                       IsServed = true;
                       Exchange->respond({200, {}, ""});
                       Loop.stop();
                     });
  raw_connection Peer(Listen);
  Peer.send(ClientPreface + encodeFrame(frame_type::Settings, 0, 0, "") +
            completeRequest(1));
  std::string More = otherFrames(MaxFramePayload);
  timer Sender =
      Loop.every(std::chrono::milliseconds(1), [&] { Peer.send(More); });
  timer Limit = Loop.after(std::chrono::seconds(10), [&] { Loop.stop(); });
  Loop.run();
  CHECK(IsServed);
}
