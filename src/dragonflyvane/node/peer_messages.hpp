/// Messages between daemons beside forwarded requests: load reports to the
/// steward, and asks for tokens of the rate pool.
#ifndef DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP
#define DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/store.hpp"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a host tells the steward.
struct report_message {
  std::string Host;
  load_report Load;
  /// The version of the newest cluster row that it has seen.
  row_version NewestVersion = 0;
  /// Deaths of its backend server, and requests that are not their cause.
  std::vector<crash> Crashes;
  std::vector<request_fingerprint> Answered;
};

/// What the steward answers.
struct report_response {
  bool IsCoordinator = false;
  row_version NewestVersion = 0;
  /// Requests that may bring servers down, and those that are not to run.
  std::set<request_fingerprint> Suspects;
  std::set<request_fingerprint> Quarantined;
};

/// An ask for tokens of a workspace.
struct token_request {
  std::string Workspace;
  double Amount = 0;
};

/// The answer: tokens, or none and when to ask again.
struct token_response {
  double Tokens = 0;
  std::chrono::milliseconds PoolRetryAfter{0};
};

http_request encodeReport(const report_message &Message);
std::optional<report_message> decodeReport(const http_request &Request);
http_response encodeResponse(const report_response &Answer);
std::optional<report_response>
decodeReportResponse(const http_response &Response);
http_request encodeTokenRequest(const token_request &Ask);
std::optional<token_request> decodeTokenRequest(const http_request &Request);
http_response encodeResponse(const token_response &Answer);
std::optional<token_response>
decodeTokenResponse(const http_response &Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP
