#include "dragonflyvane/net/event_loop_delay.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{100};
/// A longer delay is logged.
constexpr std::chrono::milliseconds LateDelay{200};

} // namespace

event_loop_delay::event_loop_delay(scheduler &Loop, const clock_source &Clock,
                                   metrics &Metrics, late_callback OnLate)
    : Clock(Clock), Metrics(Metrics), OnLate(std::move(OnLate)),
      Expected(Clock.now() + TickPeriod) {
  Tick = Loop.every(TickPeriod, [this] { tick(); });
}

void event_loop_delay::tick() {
  time_point Now = Clock.now();
  duration Delay = std::max(duration{0}, Now - Expected);
  Expected = Now + TickPeriod;
  Delays.push_back(Delay);
  if (Delay > LateDelay)
    OnLate(Delay);
}

duration event_loop_delay::publish() {
  std::vector<duration> Recent = std::exchange(Delays, {});
  Metrics.observe("event_loop_delay_seconds", {}, Recent);
  duration Longest{0};
  for (duration Delay : Recent)
    Longest = std::max(Longest, Delay);
  return std::max(Longest, std::exchange(LongestBefore, Longest));
}

void event_loop_delay::logLateLoop(duration Delay) {
  writeLog(log_level::Warning, "event loop was late",
           {{"step", "loop"}, {"late_ms", inMilliseconds(Delay)}});
}

} // namespace dragonflyvane
