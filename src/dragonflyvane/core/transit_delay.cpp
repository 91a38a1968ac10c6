#include "dragonflyvane/core/transit_delay.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::seconds WindowLength{30};
/// A longer delay shows that a clock has jumped.
constexpr std::chrono::seconds MaxDelay{10};
/// Times beyond this cannot be those of a clock that starts with the machine,
/// and could overflow in nanoseconds.
constexpr std::chrono::hours MaxSendTime{24 * 365 * 100};

} // namespace

duration transit_delay::observe(std::chrono::milliseconds SentAt,
                                time_point ArrivedAt) {
  if (SentAt < std::chrono::milliseconds{0} || SentAt > MaxSendTime)
    return duration{0};
  rotate(ArrivedAt);
  duration Difference = ArrivedAt.time_since_epoch() - SentAt;
  duration Least = Difference;
  for (const auto &Known : {LeastNow, LeastBefore})
    Least = std::min(Least, Known.value_or(Least));
  if (Difference - Least > MaxDelay) {
    LeastNow = Difference;
    LeastBefore.reset();
    return duration{0};
  }
  LeastNow = std::min(Difference, LeastNow.value_or(Difference));
  return Difference - Least;
}

void transit_delay::rotate(time_point Now) {
  duration Elapsed = Now - WindowBegin;
  if (Elapsed < WindowLength)
    return;
  bool HasGap = Elapsed >= 2 * WindowLength;
  LeastBefore = HasGap ? std::nullopt : LeastNow;
  LeastNow.reset();
  WindowBegin = HasGap ? Now : WindowBegin + WindowLength;
}

} // namespace dragonflyvane
