/// The daemon program, which connects the router with the platform adapter.
#include <dragonflyvane/node.hpp>
#include <platform/platform.hpp>

#include <exception>

namespace {

using namespace dragonflyvane;

int run(const settings &Settings) {
  event_loop Loop;
  metrics Metrics;
  http_client Client(Loop);
  platform::store_client Store(Client, Settings.StoreEndpoint, Metrics);
  platform::key_call_client KeyCalls(Loop);
  dragonflyvane::daemon Daemon(
      Loop, Settings, platform::makePlatformAccess(Store, KeyCalls, Settings),
      Client, Metrics);
  platform::control_api Control(Loop, Settings, Daemon, Metrics);
  Daemon.start();
  Loop.run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  daemon_flags Flags = readDaemonFlags(Count, Arguments);
  initLogging(Flags.LogLevel);
  try {
    settings Settings = platform::readSettingsFile(Flags.ConfigPath);
    setLogHost(Settings.Host);
    return run(Settings);
  } catch (const step_error &Error) {
    writeLog(log_level::Error, Error.what(),
             {{"step", Error.step()}, {"peer", Error.peer()}});
    return Error.step() == "settings" ? UsageExitCode : 1;
  } catch (const std::exception &Error) {
    writeLog(log_level::Error, Error.what(), {{"step", "run"}});
  }
  return 1;
}
