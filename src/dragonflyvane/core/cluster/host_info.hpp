/// The description that each host publishes about itself in a row of the store.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP

#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <cstdint>
#include <string>

namespace dragonflyvane {

/// The availability of a host's backend server, as its daemon observes it.
enum class server_availability {
  /// No backend server has sent a heartbeat yet.
  None,
  /// The backend server accepts requests and key ranges.
  Ready,
  /// The backend server is shutting down gracefully; it must get no new
  /// requests or ranges.
  Leaving,
  /// The backend server has ended or has stopped responding.
  Down,
};

/// Returns `none`, `ready`, `leaving` or `down`.
std::string formatAvailability(server_availability Availability);

/// A host. Its row is written only when one of these members changes.
struct host_info {
  /// Where the daemon accepts connections of its peers.
  endpoint PeerEndpoint;
  std::string FailureDomain;
  std::string Service;
  server_availability Availability = server_availability::None;
  server_incarnation Incarnation;
  /// The number of requests that the backend server runs at the same time.
  uint32_t Slots = 0;
  /// The share of processor time that the daemon may use; 1 is a whole core.
  double CpuShare = 0;
  /// The version of the backend server; empty if it names none.
  std::string Version;

  bool operator==(const host_info &) const = default;
};

/// Encodes a host as JSON for its row.
std::string encodeHost(const host_info &Host);
/// Decodes the row of a host. Throws `step_error` if a field is missing, of
/// another type or out of range.
host_info decodeHost(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_HOST_INFO_HPP
