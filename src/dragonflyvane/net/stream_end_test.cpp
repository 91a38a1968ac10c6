// The ends of real connections, read before and after a write has failed.
#include "dragonflyvane/net/stream_end.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using tcp = boost::asio::ip::tcp;

namespace {

/// More than it takes on loopback until the end of a connection arrives.
constexpr std::chrono::milliseconds ArrivalTime{100};
const std::string Part = "part";

/// A connection to a server that has sent `Part`, has left bytes of the client
/// unread and has ended the connection as the script says.
class ended_connection {
public:
  explicit ended_connection(const scripted_server::script &End)
      : Server([this, End](scripted_connection &Connection) {
          Connection.readRequest();
          Connection.send(Part);
          while (!MayEnd)
            std::this_thread::yield();
          End(Connection);
        }) {
    Socket.connect({boost::asio::ip::address_v4::loopback(), Server.port()});
    write("GET / HTTP/1.1\r\n\r\n");
    Socket.wait(tcp::socket::wait_read);
    Socket.non_blocking(true);
    write("unread");
    MayEnd = true;
    while (Server.closedConnections() == 0)
      std::this_thread::yield();
    std::this_thread::sleep_for(ArrivalTime);
  }

  void write(const std::string &Bytes) {
    boost::system::error_code Error;
    Socket.write_some(boost::asio::buffer(Bytes), Error);
    if (!WriteError)
      WriteError = Error;
  }

  /// Reads to the end.
  void read() {
    std::array<char, 16> Bytes{};
    while (!ReadError)
      Size += Socket.read_some(boost::asio::buffer(Bytes), ReadError);
  }

  bool isOrderly() const { return isOrderlyEnd(ReadError, WriteError); }
  size_t size() const { return Size; }

private:
  std::atomic<bool> MayEnd{false};
  scripted_server Server;
  boost::asio::io_context Io;
  tcp::socket Socket{Io};
  boost::system::error_code ReadError;
  boost::system::error_code WriteError;
  size_t Size = 0;
};

void reset(const scripted_connection &Connection) { Connection.resetOnClose(); }
void closeWithUnreadBytes(const scripted_connection & /*Connection*/) {}
void endThenReset(const scripted_connection &Connection) {
  Connection.endSending();
}

/// What the owner of a connection does after its end.
enum class step { Read, Write };
using steps = std::vector<step>;

void run(ended_connection &Connection, const steps &Steps) {
  for (step Step : Steps)
    Step == step::Read ? Connection.read() : Connection.write("late");
}

const steps Orders[] = {{step::Read, step::Write},
                        {step::Write, step::Read},
                        {step::Write, step::Write, step::Read}};

} // namespace

// Guards against a reset that is taken for the end of a stream, because a write
// has got its error.
TEST_CASE("a reset is no orderly end, whichever direction learns of it first") {
  for (const auto &End : {reset, closeWithUnreadBytes})
    for (const steps &Steps : Orders) {
      CAPTURE(Steps.size());
      CAPTURE(static_cast<int>(Steps.front()));
      ended_connection Connection(End);
      run(Connection, Steps);
      CHECK(Connection.size() == Part.size());
      CHECK_FALSE(Connection.isOrderly());
    }
}

// Guards against a whole stream that is given up, because the other side has
// not read all that was sent to it.
TEST_CASE("an orderly end remains one when a reset follows it") {
  for (const steps &Steps : Orders) {
    CAPTURE(Steps.size());
    CAPTURE(static_cast<int>(Steps.front()));
    ended_connection Connection(endThenReset);
    run(Connection, Steps);
    CHECK(Connection.size() == Part.size());
    CHECK(Connection.isOrderly());
  }
}
