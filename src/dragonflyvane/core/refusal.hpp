/// Refusals: error responses that a daemon sends in place of the response of a
/// backend server.
#ifndef DRAGONFLYVANE_CORE_REFUSAL_HPP
#define DRAGONFLYVANE_CORE_REFUSAL_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <chrono>
#include <string>

namespace dragonflyvane {

/// The `Retry-After` of requests that a stopping daemon refuses: the usual
/// duration of its restart.
constexpr std::chrono::milliseconds RestartRetryAfter{900};

/// Whether a backend server may have executed the request.
enum class run_state {
  /// The request was certainly not executed; repeating it is safe.
  NotRun,
  /// The request may have been executed, in part or completely.
  Unknown
};

/// The reason why a request gets no response from a backend server.
struct refusal {
  /// The HTTP status.
  int Status = 503;
  /// A short machine-readable reason, such as `no-owner`.
  std::string Code;
  run_state Ran = run_state::NotRun;
  /// The delay after which the caller may retry; zero omits `Retry-After`.
  std::chrono::milliseconds RetryAfter{0};
};

/// Returns the response for the caller: a JSON object with `code` and `ran`,
/// and `Retry-After` in seconds with three decimals, unless the delay is zero.
http_response toResponse(const refusal &Refusal);

/// Returns `not run` or `unknown`.
std::string toString(run_state Ran);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_REFUSAL_HPP
