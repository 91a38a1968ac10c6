/// Measures how late an event loop runs its work, to tell a process that did
/// not run from a network that was slow.
#ifndef DRAGONFLYVANE_NET_EVENT_LOOP_DELAY_HPP
#define DRAGONFLYVANE_NET_EVENT_LOOP_DELAY_HPP

#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/net/metrics.hpp"

#include <functional>
#include <vector>

namespace dragonflyvane {

/// Observes a timer with a short period. Its delays go to the histogram
/// `event_loop_delay_seconds`; a long one is logged.
class event_loop_delay {
public:
  /// Called when the event loop was late.
  using late_callback = std::function<void(duration)>;

  /// `Loop` and `Metrics` must outlive this object.
  event_loop_delay(scheduler &Loop, const clock_source &Clock, metrics &Metrics,
                   late_callback OnLate = logLateLoop);

  /// Adds the delays since the last call to the metrics. Returns the longest of
  /// them and of those before the last call, since what the loop did late may
  /// be seen only after its timer.
  duration publish();

private:
  static void logLateLoop(duration Delay);
  void tick();

  const clock_source &Clock;
  metrics &Metrics;
  late_callback OnLate;
  std::vector<duration> Delays;
  duration LongestBefore{0};
  time_point Expected;
  timer Tick;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_EVENT_LOOP_DELAY_HPP
