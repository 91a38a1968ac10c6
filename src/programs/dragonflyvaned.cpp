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

int run(const settings &Settings, blocked_signals &Signals) {
  event_loop Loop;
  Loop.bodyMemory().setLimit(Settings.MemoryLimit / BodyMemoryDivisor);
  metrics Metrics;
  http_client Client(Loop);
  platform::store_client Store(Client, Settings.StoreEndpoint, Metrics);
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

} // namespace

int main(int Count, char **Arguments) {
  blocked_signals Signals;
  returnFreedMemory();
  daemon_flags Flags = readDaemonFlags(Count, Arguments);
  initLogging(Flags.LogLevel);
  writeLog(log_level::Info, "starting", {{"step", "start"}});
  try {
    settings Settings = platform::readSettingsFile(Flags.ConfigPath);
    setLogHost(Settings.Host);
    return run(Settings, Signals);
  } catch (const step_error &Error) {
    writeLog(log_level::Error, Error.what(),
             {{"step", Error.step()}, {"peer", Error.peer()}});
    return Error.step() == "settings" ? UsageExitCode : 1;
  } catch (const std::exception &Error) {
    writeLog(log_level::Error, Error.what(), {{"step", "run"}});
  }
  return 1;
}
