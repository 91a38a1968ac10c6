/// What a host tells others about itself, kept as a row of the store.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP

#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <cstdint>
#include <string>

namespace dragonflyvane {

/// What is known of a host's backend server.
enum class server_availability {
  /// None has announced itself.
  None,
  Ready,
  /// It leaves; it is to get nothing new.
  Leaving,
  /// It has ended, or does not answer.
  Down,
};

/// `none`, `ready`, `leaving` or `down`.
std::string formatAvailability(server_availability Availability);

/// One host. Its row changes only when something here does.
struct host_info {
  /// `IP:PORT` for peer streams.
  std::string PeerAddress;
  std::string FailureDomain;
  std::string Service;
  server_availability Availability = server_availability::None;
  server_incarnation Incarnation;
  uint32_t Slots = 0;
  /// The part of a processor core that the daemon may use; 1 is a whole core.
  double CpuShare = 0;

  bool operator==(const host_info &) const = default;
};

std::string encodeHost(const host_info &Host);
/// Throws `step_error` if the text is no host.
host_info decodeHost(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP
