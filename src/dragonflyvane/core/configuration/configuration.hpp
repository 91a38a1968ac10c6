/// The configuration that operators write, decoded and validated.
#ifndef DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP
#define DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP

#include "dragonflyvane/core/ownership/granted_keys.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflyvane {

/// A service, and its weight among the services of a route.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// Maps a host name and a path prefix to services.
struct route {
  std::string Name;
  /// The host name without a port.
  std::string Host;
  /// The path prefix; it begins and ends with a slash.
  std::string Prefix;
  std::vector<weighted_service> Services;
  /// Whether a request may be executed more than once.
  bool Idempotent = false;
  /// Whether requests without a caller key are accepted.
  bool AllowsAnonymous = false;
  /// The largest number of backend servers that a request may be sent to.
  uint32_t MaxAttempts = 1;
  /// The priority of the requests; 0 is the most urgent.
  int Priority = 0;
  /// The longest time that a caller waits for a response; 0 if the route sets
  /// no limit.
  std::chrono::milliseconds Timeout{0};
  /// The time within which a response is worth most to the caller; 0 if the
  /// route sets none.
  std::chrono::milliseconds SoftTimeout{0};
};

/// A service that backend servers provide.
struct service {
  /// Whether each key is owned by a single backend server.
  bool Keyed = false;
  /// How the backend servers of a keyed service are granted keys.
  grant_way GrantWay = grant_way::Heartbeat;
  /// The rate that a cold backend server can handle, in requests per second.
  double ColdRate = 0;
};

/// A tenant. Its rate and burst apply to all hosts together.
struct workspace {
  std::string Name;
  /// Requests per second; 0 for no limit.
  double Rate = 0;
  /// The number of requests that may exceed the rate at once.
  double Burst = 0;
  /// Replaces the priority of the route, unless negative.
  int Priority = -1;
};

/// Limits of size and time for the connections and requests of callers.
struct caller_limits {
  size_t MaxHeaderBytes = size_t{16} << 10;
  size_t MaxBodyBytes = size_t{8} << 20;
  /// The longest time for sending a header, and between two pieces of a body.
  std::chrono::milliseconds HeaderTimeout{5000};
  /// The longest time that a connection waits for its next request.
  std::chrono::milliseconds IdleTimeout{15000};
};

/// A complete configuration.
struct configuration {
  /// The version that the operators gave to the configuration.
  uint64_t Version = 0;
  /// Routes by host name, longest prefix first.
  std::unordered_map<std::string, std::vector<route>> Routes;
  /// Services by name.
  std::map<std::string, service> Services;
  /// Workspaces by name.
  std::map<std::string, workspace> Workspaces;
  /// Workspace names by caller key.
  std::unordered_map<std::string, std::string> CallerKeys;
  caller_limits Limits;

  /// Adds a route, and keeps the routes of its host name sorted.
  void add(route Route);
};

/// Returns the route of the host name whose prefix is the longest match for the
/// path of the target, or null. A port after the host name is ignored.
const route *findRoute(const configuration &Config, std::string_view Host,
                       std::string_view Target);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP
