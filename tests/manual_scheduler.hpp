/// A scheduler and a clock for tests, which advance only through `runFor`.
#ifndef DRAGONFLYVANE_TESTS_MANUAL_SCHEDULER_HPP
#define DRAGONFLYVANE_TESTS_MANUAL_SCHEDULER_HPP

#include "dragonflyvane/core/scheduler.hpp"

#include <map>

namespace dragonflyvane {

/// Runs scheduled functions in the order of their times. Functions of the same
/// time run in the order in which they were scheduled.
///
///     manual_scheduler Loop;
///     Loop.runFor(std::chrono::seconds(3));
class manual_scheduler final : public scheduler {
public:
  manual_scheduler() = default;
  manual_scheduler(const manual_scheduler &) = delete;
  manual_scheduler &operator=(const manual_scheduler &) = delete;
  ~manual_scheduler() override { clear(); }

  /// Discards all scheduled functions, including those that are scheduled while
  /// discarded functions are destroyed.
  void clear() {
    while (!Queue.empty())
      std::exchange(Queue, {});
  }

  const clock_source &clock() const { return Clock; }
  time_point now() const { return Clock.now(); }

  void post(std::function<void()> Work) override {
    add(Clock.now(), std::move(Work));
  }

  /// Runs a function once after a delay; it cannot be cancelled.
  void postDelayed(duration Delay, std::function<void()> Work) {
    add(Clock.now() + Delay, std::move(Work));
  }

  timer after(duration Delay, std::function<void()> Work) override {
    auto Handle = std::make_shared<std::function<void()>>(std::move(Work));
    std::weak_ptr<std::function<void()>> Weak = Handle;
    add(Clock.now() + Delay, [Weak] {
      if (auto Function = Weak.lock())
        (*Function)();
    });
    return timer(Handle);
  }

  timer every(duration Period, std::function<void()> Work) override {
    auto Handle = std::make_shared<std::function<void()>>(std::move(Work));
    repeat(Period, Handle);
    return timer(Handle);
  }

  /// Advances the clock by a span, and runs each function that becomes due
  /// within the span at its time.
  void runFor(duration Span) {
    time_point End = Clock.now() + Span;
    while (!Queue.empty() && Queue.begin()->first <= End) {
      auto First = Queue.begin();
      if (First->first > Clock.now())
        Clock.advance(First->first - Clock.now());
      std::function<void()> Work = std::move(First->second);
      Queue.erase(First);
      Work();
    }
    Clock.advance(End - Clock.now());
  }

private:
  void add(time_point At, std::function<void()> Work) {
    Queue.emplace(At, std::move(Work));
  }

  void repeat(duration Period,
              const std::weak_ptr<std::function<void()>> &Weak) {
    add(Clock.now() + Period, [this, Period, Weak] {
      auto Function = Weak.lock();
      if (!Function)
        return;
      repeat(Period, Weak);
      (*Function)();
    });
  }

  manual_clock Clock;
  std::multimap<time_point, std::function<void()>> Queue;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_MANUAL_SCHEDULER_HPP
