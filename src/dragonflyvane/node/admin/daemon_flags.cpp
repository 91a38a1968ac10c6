#include "dragonflyvane/node/admin/daemon_flags.hpp"

#include "dragonflyvane/node/admin/flags.hpp"

#include <absl/flags/flag.h>

// All flags are declared as text, so that `rejectFlag` reports every invalid
// value in the same form, with the accepted values.
ABSL_FLAG(std::string, config, "", "path of the settings file");
ABSL_FLAG(std::string, log_level, "info",
          "lowest level that is logged: debug, info, warning or error");
ABSL_FLAG(std::string, learned_capacity, "on",
          "whether the capacity of the backend server is learned from its "
          "responses: on or off");

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
  auto Positional =
      parseFlags(Count, Arguments,
                 "dragonflyvaned: routes keyed requests to the backend server "
                 "that owns the key");
  if (!Positional.empty())
    rejectFlag("", Positional.front(), "flags only");
  return {requiredFlag("config"), logLevelFlag(),
          choiceFlag("learned_capacity", {"on", "off"}) == "on"};
}

} // namespace dragonflyvane
