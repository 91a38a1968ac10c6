/// A blocking TCP connection for tests that send bytes a client never would.
#ifndef DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP
#define DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// Connects to a port of 127.0.0.1.
class raw_connection {
public:
  explicit raw_connection(uint16_t Port);
  ~raw_connection();
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  void send(std::string_view Bytes) const;
  /// Reads until the other side closes.
  std::string readAll() const;
  /// Reads until a text has come, or the other side closes.
  std::string readUntil(std::string_view End) const;
  void close();

private:
  int Socket;
};

/// A port of 127.0.0.1 that nothing listens on now.
uint16_t freePort();

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_RAW_CONNECTION_HPP
