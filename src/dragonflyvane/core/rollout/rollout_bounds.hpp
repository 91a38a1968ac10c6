/// The bounds of what a version may be sent before it is known to be good.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_BOUNDS_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_BOUNDS_HPP

#include <chrono>

namespace dragonflyvane {

/// How many requests may reach a version that turns out to be bad.
struct rollout_bounds {
  /// The share of the service's requests between an order and its deadline.
  double ExposureShare = 0.1;
  /// Requests beyond that share.
  double ExposureSlack = 50;
  /// The time after the 50th bad response of a version within which requests
  /// may still be sent to it.
  std::chrono::milliseconds RollbackTime{5000};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_BOUNDS_HPP
