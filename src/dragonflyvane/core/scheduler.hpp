/// Deferred and periodic work, as an interface, so that tests control when it
/// runs.
#ifndef DRAGONFLYVANE_CORE_SCHEDULER_HPP
#define DRAGONFLYVANE_CORE_SCHEDULER_HPP

#include "dragonflyvane/core/clock.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace dragonflyvane {

/// Owns a scheduled function. Destroying or cancelling the timer cancels the
/// function.
class timer {
public:
  timer() = default;
  explicit timer(std::shared_ptr<void> Handle) : Handle(std::move(Handle)) {}
  void cancel() { Handle.reset(); }

private:
  std::shared_ptr<void> Handle;
};

/// Schedules functions, and runs all of them on the same thread.
class scheduler {
public:
  virtual ~scheduler() = default;
  /// Runs a function as soon as possible, but not within this call.
  virtual void post(std::function<void()> Work) = 0;
  /// Runs a function once after a delay, unless the timer is destroyed or
  /// cancelled earlier.
  [[nodiscard]] virtual timer after(duration Delay,
                                    std::function<void()> Work) = 0;
  /// Runs a function once per period until the timer is destroyed or cancelled.
  [[nodiscard]] virtual timer every(duration Period,
                                    std::function<void()> Work) = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_SCHEDULER_HPP
