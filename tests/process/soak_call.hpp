/// What a caller of the soak saw of one request.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALL_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALL_HPP

#include "dragonflyvane/core/clock.hpp"

#include <optional>
#include <string>

namespace dragonflyvane {

enum class call_end {
  /// A whole response arrived.
  Answered,
  /// No connection was opened.
  NotConnected,
  /// The connection ended without a whole response.
  Closed,
  /// The caller closed the connection on purpose.
  GivenUp,
  /// No whole response arrived within the caller's patience.
  TimedOut,
};

/// Times are those of the boot clock.
struct soak_call {
  std::string Kind;
  std::string RequestId;
  int Host = 0;
  bool Idempotent = true;
  /// The time a byte takes to the daemon and another one back.
  duration RoundTrip{0};
  /// When the first and the last byte were handed to the socket.
  time_point FirstByteAt;
  std::optional<time_point> LastByteAt;
  time_point EndedAt;
  call_end End = call_end::NotConnected;
  /// Of a whole response.
  int Status = 0;
  /// Whether the response has the id of the request and the expected body.
  bool IsOwnAnswer = false;
  std::string Body;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_SOAK_CALL_HPP
