/// Endpoints of processes: an IP address and a TCP port.
#ifndef DRAGONFLYVANE_CORE_ENDPOINT_HPP
#define DRAGONFLYVANE_CORE_ENDPOINT_HPP

#include <compare>
#include <cstdint>
#include <string>

namespace dragonflyvane {

/// An IP address and a TCP port.
struct endpoint {
  /// In numeric form, such as `127.0.0.1`.
  std::string Address;
  uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;
};

/// Formats an endpoint as `IP:PORT`.
std::string toString(const endpoint &Endpoint);

/// Parses `IP:PORT` with an IPv4 address and a port from 1 to 65535. Throws
/// `step_error` if the text is malformed.
endpoint parseEndpoint(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ENDPOINT_HPP
