/// Limits the rate at which requests are dispatched to a backend server: by its
/// warm-up rate while it is cold, and by the rate limit that it names.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_DISPATCH_ALLOWANCE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_DISPATCH_ALLOWANCE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"

#include <cstddef>
#include <optional>

namespace dragonflyvane {

/// The rates that limit the dispatches to a server, in requests per second;
/// none for no limit.
struct dispatch_rates {
  std::optional<double> Warmup;
  std::optional<double> Limit;
};

/// A token bucket for each limit; a dispatch takes a token from both. Without
/// limits every dispatch is allowed.
class dispatch_allowance {
public:
  /// Changes the rates. A new limit begins with no tokens, since the server may
  /// just have got more requests than it takes.
  void update(const dispatch_rates &Rates, time_point Now);
  /// Returns the time until the queued request at this position can be
  /// dispatched, if those ahead of it are dispatched as early as possible; zero
  /// if it can be now.
  duration delayOf(size_t Position, time_point Now) const;
  /// Takes a token for a dispatch. To be called only if `delayOf(0)` is zero.
  void take(time_point Now);
  /// Puts back the token of a request that was not sent after all.
  void refund();

private:
  std::optional<token_bucket> Warmup;
  std::optional<token_bucket> Limit;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_DISPATCH_ALLOWANCE_HPP
