/// The operators' configuration, decoded and checked.
#ifndef DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP
#define DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflyvane {

/// A service and its share of a route's requests.
struct weighted_service {
  std::string Service;
  double Weight = 1;
};

/// A host name and path prefix, and where their requests go.
struct route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string Prefix;
  std::vector<weighted_service> Services;
  /// Whether a request may run more than once.
  bool Idempotent = false;
  /// Needs no caller key.
  bool AllowsAnonymous = false;
  /// How many backend servers one request may be sent to.
  uint32_t MaxAttempts = 1;
  /// 0 is the most urgent.
  int Priority = 0;
  /// The longest time a caller is kept waiting.
  std::chrono::milliseconds Timeout{0};
  /// The time within which an answer is worth most to the caller.
  std::chrono::milliseconds SoftTimeout{0};
};

/// A service that backend servers announce themselves for.
struct service {
  /// Whether each key has one owner.
  bool Keyed = false;
  /// Requests a second that a cold backend server bears.
  double ColdRate = 0;
};

/// A tenant with a rate and a burst over all hosts.
struct workspace {
  std::string Name;
  /// Requests a second; 0 for no limit.
  double Rate = 0;
  /// Requests.
  double Burst = 0;
  /// Takes precedence over the route's, unless negative.
  int Priority = -1;
};

/// What callers may send.
struct caller_limits {
  size_t MaxHeaderBytes = size_t{16} << 10;
  size_t MaxBodyBytes = size_t{8} << 20;
  std::chrono::milliseconds HeaderTimeout{5000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// A whole configuration.
struct configuration {
  uint64_t Version = 0;
  /// Routes of each host name, longest prefix first.
  std::unordered_map<std::string, std::vector<route>> Routes;
  std::map<std::string, service> Services;
  std::map<std::string, workspace> Workspaces;
  /// Workspace by caller key.
  std::unordered_map<std::string, std::string> CallerKeys;
  caller_limits Limits;

  void add(route Route);
};

/// The route of the host name with the longest prefix that begins the path, or
/// null. A port in the host name is ignored.
const route *findRoute(const configuration &Config, std::string_view Host,
                       std::string_view Target);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONFIGURATION_CONFIGURATION_HPP
