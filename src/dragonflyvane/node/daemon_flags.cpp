#include "dragonflyvane/node/daemon_flags.hpp"

#include "dragonflyvane/node/flags.hpp"

#include <absl/flags/flag.h>

// Every flag is a text here, so that each is checked in one way and a wrong
// one is told with what is accepted.
ABSL_FLAG(std::string, config, "", "path of the settings file");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warning or error");

namespace dragonflyvane {

namespace {

log_level logLevelFlag() {
  std::string Name =
      choiceFlag("log_level", {"debug", "info", "warning", "error"});
  if (Name == "debug")
    return log_level::Debug;
  if (Name == "info")
    return log_level::Info;
  return Name == "warning" ? log_level::Warning : log_level::Error;
}

} // namespace

daemon_flags readDaemonFlags(int Count, char **Arguments) {
  auto Rest = parseFlags(Count, Arguments,
                         "dragonflyvaned: routes keyed requests to the server "
                         "that owns the key");
  if (!Rest.empty())
    rejectFlag("", Rest.front(), "flags only");
  return {requiredFlag("config"), logLevelFlag()};
}

} // namespace dragonflyvane
