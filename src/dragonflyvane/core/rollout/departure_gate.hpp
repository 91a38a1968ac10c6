/// Decides when a server whose version must get no more requests refuses those
/// that still arrive.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_DEPARTURE_GATE_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_DEPARTURE_GATE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>
#include <optional>

namespace dragonflyvane {

/// Requests are still accepted for a grace period after the host has learned
/// that the server must leave, until all request routers know it too.
class departure_gate {
public:
  /// Time within which routers that watch the store learn of a change.
  static constexpr std::chrono::milliseconds GracePeriod{800};

  /// Applies a state of the rollout that the host has seen.
  void update(bool MustLeave, uint64_t Sequence, time_point Now) {
    if (!MustLeave)
      Since.reset();
    else if (!Since)
      Since = Now;
    LatestSequence = Sequence;
  }
  /// Whether requests without keys that arrive now are refused.
  bool refuses(time_point Now) const {
    return Since && Now - *Since >= GracePeriod;
  }
  /// Returns the sequence number of the state that is applied to the server; 0
  /// during the grace period.
  uint64_t sequence(time_point Now) const {
    return Since && !refuses(Now) ? 0 : LatestSequence;
  }

private:
  std::optional<time_point> Since;
  uint64_t LatestSequence = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_DEPARTURE_GATE_HPP
