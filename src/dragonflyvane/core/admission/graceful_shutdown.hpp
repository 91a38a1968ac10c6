/// Decides which requests may still begin while the process shuts down
/// gracefully, so that what begins has a response before the process ends.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_GRACEFUL_SHUTDOWN_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_GRACEFUL_SHUTDOWN_HPP

#include "dragonflyvane/core/clock.hpp"

#include <chrono>
#include <optional>

namespace dragonflyvane {

/// A request that asks to begin.
struct beginning_request {
  time_point Deadline;
  /// A time that its processing rarely exceeds; none if it is not known.
  std::optional<duration> UsualTime;
  bool Idempotent = false;
  /// Whether it is a call of a request that already runs on this host.
  bool IsNestedCall = false;
};

/// The time plan of a graceful shutdown. New requests are accepted for a while,
/// since callers need time to switch to other hosts; then only those that
/// running requests depend on.
class graceful_shutdown {
public:
  /// `Timeout` is the time from the start of the shutdown to the end of the
  /// process.
  graceful_shutdown(const clock_source &Clock,
                    std::chrono::milliseconds Timeout)
      : Clock(Clock), Timeout(Timeout) {}

  /// Starts the shutdown; later calls have no effect.
  void begin();
  bool hasBegun() const { return StartedAt.has_value(); }
  /// Whether the time in which new requests are accepted is over.
  bool isDraining() const;
  /// Whether the time for responses is over.
  bool isOver() const { return hasBegun() && Clock.now() >= lastResponseAt(); }
  /// The time until which responses can be sent; `time_point::max()` before the
  /// shutdown.
  time_point lastResponseAt() const;
  /// The end of the process. Must not be called before `begin`.
  time_point end() const { return lastResponseAt() + ResponseMargin; }
  /// The deadline of a request, no later than `lastResponseAt`.
  time_point deadlineOf(time_point Deadline) const;
  /// The rest of the time in which new requests are accepted; zero afterwards.
  duration acceptTimeLeft() const;
  /// Whether a request may begin now.
  bool admits(const beginning_request &Request) const;

private:
  /// Time to send the last responses before the process ends.
  static constexpr std::chrono::milliseconds ResponseMargin{250};

  const clock_source &Clock;
  std::chrono::milliseconds Timeout;
  std::optional<time_point> StartedAt;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_GRACEFUL_SHUTDOWN_HPP
