/// How entrances and doors talk: a forwarded request, and how it ended.
#ifndef DRAGONFLYVANE_NODE_FORWARDING_HPP
#define DRAGONFLYVANE_NODE_FORWARDING_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/core/refusal.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace dragonflyvane {

/// What an entrance orders a door to do with a request.
struct forward_metadata {
  std::string Service;
  /// The point of the key; none for services without keys.
  std::optional<key_point> Point;
  std::string Workspace;
  std::string OriginService;
  /// Requests of one route take about the same work.
  std::string Route;
  /// Smaller is more urgent.
  int Priority = 0;
  std::chrono::milliseconds TimeLeft{0};
  /// Until when an answer is worth most to the caller.
  std::chrono::milliseconds SoftTimeLeft{0};
  /// It came in at the host of the door; not sent along.
  bool IsLocal = false;
};

/// How a forwarded request ended.
enum class forward_outcome {
  /// The response is the backend server's.
  Answered,
  /// No backend server has run it, and none will.
  NotRun,
  /// A backend server may have run it; there is no answer.
  Unknown,
};

/// The load of a door, as of an answer.
struct dispatcher_load {
  /// Requests that run or wait.
  uint32_t Busy = 0;
  uint32_t Slots = 0;
  /// Usual work of a request.
  std::chrono::milliseconds Work{0};
  /// How long a large answer would wait for the link.
  std::chrono::milliseconds LinkDelay{0};
};

/// The end of a forwarded request.
struct forward_result {
  forward_outcome Outcome = forward_outcome::NotRun;
  http_response Response;
  /// Why there is no answer, such as `queue-full`.
  std::string Code;
  /// Whether it reached a backend server.
  bool Reached = false;
  /// When room is likely again; zero if the door cannot tell.
  std::chrono::milliseconds RetryAfter{0};
  dispatcher_load Load;
};

/// Writes an order into the fields that only daemons use, and reads it back.
void writeMetadata(const forward_metadata &Metadata, header_list &Headers);
std::optional<forward_metadata> extractMetadata(header_list &Headers);

/// The same for the end of a request.
http_response encodeResult(forward_result Result);
forward_result decodeResult(http_response Response);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_FORWARDING_HPP
