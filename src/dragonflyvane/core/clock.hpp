/// Monotonic time. Components read the time only from the `clock_source` that
/// they are given, so that tests control it.
#ifndef DRAGONFLYVANE_CORE_CLOCK_HPP
#define DRAGONFLYVANE_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace dragonflyvane {

/// A span of monotonic time.
using duration = std::chrono::nanoseconds;
/// A moment of monotonic time; only differences between moments are meaningful.
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::nanoseconds>;

/// Returns a duration in whole milliseconds, rounded towards zero, for logs and
/// messages.
inline int64_t inMilliseconds(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

/// A source of monotonic time, which includes the time during which the machine
/// is suspended.
class clock_source {
public:
  virtual ~clock_source() = default;
  virtual time_point now() const = 0;
};

/// The kernel's `CLOCK_BOOTTIME`, which continues while the machine is
/// suspended.
class boot_clock final : public clock_source {
public:
  time_point now() const override;
};

/// A clock for tests, which moves only through `advance`.
///
///     manual_clock Clock;
///     Clock.advance(std::chrono::milliseconds(300));
class manual_clock final : public clock_source {
public:
  time_point now() const override { return Now; }
  void advance(duration Step) { Now += Step; }

private:
  time_point Now{std::chrono::hours(1)};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLOCK_HPP
