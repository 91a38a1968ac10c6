/// Messages between daemons beside forwarded requests: load reports to the
/// steward, and asks for tokens of the rate pool.
#ifndef DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP
#define DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP

#include "dragonflyvane/core/admission/crash_evidence.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/load_balance.hpp"
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
  row_version Newest = 0;
  /// Deaths of its backend server, and requests that are not their cause.
  std::vector<crash> Crashes;
  std::vector<request_fingerprint> Answered;
};

/// What the steward answers.
struct report_answer {
  bool IsSteward = false;
  row_version Newest = 0;
  /// Requests that may bring servers down, and those that are not to run.
  std::set<request_fingerprint> Suspects;
  std::set<request_fingerprint> Quarantined;
};

/// An ask for tokens of a workspace.
struct token_ask {
  std::string Workspace;
  double Amount = 0;
};

/// The answer: tokens, or none and when to ask again.
struct token_answer {
  double Tokens = 0;
  std::chrono::milliseconds AskAfter{0};
};

http_request encodeReport(const report_message &Message);
std::optional<report_message> decodeReport(const http_request &Request);
http_response encodeAnswer(const report_answer &Answer);
std::optional<report_answer> decodeReportAnswer(const http_response &Response);
http_request encodeAsk(const token_ask &Ask);
std::optional<token_ask> decodeAsk(const http_request &Request);
http_response encodeAnswer(const token_answer &Answer);
std::optional<token_answer> decodeTokenAnswer(const http_response &Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_PEER_MESSAGES_HPP
