/// A blocking connection of a caller, whose steps end at a deadline.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_CALLER_CONNECTION_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_CALLER_CONNECTION_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/endpoint.hpp"

#include <string>
#include <string_view>

namespace dragonflyvane {

/// Its receive buffer is small, so that a slow reader holds up the sender.
class caller_connection {
public:
  /// Connects, or is not open afterwards.
  explicit caller_connection(const endpoint &Remote);
  ~caller_connection();
  caller_connection(const caller_connection &) = delete;
  caller_connection &operator=(const caller_connection &) = delete;

  bool isOpen() const { return Socket >= 0; }
  /// Hands all bytes to the socket. Returns false if the connection has closed
  /// or the deadline is reached.
  bool send(std::string_view Bytes, time_point Deadline) const;
  /// Waits for bytes or the end of the connection.
  bool awaitInput(time_point Deadline) const;
  /// Returns up to `Size` bytes; none if the connection has closed or the
  /// deadline is reached.
  std::string receive(size_t Size, time_point Deadline) const;

private:
  bool awaitEvent(short Event, time_point Deadline) const;

  boot_clock Clock;
  int Socket;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_CALLER_CONNECTION_HPP
