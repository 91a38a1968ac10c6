/// Spreads calls that all hosts of a fleet may want to make at the same moment.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_FLEET_PACE_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_FLEET_PACE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <random>

namespace dragonflyvane {

/// Paces the calls of one host such that all hosts together make a limited
/// number of them in a second, without an exchange of messages: the delay
/// between two calls of a host is proportional to the number of hosts, and
/// random.
class fleet_pace {
public:
  /// `DelayPerHost` is the mean time between two calls of the whole fleet.
  explicit fleet_pace(duration DelayPerHost) : DelayPerHost(DelayPerHost) {}

  /// To be called when calls become necessary that were not necessary for a
  /// while: the first one is delayed as well, since all hosts may have the same
  /// reason.
  void onNeeded(size_t HostCount, std::mt19937_64 &Random, time_point Now);
  /// Whether this host may make a call now.
  bool admits(time_point Now) const { return Now >= NextAt; }
  /// To be called when the host makes a call.
  void onSent(size_t HostCount, std::mt19937_64 &Random, time_point Now);

private:
  duration DelayPerHost;
  time_point NextAt{};
  /// When calls were last necessary.
  time_point NeededAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_FLEET_PACE_HPP
