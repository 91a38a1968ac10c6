/// Monotonic time. No component reads a clock of its own: it is handed a
/// `clock_source`, so that tests decide what time it is.
#ifndef DRAGONFLYVANE_CORE_CLOCK_HPP
#define DRAGONFLYVANE_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace dragonflyvane {

using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock,
                                           std::chrono::nanoseconds>;

/// Whole milliseconds, for logs and messages.
inline int64_t inMilliseconds(duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

/// A source of monotonic time. Time spent suspended counts.
class clock_source {
public:
  virtual ~clock_source() = default;
  virtual time_point now() const = 0;
};

/// The machine's boot-time clock, which goes on during a suspend.
class boot_clock final : public clock_source {
public:
  time_point now() const override;
};

/// A clock that moves only when told to.
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
