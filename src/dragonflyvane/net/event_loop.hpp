/// The event loop of a process: posted functions, timers, signals and sockets,
/// all handled on one thread.
#ifndef DRAGONFLYVANE_NET_EVENT_LOOP_HPP
#define DRAGONFLYVANE_NET_EVENT_LOOP_HPP

#include "dragonflyvane/core/memory_budget.hpp"
#include "dragonflyvane/core/scheduler.hpp"

#include <functional>
#include <memory>

namespace dragonflyvane {

/// An event loop run by one thread.
///
///     event_loop Loop;
///     timer Once = Loop.after(std::chrono::seconds(1), [&] { Loop.stop(); });
///     Loop.run();
class event_loop final : public scheduler {
public:
  event_loop();
  ~event_loop() override;
  event_loop(const event_loop &) = delete;
  event_loop &operator=(const event_loop &) = delete;

  /// Handles posted functions, timers, signals and sockets on the calling
  /// thread until `stop` is called.
  void run();
  /// Makes `run` return. May be called from any thread.
  void stop();
  /// Queues a function to run on the loop's thread, never within this call. May
  /// be called from any thread.
  void post(std::function<void()> Work) override;
  /// Runs a function once after a delay, unless the timer is destroyed first.
  [[nodiscard]] timer after(duration Delay,
                            std::function<void()> Work) override;
  /// Runs a function periodically until the timer is destroyed. The first run
  /// is one period from now.
  [[nodiscard]] timer every(duration Period,
                            std::function<void()> Work) override;
  /// Runs a function once, on the first SIGTERM or SIGINT. Later ones are
  /// ignored.
  void onTermination(std::function<void()> Work);
  /// Runs a function on each SIGHUP, which requests a reload of the settings.
  void onReload(std::function<void()> Work);

  /// The memory for the bodies of all messages that are received on this loop;
  /// without a limit at first.
  memory_budget &bodyMemory() { return BodyMemory; }

  /// Boost.Asio objects on which the sockets of this library run.
  struct context;
  /// The context, for sources of this library.
  context &internals() { return *Context; }

private:
  memory_budget BodyMemory;
  std::unique_ptr<context> Context;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_EVENT_LOOP_HPP
