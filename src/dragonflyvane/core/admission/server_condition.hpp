/// What a backend server says about its own condition in its responses: the
/// rate that it takes from all hosts together, and that it leaves.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_SERVER_CONDITION_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_SERVER_CONDITION_HPP

#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/core/http_message.hpp"

#include <optional>
#include <string_view>

namespace dragonflyvane {

/// The condition of one incarnation of a backend server, as of its latest
/// response.
struct server_condition {
  /// Requests per second that the server takes from all hosts together; none if
  /// it names no limit.
  std::optional<double> RateLimit;
  /// Whether the server has said that it leaves. It cannot be taken back.
  bool IsLeaving = false;

  bool operator==(const server_condition &) const = default;
};

/// Larger limits limit nothing. In requests per second.
inline constexpr double MaxRateLimit = 1e9;

/// Parses a rate limit, a decimal number such as `7.5`, and returns at most
/// `MaxRateLimit`. Returns nothing if the text is no finite number from 0 on.
std::optional<double> parseRateLimit(std::string_view Text);

/// Returns the condition after a response with these header fields. A response
/// without a rate limit ends the limit; a malformed field changes nothing.
server_condition conditionAfter(const server_condition &Previous,
                                const header_list &Headers,
                                const header_names &Names);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_SERVER_CONDITION_HPP
