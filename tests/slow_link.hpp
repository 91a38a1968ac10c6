/// A TCP proxy that makes connections slow, to test what a process does with
/// bytes that are still on their way.
#ifndef DRAGONFLYVANE_TESTS_SLOW_LINK_HPP
#define DRAGONFLYVANE_TESTS_SLOW_LINK_HPP

#include "dragonflyvane/core/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace dragonflyvane {

/// How slow one direction of a connection is.
struct link_direction {
  std::chrono::milliseconds Delay{0};
  /// 0 means that the rate is not limited.
  size_t BytesPerSecond = 0;
};

/// Which connections share the rate of a link.
enum class link_sharing {
  /// Each connection has the whole rate.
  None,
  /// In each direction, the bytes of all connections wait in one queue, in the
  /// order in which they were sent, as at the network link of a host.
  AllConnections,
};

/// A proxy in front of an endpoint, on a thread of its own. The link holds any
/// number of bytes, so what a side sends leaves it at once and arrives late.
/// The end of a stream and a reset arrive after the bytes that precede them.
/// Only the opening of a connection takes no time: if the endpoint refuses it,
/// the caller's connection is reset at once.
class slow_link {
public:
  slow_link(const endpoint &Target, const link_direction &ToTarget,
            const link_direction &FromTarget,
            link_sharing Sharing = link_sharing::None);
  ~slow_link();
  slow_link(const slow_link &) = delete;
  slow_link &operator=(const slow_link &) = delete;

  /// The address at which the proxy accepts connections.
  endpoint localEndpoint() const;
  /// Puts the link in front of a further endpoint too. Returns the address at
  /// which the proxy accepts connections to it.
  endpoint addTarget(const endpoint &Target);
  /// The number of connections that were opened to the targets.
  int connectionCount() const;
  /// Whether a target refused a connection from this port of a caller, which
  /// a busy machine may reset late.
  bool hasRefused(uint16_t CallerPort) const;

private:
  class implementation;
  std::unique_ptr<implementation> Implementation;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_SLOW_LINK_HPP
