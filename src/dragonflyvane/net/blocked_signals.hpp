/// Keeps signals pending while a process starts.
#ifndef DRAGONFLYVANE_NET_BLOCKED_SIGNALS_HPP
#define DRAGONFLYVANE_NET_BLOCKED_SIGNALS_HPP

#include <chrono>
#include <csignal>

namespace dragonflyvane {

/// Blocks SIGTERM, SIGINT and SIGHUP, each of which ends a process that does
/// not handle it yet. The kernel keeps them until `deliver`.
///
///     blocked_signals Signals;
///     Loop.onTermination([&] { Loop.stop(); });
///     Signals.deliver();
class blocked_signals {
public:
  blocked_signals();
  /// Unblocks the signals. To be called once they have handlers.
  void deliver();
  /// Waits for a while. Returns true at once if SIGTERM or SIGINT arrives,
  /// which is consumed.
  bool waitForTermination(std::chrono::milliseconds Timeout) const;

private:
  sigset_t Signals;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_BLOCKED_SIGNALS_HPP
