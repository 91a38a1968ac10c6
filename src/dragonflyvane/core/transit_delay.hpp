/// Measures how long messages wait on their way between two hosts whose clocks
/// are not synchronised.
#ifndef DRAGONFLYVANE_CORE_TRANSIT_DELAY_HPP
#define DRAGONFLYVANE_CORE_TRANSIT_DELAY_HPP

#include "dragonflyvane/core/clock.hpp"

#include <chrono>
#include <optional>

namespace dragonflyvane {

/// The transit delay of the messages of one connection, in one direction: how
/// much longer a message took than the fastest one of the last 30 to 60 s. The
/// offset between the clocks cancels out, as in LEDBAT (RFC 6817). The delay of
/// a connection that was full all that time is underestimated.
class transit_delay {
public:
  /// Notes a message, and returns its transit delay. `SentAt` is the time of
  /// the sender's clock, from any origin. The delay is zero for the first
  /// message, and after a jump of a clock.
  duration observe(std::chrono::milliseconds SentAt, time_point ArrivedAt);

private:
  /// Forgets the windows that have ended.
  void rotate(time_point Now);

  /// The least difference between arrival and sending, by windows.
  std::optional<duration> LeastNow;
  std::optional<duration> LeastBefore;
  time_point WindowBegin{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_TRANSIT_DELAY_HPP
