/// A simulated cluster of the size of a large deployment.
#ifndef DRAGONFLYVANE_TESTS_LARGE_CLUSTER_HPP
#define DRAGONFLYVANE_TESTS_LARGE_CLUSTER_HPP

#include "configuration_watch.hpp"

#include <functional>

namespace dragonflyvane {

/// A cluster of 295 hosts in five failure domains, whose configuration changes
/// once in each `ChangePeriod`. The store applies transactions one after
/// another, as many in a second as a part of the platform's store does.
class large_cluster {
public:
  static constexpr int HostCount = 295;

  explicit large_cluster(uint64_t Seed);

  /// Lets time pass. `EachStep` is called before each step of the clock.
  void runFor(
      duration Span, const std::function<void()> &EachStep = [] {});

  ownership_simulation Simulation;
  configuration_watch Watch;

private:
  time_point NextChangeAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_LARGE_CLUSTER_HPP
