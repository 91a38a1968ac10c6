// Responses of a server that does not read the whole request. The request is
// larger than the buffers of the sockets, so that it is still being written
// when the connection ends.
#include "dragonflyvane/net/http_client.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t UploadSize = size_t{8} << 20;
constexpr milliseconds CallTimeout{60'000};
/// More than it takes on loopback until bytes and ends of connections arrive.
constexpr milliseconds ArrivalTime{100};

const std::string HeadWithoutLength =
    "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\n";

/// Uploads to a server, and runs the loop until the call has ended.
class uploader {
public:
  explicit uploader(uint16_t Port) : Client(Loop) {
    http_request Request;
    Request.Method = "POST";
    Request.Body = std::string(UploadSize, 'x');
    call_options Options;
    Options.Timeout = CallTimeout;
    Client.send({"127.0.0.1", Port}, Request, Options, [&](call_result Ended) {
      Result = std::move(Ended);
      Loop.stop();
    });
  }

  call_result wait() {
    Loop.run();
    return std::move(Result);
  }

  /// Keeps the loop busy, once the server has responded to the beginning of the
  /// request, until the condition holds.
  template <typename Condition>
  void blockUntil(const std::atomic<bool> &HasBegun, const Condition &IsOver) {
    Block = Loop.every(milliseconds(1), [&] {
      if (!HasBegun)
        return;
      while (!IsOver())
        std::this_thread::yield();
      std::this_thread::sleep_for(ArrivalTime);
      Block.cancel();
    });
  }

private:
  event_loop Loop;
  http_client Client;
  call_result Result;
  timer Block;
};

call_result upload(const scripted_server &Server) {
  return uploader(Server.port()).wait();
}

enum class abrupt_end { Reset, CloseWithUnreadBytes };

/// Responds to the head of a request, and ends the connection after `Delay`
/// without reading the body.
scripted_server::script breakOff(const std::string &Part, abrupt_end End,
                                 milliseconds Delay) {
  return [=](scripted_connection &Connection) {
    Connection.readRequest();
    Connection.send(Part);
    std::this_thread::sleep_for(Delay);
    if (End == abrupt_end::Reset)
      Connection.resetOnClose();
  };
}

/// Parts of responses that would end with their connection.
const std::string PartsWithoutLength[] = {
    HeadWithoutLength + "part",
    "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\n\r\npart",
    "HTTP/1.0 200 OK\r\nX-Signature: s\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Signature: s\r\n\r\npart",
    "HTTP/1.1 100 Continue\r\n\r\n" + HeadWithoutLength + "part",
    HeadWithoutLength,
};

} // namespace

// Guards against a part of a response that callers get as a whole one: the
// error of a reset goes to the write of the request, and the next read sees an
// ordinary end of the stream.
TEST_CASE("a response without length is lost if its connection breaks off "
          "beside an upload") {
  constexpr int Rounds = 4;
  for (const std::string &Part : PartsWithoutLength)
    for (abrupt_end End : {abrupt_end::Reset, abrupt_end::CloseWithUnreadBytes})
      for (milliseconds Delay :
           {milliseconds(0), milliseconds(5), milliseconds(200)})
        for (int Round = 0; Round < Rounds; ++Round) {
          CAPTURE(Part);
          CAPTURE(static_cast<int>(End));
          CAPTURE(Delay.count());
          CAPTURE(Round);
          scripted_server Server(breakOff(Part, End, Delay));
          call_result Result = upload(Server);
          CHECK(Result.Outcome == call_outcome::ConnectionLost);
          CHECK(Result.Response.Body.empty());
        }
}

// Guards against the same when the loop finds the response, the reset and the
// room to write all at once.
TEST_CASE("a response without length is lost if the loop finds it together "
          "with the reset") {
  for (abrupt_end End : {abrupt_end::Reset, abrupt_end::CloseWithUnreadBytes}) {
    CAPTURE(static_cast<int>(End));
    std::atomic<bool> HasBegun{false};
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      HasBegun = true;
      std::this_thread::sleep_for(ArrivalTime);
      Connection.send(HeadWithoutLength + "part");
      if (End == abrupt_end::Reset)
        Connection.resetOnClose();
    });
    uploader Uploader(Server.port());
    Uploader.blockUntil(HasBegun,
                        [&] { return Server.closedConnections() > 0; });
    call_result Result = Uploader.wait();
    CHECK(Result.Outcome == call_outcome::ConnectionLost);
  }
}

// Guards against a request that counts as processed, or a response that counts
// as whole, when the server has reset the connection before the request.
TEST_CASE("a request that begins after the reset is not answered") {
  scripted_server Server([&](scripted_connection &Connection) {
    Connection.send(HeadWithoutLength + "part");
    Connection.resetOnClose();
  });
  uploader Uploader(Server.port());
  while (Server.closedConnections() == 0)
    std::this_thread::yield();
  CHECK(Uploader.wait().Outcome != call_outcome::Completed);
}

// Guards against a whole response that is given up because the server does not
// read the request to its end.
TEST_CASE("a response with a length is whole although its connection is reset "
          "beside an upload") {
  for (milliseconds Delay : {milliseconds(5), milliseconds(200)}) {
    CAPTURE(Delay.count());
    scripted_server Server(
        breakOff("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                 abrupt_end::Reset, Delay));
    call_result Result = upload(Server);
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Result.Response.Body == "whole");
  }
}

// Guards against the same for a response that ends with its stream: all its
// bytes have arrived before the end, whatever becomes of the request.
TEST_CASE("a response without length is whole after an orderly end beside an "
          "upload") {
  const std::string Whole = HeadWithoutLength + "whole";
  SUBCASE("the server reads the request to its end") {
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send(Whole);
      Connection.endSending();
      Connection.readRest();
    });
    call_result Result = upload(Server);
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Result.Response.Body == "whole");
  }
  SUBCASE("the server closes the connection later, which resets it") {
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      Connection.send(Whole);
      Connection.endSending();
      std::this_thread::sleep_for(ArrivalTime);
    });
    call_result Result = upload(Server);
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Result.Response.Body == "whole");
  }
  SUBCASE("the loop finds the orderly end together with the reset") {
    std::atomic<bool> HasBegun{false};
    scripted_server Server([&](scripted_connection &Connection) {
      Connection.readRequest();
      HasBegun = true;
      std::this_thread::sleep_for(ArrivalTime);
      Connection.send(Whole);
      Connection.endSending();
    });
    uploader Uploader(Server.port());
    Uploader.blockUntil(HasBegun,
                        [&] { return Server.closedConnections() > 0; });
    call_result Result = Uploader.wait();
    CHECK(Result.Outcome == call_outcome::Completed);
    CHECK(Result.Response.Body == "whole");
  }
}
