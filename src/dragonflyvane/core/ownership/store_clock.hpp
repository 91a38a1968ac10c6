/// Estimates the store's clock from the responses of the store.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP

#include "dragonflyvane/core/clock.hpp"

#include <algorithm>
#include <optional>

namespace dragonflyvane {

/// Maintains an upper bound of the store's clock. The store reads its clock
/// after a call is sent, so that its clock has advanced since that reading by
/// at most the time since the call was sent.
class store_clock {
public:
  /// Updates the bound with the store's time from a response received at `Now`
  /// to a call sent at `SentAt`.
  void onResponse(std::chrono::milliseconds StoreTime, time_point SentAt,
                  time_point Now) {
    duration Offset = StoreTime - SentAt.time_since_epoch();
    MaxOffset = MaxOffset
                    ? std::min(Offset, *MaxOffset + maxDrift(Now - MeasuredAt))
                    : Offset;
    MeasuredAt = Now;
  }

  /// Returns the latest time that the store's clock can show at `Now`; zero
  /// before the first response.
  std::chrono::milliseconds upperBound(time_point Now) const {
    if (!MaxOffset)
      return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(
        Now.time_since_epoch() + *MaxOffset + maxDrift(Now - MeasuredAt));
  }

private:
  /// Returns how far two clocks may drift apart within the span: 2 ms per
  /// second.
  static duration maxDrift(duration Span) { return Span / 500; }

  /// The largest possible lead of the store's clock over this host's clock at
  /// `MeasuredAt`.
  std::optional<duration> MaxOffset;
  time_point MeasuredAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_STORE_CLOCK_HPP
