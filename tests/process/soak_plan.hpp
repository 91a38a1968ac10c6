/// What happens in a run of the soak, and when.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_SOAK_PLAN_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_SOAK_PLAN_HPP

#include "dragonflyvane/core/clock.hpp"

#include <chrono>
#include <random>
#include <vector>

namespace dragonflyvane {

enum class soak_action {
  /// SIGTERM of a daemon, also of one that ends already.
  Stop,
  /// SIGHUP of a daemon.
  Reload,
  /// SIGSTOP of a daemon, and SIGCONT after `PauseTime`.
  Pause,
  /// A new version of the configuration.
  Configure,
  /// A server is asked to leave.
  StopServer,
};

/// Returns the name of an action, for logs.
const char *nameOf(soak_action Action);

struct soak_step {
  /// Since the start of the run.
  duration At{0};
  soak_action Action = soak_action::Stop;
  int Host = 0;
};

/// Shorter than the time after which a connection counts as broken.
constexpr std::chrono::milliseconds PauseTime{100};

/// Draws the steps of a run: planned stops, some of which overlap or are
/// signalled twice, and in some runs reloads, pauses, configurations and
/// servers that leave. The steps are in order of their times.
std::vector<soak_step> drawPlan(std::mt19937 &Random, int HostCount,
                                duration RunTime);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_SOAK_PLAN_HPP
