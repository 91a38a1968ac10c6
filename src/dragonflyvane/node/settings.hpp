/// The settings of a daemon.
#ifndef DRAGONFLYVANE_NODE_SETTINGS_HPP
#define DRAGONFLYVANE_NODE_SETTINGS_HPP

#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/net/endpoint.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a daemon is told at its start.
struct settings {
  /// Unique name of this host.
  std::string Host;
  std::string FailureDomain;
  std::vector<std::string> FailureDomains;
  /// The part of a processor core that this process may use.
  double CpuShare = 1;
  /// The rate of the host's link, in bytes a second.
  double LinkRate = 125'000'000;
  /// The service of the backend server beside this daemon.
  std::string LocalService;
  /// Where callers and the local backend server send requests.
  endpoint CallerEndpoint;
  /// Where other daemons open streams.
  endpoint Peer;
  /// Where operators and scrapers ask.
  endpoint Admin;
  /// Where the local backend server sends heartbeats.
  endpoint Control;
  /// Where the platform asks whether this daemon takes callers.
  endpoint Readiness;
  endpoint Store;
  /// Requests with a caller key are served only on evidence younger than this
  /// that the key still stands.
  std::chrono::milliseconds MaxConfirmationAge{4700};
  /// The longest hold that a backend server may be given.
  std::chrono::milliseconds MaxHoldDuration{10'000};
  /// How often the local backend server sends heartbeats.
  std::chrono::milliseconds HeartbeatInterval{1000};
  /// After a planned stop began, the process must have ended by then.
  std::chrono::milliseconds StopTimeout{5000};
  /// A leaving backend server gets nothing new after this.
  std::chrono::milliseconds DrainTimeout{2000};
  retry_budget_options RetryBudgetOptions;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SETTINGS_HPP
