/// The messages between request routers and dispatchers: a forwarded request
/// and its result.
#ifndef DRAGONFLYVANE_NODE_SERVING_FORWARDING_HPP
#define DRAGONFLYVANE_NODE_SERVING_FORWARDING_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/core/refusal.hpp"
#include "dragonflyvane/node/serving/condition_report.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyvane {

/// The code of a refusal because the request has crashed backend servers.
inline constexpr const char *QuarantinedCode = "quarantined";

/// What a dispatcher needs to run a forwarded request, besides the request.
struct forward_metadata {
  std::string Service;
  /// The key point of the request; none for services without keys.
  std::optional<key_point> Point;
  /// The workspace of the caller; empty if the request belongs to none.
  std::string Workspace;
  /// The service of the backend server on the host whose daemon received the
  /// request from the caller.
  std::string OriginService;
  /// The name of the route. Requests of a route cost about the same work.
  std::string Route;
  /// Smaller values go first.
  int Priority = 0;
  /// Time until the deadline.
  std::chrono::milliseconds TimeLeft{0};
  /// Time until the soft deadline; negative after it.
  std::chrono::milliseconds SoftTimeLeft{0};
  /// Whether the request may run more than once.
  bool Idempotent = false;
  /// Whether the request was received by the host of the dispatcher; not sent
  /// to peers.
  bool IsLocal = false;
  /// What the request router knows of the condition of the backend server.
  std::optional<condition_report> ServerCondition = std::nullopt;
  /// How long the request waited on its way; the times left are without it. Not
  /// sent to peers.
  std::chrono::milliseconds TransitDelay{0};
};

/// How a forwarded request ended.
enum class forward_outcome {
  /// The backend server responded.
  Answered,
  /// No backend server has run the request, and none will.
  NotRun,
  /// A backend server may have run the request; there is no response.
  Unknown,
};

/// The load of a dispatcher at the time of a result.
struct dispatcher_load {
  /// Number of requests that run or wait.
  uint32_t Busy = 0;
  /// Number of requests that the backend server runs at the same time; 0 if the
  /// load is unknown.
  uint32_t Slots = 0;
  /// Mean time that the backend server works on a request.
  std::chrono::milliseconds ProcessingTime{0};
  /// How long a large response would wait for the link of the host.
  std::chrono::milliseconds LinkDelay{0};
  /// How long a request would wait for the rate that the backend server takes.
  std::chrono::milliseconds TokenDelay{0};
  /// How much faster the backend server works than the service usually does;
  /// none if not known, and from peers that do not learn it.
  std::optional<double> Speed = std::nullopt;
  /// How long a large request would wait for the incoming link of the host;
  /// zero from peers that do not measure it.
  std::chrono::milliseconds IncomingDelay{0};
};

/// The result of a forwarded request.
struct forward_result {
  forward_outcome Outcome = forward_outcome::NotRun;
  /// The response of the backend server; empty unless `Answered`.
  http_response Response;
  /// The reason why there is no response, such as `queue-full`.
  std::string Code;
  /// Whether the request reached a backend server.
  bool Reached = false;
  /// Time after which the request is likely to be admitted; 0 if unknown.
  std::chrono::milliseconds RetryAfter{0};
  dispatcher_load Load;
  /// The condition of the backend server; none if it has neither a limit nor
  /// leaves.
  std::optional<condition_report> ServerCondition;
};

/// Adds the metadata as header fields that only daemons use.
void writeMetadata(const forward_metadata &Metadata, header_list &Headers);
/// Reads the metadata and removes all fields that only daemons use. The times
/// left are those of the sending, less the transit delay. Returns nothing, and
/// removes nothing, if the service or the time left is missing.
std::optional<forward_metadata> extractMetadata(header_list &Headers,
                                                duration TransitDelay);

/// Encodes a result as a response to the peer. Results other than `Answered`
/// become status 503 (`NotRun`) or 502 (`Unknown`), with the reason in header
/// fields that only daemons use.
http_response encodeResult(forward_result Result);
/// The reverse of `encodeResult`; removes the header fields that only daemons
/// use from the response.
forward_result decodeResult(http_response Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_FORWARDING_HPP
