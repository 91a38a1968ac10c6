/// Ranges of keys on their way between a daemon and its backend server: what is
/// granted, what the server reports, and the calls that grant and release.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_GRANTED_KEYS_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_GRANTED_KEYS_HPP

#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// How the backend servers of a service are granted keys.
enum class grant_way {
  /// The response to a heartbeat lists all ranges that the server is to hold.
  Heartbeat,
  /// The daemon calls the server to grant or release one range.
  Call,
};

/// Returns whether two ranges have a key point in common.
template <typename A, typename B> bool overlaps(const A &X, const B &Y) {
  return X.First <= Y.Last && Y.First <= X.Last;
}

/// A range that a backend server reports as held or as still in use by
/// requests.
struct held_range {
  key_point First = 0;
  /// The last key point of the range, inclusive.
  key_point Last = 0;
  /// The fencing token under which the range was granted.
  uint64_t Token = 0;
};

/// A range that a backend server has released, with the handover for the next
/// owner.
struct released_range {
  key_point First = 0;
  key_point Last = 0;
  std::string Handover;
};

/// The ranges that a heartbeat reports.
struct held_keys {
  /// All ranges that are held or in use.
  std::vector<held_range> Held;
  /// The ranges that were released, the oldest release first.
  std::vector<released_range> Released;
};

/// A range of a grant, with the handover of the previous owner.
struct granted_range {
  key_point First = 0;
  key_point Last = 0;
  uint64_t Token = 0;
  std::string Handover;
};

/// The response to a heartbeat: all ranges that the backend server is to hold.
struct grant {
  std::vector<granted_range> Ranges;
  /// How long the server may hold the ranges, counted from the time it sent its
  /// heartbeat.
  std::chrono::milliseconds HoldDuration{0};
};

/// A range that this host owns in the map and that its backend server certainly
/// does not hold any more.
struct releasable_range {
  owned_range Range;
  std::string Handover;
};

/// What a call asks of the backend server.
enum class key_call_kind {
  /// To hold the range, or to hold it longer.
  Grant,
  /// To start no more work on the range, and to respond once the work on it has
  /// ended.
  Release,
};

/// A call of a daemon to its backend server about one range.
struct key_call {
  /// Identifies the call within its daemon.
  uint64_t Id = 0;
  key_call_kind Kind = key_call_kind::Grant;
  /// The server's instance that the call is meant for.
  std::string Instance;
  granted_range Range;
  /// How long the server may hold the range, counted from the arrival of the
  /// call; only in a grant.
  std::chrono::milliseconds HoldDuration{0};
  /// Whether the range may have been granted under this token before. The call
  /// must not reach a later incarnation of the server then, which needs a
  /// higher token.
  bool IsRepeated = false;
  /// Whether the call may open a connection. An open connection can only lead
  /// to the incarnation that accepted it.
  bool MayConnect = true;
};

/// How a call about a range ended.
enum class key_call_outcome {
  /// The server has granted or released the range.
  Accepted,
  /// The server refused a grant, since it has seen a higher fencing token on
  /// one of the keys.
  HigherTokenSeen,
  /// The server refused the call as malformed.
  Rejected,
  /// The server cannot have received the call.
  NotSent,
  /// The server's address refused the connection.
  ConnectionRefused,
  /// The server may have received the call, and may still act on it.
  Unknown,
};

/// The result of a call about a range.
struct key_call_result {
  key_call_outcome Outcome = key_call_outcome::Unknown;
  /// After a release: the text for the next owner of the range.
  std::string Handover;
  /// The reason if the call was not accepted.
  std::string Error;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_GRANTED_KEYS_HPP
