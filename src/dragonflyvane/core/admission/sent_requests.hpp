/// Remembers the ids of the requests that were sent to the backend server.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_SENT_REQUESTS_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_SENT_REQUESTS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace dragonflyvane {

/// Tells whether a request is sent for the first time. A repeat has the id of
/// the request, so a response does not show which of the two it belongs to,
/// unless they use different connections.
class sent_requests {
public:
  /// Remembers the request for at least 30 s, longer than any caller waits.
  /// Returns whether it was not known; an empty id never is.
  bool insert(std::string_view RequestId, time_point Now);

private:
  using hash_set = std::unordered_set<uint64_t>;

  /// The hashes of the ids since `RecentSince`, and of the period before.
  hash_set Recent;
  hash_set Earlier;
  time_point RecentSince{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_SENT_REQUESTS_HPP
