/// A check of the time that changes of the configuration take to be in force.
#ifndef DRAGONFLYVANE_TESTS_CONFIGURATION_WATCH_HPP
#define DRAGONFLYVANE_TESTS_CONFIGURATION_WATCH_HPP

#include "ownership_simulation.hpp"

#include <vector>

namespace dragonflyvane {

/// Changes the configuration of a simulated cluster, and checks that each
/// change is in force in time at each host that has run undisturbed for a
/// while. Create it before the first change.
class configuration_watch {
public:
  /// The bounds on the time that a change takes.
  struct bounds {
    /// A change has to be in force this long after the store has acknowledged
    /// it,
    std::chrono::milliseconds MaxDelay{2500};
    /// at each host that has been undisturbed for this long.
    std::chrono::milliseconds UndisturbedTime{3000};
  };

  configuration_watch(ownership_simulation &Simulation, int HostCount,
                      bounds Bounds);

  /// Writes the next configuration.
  void change();
  /// Notes that a host is disturbed now. Has to be called at each step while
  /// the disturbance lasts.
  void onDisturbed(int Host);
  /// Counts and prints the hosts at which a change is late now.
  void check();
  /// Returns the number of late changes, each counted once for each host.
  int lateChanges() const { return Late; }
  /// Returns the longest time after which a change was found missing at an
  /// undisturbed host.
  duration maxDelay() const { return LongestDelay; }

private:
  struct host_state {
    time_point DisturbedUntil{};
    /// The newest change that was late here.
    uint64_t LastLate = 0;
  };

  /// Returns the number of changes that were written by a time.
  size_t changesUntil(time_point Time) const;

  ownership_simulation &Simulation;
  bounds Bounds;
  /// The version before the first change. Versions count up by one.
  uint64_t FirstVersion;
  std::vector<time_point> ChangedAt;
  std::vector<host_state> Hosts;
  int Late = 0;
  duration LongestDelay{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_CONFIGURATION_WATCH_HPP
