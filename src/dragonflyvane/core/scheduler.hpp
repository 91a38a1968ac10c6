/// Work that is to be done later, as an interface, so that tests decide when
/// later is.
#ifndef DRAGONFLYVANE_CORE_SCHEDULER_HPP
#define DRAGONFLYVANE_CORE_SCHEDULER_HPP

#include "dragonflyvane/core/clock.hpp"

#include <functional>
#include <memory>
#include <utility>

namespace dragonflyvane {

/// Keeps a scheduled function alive; destroying or cancelling it forgets the
/// function.
class timer {
public:
  timer() = default;
  explicit timer(std::shared_ptr<void> Handle) : Handle(std::move(Handle)) {}
  void cancel() { Handle.reset(); }

private:
  std::shared_ptr<void> Handle;
};

/// Runs functions on one thread.
class scheduler {
public:
  virtual ~scheduler() = default;
  /// Runs a function soon.
  virtual void post(std::function<void()> Work) = 0;
  /// Runs a function once, unless the timer is destroyed before.
  [[nodiscard]] virtual timer after(duration Delay,
                                    std::function<void()> Work) = 0;
  /// Runs a function over and over, until the timer is destroyed.
  [[nodiscard]] virtual timer every(duration Period,
                                    std::function<void()> Work) = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_SCHEDULER_HPP
