/// A TCP server for tests that send responses which no sound server sends: cut
/// off, repeated, late or unrelated.
#ifndef DRAGONFLYVANE_TESTS_SCRIPTED_SERVER_HPP
#define DRAGONFLYVANE_TESTS_SCRIPTED_SERVER_HPP

#include "dragonflyvane/core/endpoint.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dragonflyvane {

/// The server's end of a connection. Closed when the script returns.
class scripted_connection {
public:
  scripted_connection(int Socket, int Number)
      : Socket(Socket), Number(Number) {}

  /// The number of connections that were accepted before this one.
  int number() const { return Number; }
  /// Reads the head of the next request; empty once the client has closed the
  /// connection. Requests must have no body.
  std::string readRequest();
  /// Reads all that follows until the client closes the connection.
  std::string readRest();
  /// Returns whether all bytes were sent.
  bool send(std::string_view Bytes) const;
  /// Closes the connection for writing: the client sees an orderly end.
  void endSending() const;
  /// Lets the connection end with a reset instead of a close.
  void resetOnClose() const;

private:
  int Socket;
  int Number;
  std::string Buffer;
};

/// How much of what a client sends its connection holds while it is not read.
enum class connection_size {
  /// Some megabytes on loopback.
  Default,
  /// Some tens of kilobytes, as on a network with small segments.
  Small,
};

/// Accepts connections, by default on a free port of 127.0.0.1, and runs a
/// script for each, on a thread of its own.
class scripted_server {
public:
  using script = std::function<void(scripted_connection &)>;

  explicit scripted_server(script Script,
                           const endpoint &Listen = {"127.0.0.1", 0},
                           connection_size Size = connection_size::Default);
  /// Waits until all scripts have returned; the clients must have closed their
  /// connections.
  ~scripted_server();
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  uint16_t port() const { return Port; }
  /// The number of connections that were accepted.
  int connections() const { return Connections; }
  /// The number of connections that the server has closed.
  int closedConnections() const { return ClosedConnections; }

private:
  void accept();
  void serve(int Socket, int Number);

  script Script;
  int Listener;
  uint16_t Port = 0;
  std::atomic<int> Connections{0};
  std::atomic<int> ClosedConnections{0};
  std::vector<std::thread> Scripts;
  std::thread Acceptor;
};

/// Returns the value of a header field in the head of a request, by its name
/// without regard to case; empty if it does not have the field.
std::string fieldOf(const std::string &Head, const std::string &Name);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_SCRIPTED_SERVER_HPP
