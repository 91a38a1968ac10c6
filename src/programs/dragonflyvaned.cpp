/// The daemon program, which connects the router with the platform adapter.
#include <dragonflyvane/node.hpp>
#include <platform/platform.hpp>

#include <exception>
#include <malloc.h>

namespace {

using namespace dragonflyvane;

/// Share of the process's memory that the bodies of messages may take. The rest
/// is for all other data, and for the copy that is made when a body grows.
constexpr size_t BodyMemoryDivisor = 2;
/// The platform may still be writing the settings file.
constexpr std::chrono::seconds SettingsTimeout{2};
/// An earlier process may still have the ports, for as long as it may take to
/// stop.
constexpr std::chrono::seconds PortTimeout{15};
constexpr std::chrono::milliseconds RetryPeriod{100};

int run(const settings &Settings, blocked_signals &Signals) {
  event_loop Loop;
  Loop.bodyMemory().setLimit(Settings.MemoryLimit / BodyMemoryDivisor);
  metrics Metrics;
  http_client Client(Loop);
  platform::store_client Store(Loop, Client, Settings.StoreEndpoint, Metrics);
  platform::key_call_client KeyCalls(Loop);
  dragonflyvane::daemon Daemon(
      Loop, Settings, platform::makePlatformAccess(Store, KeyCalls, Settings),
      Client, Metrics);
  platform::control_api Control(Loop, Settings, Daemon, Metrics);
  Daemon.start();
  Signals.deliver();
  Loop.run();
  return 0;
}

/// Lets the allocator return large blocks to the system when they are freed. By
/// default it keeps tens of megabytes after bodies of that size.
void returnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, 1 << 20);
  mallopt(M_TRIM_THRESHOLD, 4 << 20);
}

/// The process was asked to stop while it waited.
struct stopped_early {};

/// Runs `Attempt`, and again while it fails with a `step_error` of this step
/// and the timeout has not passed. Throws `stopped_early` on SIGTERM or SIGINT.
template <typename Function>
auto retryStep(const char *Step, duration Timeout,
               const blocked_signals &Signals, const Function &Attempt) {
  boot_clock Clock;
  for (time_point Deadline = Clock.now() + Timeout;;) {
    try {
      return Attempt();
    } catch (const step_error &Error) {
      if (Error.step() != Step || Clock.now() >= Deadline)
        throw;
      writeLog(log_level::Warning, "start waits",
               {{"step", Step}, {"reason", Error.what()}});
    }
    if (Signals.waitForTermination(RetryPeriod))
      throw stopped_early();
  }
}

} // namespace

int main(int Count, char **Arguments) {
  blocked_signals Signals;
  returnFreedMemory();
  daemon_flags Flags = readDaemonFlags(Count, Arguments);
  initLogging(Flags.LogLevel);
  writeLog(log_level::Info, "starting", {{"step", "start"}});
  try {
    settings Settings = retryStep("settings", SettingsTimeout, Signals, [&] {
      return platform::readSettingsFile(Flags.ConfigPath);
    });
    Settings.OverloadControl = Flags.OverloadControl;
    Settings.LearnedCapacity = Flags.LearnedCapacity;
    Settings.AdvertisedPeerEndpoint = Flags.PeerAdvertise;
    setLogHost(Settings.Host);
    return retryStep("listen", PortTimeout, Signals,
                     [&] { return run(Settings, Signals); });
  } catch (const stopped_early &) {
    writeLog(log_level::Info, "stopped before the start", {{"step", "stop"}});
    return 0;
  } catch (const step_error &Error) {
    writeLog(log_level::Error, Error.what(),
             {{"step", Error.step()}, {"peer", Error.peer()}});
    return Error.step() == "settings" ? UsageExitCode : 1;
  } catch (const std::exception &Error) {
    writeLog(log_level::Error, Error.what(), {{"step", "run"}});
  }
  return 1;
}
