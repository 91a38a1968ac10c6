/// A blocking TCP connection for tests that send malformed or partial messages.
#ifndef DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP
#define DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP

#include "dragonflyvane/core/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// A connection to an IPv4 endpoint.
class raw_connection {
public:
  /// Throws `std::runtime_error` if the connection fails.
  explicit raw_connection(const endpoint &Remote);
  /// Connects to a port of 127.0.0.1.
  explicit raw_connection(uint16_t Port)
      : raw_connection(endpoint{"127.0.0.1", Port}) {}
  ~raw_connection();
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  /// Sends all bytes, unless the other side closes the connection or sending
  /// fails.
  void send(std::string_view Bytes);
  /// Returns whether bytes or the end of the connection arrive in time.
  bool awaitInput(std::chrono::milliseconds Timeout) const;
  /// Waits for bytes; empty if the other side closes the connection or sends
  /// nothing for 20 s.
  std::string readSome();
  /// Reads until the other side closes the connection or sends nothing for
  /// 20 s.
  std::string readAll();
  /// Reads until the bytes contain `End`, or the other side closes the
  /// connection or sends nothing for 20 s.
  std::string readUntil(std::string_view End);
  /// Closes the connection for writing.
  void endSending() const;
  /// Whether sending or reading ended with a reset. The kernel reports it once,
  /// so that reading after a send that failed so sees an ordinary end.
  bool wasReset() const { return Reset; }
  uint16_t localPort() const;
  void close();

private:
  int Socket;
  bool Reset = false;
};

/// Returns nothing if the connection fails.
std::unique_ptr<raw_connection> tryConnect(const endpoint &Remote);

/// Returns a port of 127.0.0.1 that is free at present.
uint16_t freePort();

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP
