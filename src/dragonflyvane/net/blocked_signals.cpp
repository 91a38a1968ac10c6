#include "dragonflyvane/net/blocked_signals.hpp"

namespace dragonflyvane {

blocked_signals::blocked_signals() {
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void blocked_signals::deliver() {
  pthread_sigmask(SIG_UNBLOCK, &Signals, nullptr);
}

bool blocked_signals::waitForTermination(
    std::chrono::milliseconds Timeout) const {
  sigset_t Termination = Signals;
  sigdelset(&Termination, SIGHUP);
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Timeout);
  std::chrono::nanoseconds Rest = Timeout - Seconds;
  timespec Time{Seconds.count(), Rest.count()};
  return sigtimedwait(&Termination, nullptr, &Time) > 0;
}

} // namespace dragonflyvane
