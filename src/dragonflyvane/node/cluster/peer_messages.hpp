/// Messages between daemons other than forwarded requests: reports of load and
/// crashes to the coordinator, and requests for tokens of the rate pool.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_PEER_MESSAGES_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_PEER_MESSAGES_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/core/admission/recent_route_times.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The periodic report of a host to the coordinator.
struct report_message {
  std::string Host;
  load_report Load;
  /// The version of the newest cluster row that the host has seen.
  row_version NewestVersion = 0;
  /// The version of the newest operators' row that the host knows; 0 from hosts
  /// of earlier versions.
  row_version OperatorVersion = 0;
  /// Crashes of the local backend server.
  std::vector<crash> Crashes;
  /// Suspect requests that did not crash the local backend server.
  std::vector<request_fingerprint> RequestsWithResponse;
  /// Quarantined requests that the host has refused since its last report.
  std::vector<request_fingerprint> RefusedRequests;
  /// The service of the local backend server; empty if `UsualTimes` is.
  std::string Service;
  /// The usual times at the local backend server; at most `MaxReportedRoutes`.
  route_times UsualTimes;
};

/// The response to a report.
struct report_response {
  /// Whether the responding host is the coordinator.
  bool IsCoordinator = false;
  /// The version of the newest cluster row that the responding host has seen.
  row_version NewestVersion = 0;
  /// The version of the newest operators' row that the responding host knows; 0
  /// from hosts of earlier versions.
  row_version OperatorVersion = 0;
  /// Requests that may have crashed backend servers.
  std::set<request_fingerprint> Suspects;
  /// Requests that must not run.
  std::set<request_fingerprint> Quarantined;
  /// The trial of each quarantined request; empty from peers that do not know
  /// of trials.
  std::map<request_fingerprint, request_trial> Trials;
  /// The usual times at the servers of the service of the reporting host; empty
  /// if not known, and from peers that do not know of them.
  route_times ServiceTimes;
};

/// A request for tokens of a workspace from the rate pool.
struct token_request {
  std::string Workspace;
  /// The number of tokens requested.
  double Amount = 0;
};

/// The response of the rate pool.
struct token_response {
  /// The number of tokens taken from the pool; 0 if the pool is empty.
  double Tokens = 0;
  /// Time after which the pool may have tokens again; set if `Tokens` is 0.
  std::chrono::milliseconds PoolRetryAfter{0};
};

// The decoders return nothing if the message is of another kind or malformed.

/// Encodes the report of a host.
http_request encodeReport(const report_message &Message);
/// The reverse of `encodeReport`.
std::optional<report_message> decodeReport(const http_request &Request);
/// Encodes the response to a report.
http_response encodeResponse(const report_response &Response);
/// The reverse of `encodeResponse` for a report.
std::optional<report_response>
decodeReportResponse(const http_response &Response);
/// Encodes a request for tokens.
http_request encodeTokenRequest(const token_request &Request);
/// The reverse of `encodeTokenRequest`.
std::optional<token_request> decodeTokenRequest(const http_request &Request);
/// Encodes the response to a request for tokens.
http_response encodeResponse(const token_response &Response);
/// The reverse of `encodeResponse` for tokens.
std::optional<token_response>
decodeTokenResponse(const http_response &Response);

/// Encodes a request for the configuration in force.
http_request encodeConfigurationRequest();
/// Whether the request is one for the configuration in force.
bool isConfigurationRequest(const http_request &Request);
/// Encodes the response to such a request; 404 without a configuration.
http_response
encodeResponse(const std::optional<known_configuration> &Configuration);
/// The reverse of `encodeResponse` for a configuration.
std::optional<known_configuration>
decodeConfigurationResponse(const http_response &Response);

/// Encodes a request for the operators' rows, if the peer knows a version above
/// `KnownVersion`.
http_request encodeOperatorRowsRequest(row_version KnownVersion);
/// The reverse of `encodeOperatorRowsRequest`.
std::optional<row_version>
decodeOperatorRowsRequest(const http_request &Request);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_PEER_MESSAGES_HPP
