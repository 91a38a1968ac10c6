/// What a host knows of the store's clock.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP

#include "dragonflyvane/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace dragonflyvane {

/// An upper bound of the store's clock, from answers of the store: it showed at
/// most its time in the answer plus what has passed since the call was sent.
class store_clock {
public:
  /// The store told its time in the answer to a call.
  void onResponse(std::chrono::milliseconds StoreTime, time_point SentAt,
                  time_point Now) {
    duration Told = StoreTime - SentAt.time_since_epoch();
    Ahead = Ahead ? std::min(Told, *Ahead + drift(Now - LearnedAt)) : Told;
    LearnedAt = Now;
  }

  /// The latest time that the store's clock can show now; zero if not known.
  std::chrono::milliseconds upperBound(time_point Now) const {
    if (!Ahead)
      return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(
        Now.time_since_epoch() + *Ahead + drift(Now - LearnedAt));
  }

private:
  /// How far two clocks may drift apart in a span.
  static duration drift(duration Span) { return Span / 500; }

  /// How far the store's clock is ahead of this host's, at most.
  std::optional<duration> Ahead;
  time_point LearnedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP
