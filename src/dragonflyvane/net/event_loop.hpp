/// The one thread on which a daemon decides: posted functions, timers, sockets.
#ifndef DRAGONFLYVANE_NET_EVENT_LOOP_HPP
#define DRAGONFLYVANE_NET_EVENT_LOOP_HPP

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

  /// Runs until `stop`.
  void run();
  /// May be called from any thread.
  void stop();
  /// May be called from any thread.
  void post(std::function<void()> Work) override;
  [[nodiscard]] timer after(duration Delay,
                            std::function<void()> Work) override;
  [[nodiscard]] timer every(duration Period,
                            std::function<void()> Work) override;
  /// Runs a function when the process is told to end (SIGTERM, SIGINT).
  void onTermination(std::function<void()> Work);
  /// Runs a function each time the settings have changed (SIGHUP).
  void onReload(std::function<void()> Work);

  /// The sockets of this library live on the same context.
  struct context;
  context &internals() { return *Context; }

private:
  std::unique_ptr<context> Context;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_EVENT_LOOP_HPP
