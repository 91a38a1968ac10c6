/// Settings of a daemon.
#ifndef DRAGONFLYVANE_NODE_SETTINGS_HPP
#define DRAGONFLYVANE_NODE_SETTINGS_HPP

#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/core/configuration/feature_switch.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/rollout/rollout_bounds.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The settings of one daemon; they do not change while it runs.
struct settings {
  /// Name of this host, unique in the cluster.
  std::string Host;
  /// Failure domain of this host.
  std::string FailureDomain;
  /// Names of all failure domains of the cluster.
  std::vector<std::string> FailureDomains;
  /// CPU time that the daemon may use, in processor cores; 1 is a whole core.
  double CpuShare = 1;
  /// Bandwidth of the host's network link, in bytes per second.
  double LinkRate = 125'000'000;
  /// Memory that the daemon may use, in bytes; more ends its process.
  size_t MemoryLimit = size_t{260} << 20;
  /// Service of the local backend server.
  std::string LocalService;
  /// Where the local backend server accepts requests, if the platform says so.
  std::optional<endpoint> ServerEndpoint;
  /// Listen address for requests of callers and of the local backend server.
  endpoint CallerEndpoint;
  /// Listen address for requests of other daemons.
  endpoint PeerEndpoint;
  /// Where other daemons reach this one, if not at its listen address.
  std::optional<endpoint> AdvertisedPeerEndpoint;
  /// Listen address for operators and metric scrapers.
  endpoint AdminEndpoint;
  /// Listen address for heartbeats of the local backend server.
  endpoint ControlEndpoint;
  /// Listen address for the platform's checks whether the daemon accepts
  /// callers.
  endpoint ReadinessEndpoint;
  /// Address of the store.
  endpoint StoreEndpoint;
  /// Requests with a caller key are refused at this confirmation age and above,
  /// since the key may have been revoked in the meantime.
  std::chrono::milliseconds MaxConfirmationAge{4700};
  /// Maximum duration of a hold that a backend server is granted.
  std::chrono::milliseconds MaxHoldDuration{10'000};
  /// Interval at which the local backend server sends heartbeats.
  std::chrono::milliseconds HeartbeatInterval{1000};
  /// Maximum duration of a graceful shutdown, up to the end of the process.
  std::chrono::milliseconds StopTimeout{5000};
  /// A backend server gets no new requests once it has been leaving for this
  /// long.
  std::chrono::milliseconds DrainTimeout{2000};
  /// Whether requests are ordered and refused by the deadlines that they can
  /// still meet, with floors for priorities and limits for hot key points.
  feature_mode OverloadControl = feature_mode::Off;
  /// Whether the concurrency limit and the speed of backend servers are learned
  /// from their responses.
  feature_mode LearnedCapacity = feature_mode::Automatic;
  /// Limits for retries, applied to each service separately.
  retry_budget_options RetryBudgetOptions;
  /// The bounds of rollouts; none if rollouts are not in force.
  std::optional<rollout_bounds> Rollout;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SETTINGS_HPP
