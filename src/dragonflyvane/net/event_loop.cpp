#include "dragonflyvane/net/event_loop.hpp"

#include "dragonflyvane/net/asio_context.hpp"
#include "dragonflyvane/net/run_guarded.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace dragonflyvane {

namespace {

using asio_timer = boost::asio::steady_timer;

/// A one-shot timer, or a periodic one if the period is above zero. Its handler
/// does nothing once the owning `timer` is destroyed.
struct pending_timer : std::enable_shared_from_this<pending_timer> {
  pending_timer(boost::asio::io_context &Io, std::function<void()> Work,
                duration Period)
      : Timer(Io), Work(std::move(Work)), Period(Period) {}

  void arm(duration Delay) {
    Timer.expires_after(Delay);
    Timer.async_wait([Weak = weak_from_this()](auto Error) {
      std::shared_ptr<pending_timer> Self = Weak.lock();
      if (Error || !Self)
        return;
      if (Self->Period > duration::zero())
        Self->arm(Self->Period);
      Self->Work();
    });
  }

  asio_timer Timer;
  std::function<void()> Work;
  duration Period;
};

} // namespace

event_loop::event_loop() : Context(std::make_unique<context>()) {}

event_loop::~event_loop() = default;

void event_loop::run() {
  auto Guard = boost::asio::make_work_guard(Context->Io);
  Context->Io.restart();
  // After an exception, the next run goes on with the work that is left.
  while (!runGuarded("event loop", [this] { Context->Io.run(); }))
    ;
}

void event_loop::stop() { Context->Io.stop(); }

void event_loop::post(std::function<void()> Work) {
  boost::asio::post(Context->Io, std::move(Work));
}

timer event_loop::after(duration Delay, std::function<void()> Work) {
  auto Pending = std::make_shared<pending_timer>(Context->Io, std::move(Work),
                                                 duration::zero());
  Pending->arm(Delay);
  return timer(Pending);
}

timer event_loop::every(duration Period, std::function<void()> Work) {
  auto Pending =
      std::make_shared<pending_timer>(Context->Io, std::move(Work), Period);
  Pending->arm(Period);
  return timer(Pending);
}

void event_loop::onReload(std::function<void()> Work) {
  boost::system::error_code Ignored;
  Context->ReloadSignals.add(SIGHUP, Ignored);
  Context->ReloadSignals.async_wait(
      [this, Work = std::move(Work)](auto Error, int) {
        if (Error)
          return;
        Work();
        onReload(Work);
      });
}

void event_loop::onTermination(std::function<void()> Work) {
  Context->TerminationSignals.add(SIGTERM);
  Context->TerminationSignals.add(SIGINT);
  Context->TerminationSignals.async_wait(
      [Work = std::move(Work)](auto Error, int) {
        if (!Error)
          Work();
      });
}

} // namespace dragonflyvane
