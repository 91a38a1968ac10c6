/// Refusals: answers made by a daemon instead of a backend server.
#ifndef DRAGONFLYVANE_CORE_REFUSAL_HPP
#define DRAGONFLYVANE_CORE_REFUSAL_HPP

#include "dragonflyvane/core/http_message.hpp"

#include <chrono>
#include <string>

namespace dragonflyvane {

/// Whether a backend server may have begun the request.
enum class run_state { NotRun, Unknown };

/// Why a request was not answered by a backend server.
struct refusal {
  int Status = 503;
  /// Short machine-readable reason, such as `no-owner`.
  std::string Code;
  run_state Ran = run_state::NotRun;
  /// When the caller may come back; zero when it need not be told.
  std::chrono::milliseconds RetryAfter{0};
};

/// The response a caller sees: a JSON object with `code` and `ran`, and a
/// `Retry-After` in seconds with a fraction.
http_response toResponse(const refusal &Refusal);

/// The text of a run state: `not run` or `unknown`.
std::string toString(run_state Ran);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_REFUSAL_HPP
