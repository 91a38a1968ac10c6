/// Results of calls to other processes.
#ifndef DRAGONFLYVANE_NET_CALL_RESULT_HPP
#define DRAGONFLYVANE_NET_CALL_RESULT_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"

#include <cstdint>
#include <string>

namespace dragonflyvane {

/// How a call ended.
enum class call_outcome {
  /// The whole response was received.
  Completed,
  /// The connection was refused: no process listens at the endpoint. Only
  /// `http_client` reports this; `peer_client` reports `NotSent`.
  ConnectionRefused,
  /// The request was certainly not processed: no byte of it was sent, or, by
  /// `peer_client`, not its last byte, or the peer refused its HTTP/2 stream.
  NotSent,
  /// The request may have been processed, but no whole and valid response was
  /// received.
  ConnectionLost,
  /// The call timed out after sending had begun. As with `ConnectionLost`, the
  /// request may have been processed. A call of `peer_client` that timed out
  /// before its last byte was sent ends as `NotSent`.
  TimedOut,
};

/// The result of a call.
struct call_result {
  call_outcome Outcome = call_outcome::ConnectionLost;
  /// Valid if the outcome is `Completed`.
  http_response Response;
  /// The cause of a failure; empty if the outcome is `Completed`.
  std::string Error;
  /// How much longer than usual the response of a peer was on its way; zero if
  /// it is not known.
  duration TransitDelay{0};
  /// By `peer_client`: whether the peer answers on another connection, although
  /// that of the call is silent.
  bool PeerAnswers = false;
};

/// Identifies a call of one client, for `cancel`. Never 0.
using call_id = uint64_t;

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_CALL_RESULT_HPP
