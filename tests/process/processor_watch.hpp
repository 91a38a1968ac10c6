/// Tells a process that waits for a processor from one that is busy.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_PROCESSOR_WATCH_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_PROCESSOR_WATCH_HPP

#include "dragonflyvane/core/clock.hpp"
#include "process/child_process.hpp"

#include <string>

namespace dragonflyvane {

/// Compares the processor times of a process at intervals.
class processor_watch {
public:
  /// Returns what the process did if it waited or was busy for half of the time
  /// since the last call that looked, or an empty text.
  std::string look(const child_process &Process) {
    if (Clock.now() - LookedAt < Interval)
      return "";
    duration Passed = Clock.now() - LookedAt;
    LookedAt = Clock.now();
    processor_times Before = Last;
    Last = Process.processorTimes();
    return describe("waited", Last.Waiting - Before.Waiting, Passed) +
           describe("busy", Last.Running - Before.Running, Passed);
  }

private:
  static constexpr std::chrono::milliseconds Interval{200};

  static std::string describe(const char *What, duration Time,
                              duration Passed) {
    if (2 * Time < Passed)
      return "";
    return std::string(What) + " " + std::to_string(inMilliseconds(Time)) +
           " of " + std::to_string(inMilliseconds(Passed)) + " ms ";
  }

  boot_clock Clock;
  time_point LookedAt = Clock.now();
  processor_times Last;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_PROCESSOR_WATCH_HPP
