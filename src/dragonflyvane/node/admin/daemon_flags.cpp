#include "dragonflyvane/node/admin/daemon_flags.hpp"

#include "dragonflyvane/node/admin/flags.hpp"

#include <absl/flags/flag.h>

// All flags are declared as text, so that `rejectFlag` reports every invalid
// value in the same form, with the accepted values.
ABSL_FLAG(std::string, config, "", "path of the settings file");
ABSL_FLAG(std::string, log_level, "info",
          "lowest level that is logged: debug, info, warning or error");
ABSL_FLAG(std::string, overload_control, "off",
          "whether requests are ordered and refused by the deadlines that they "
          "can still meet: auto, on or off; auto is on without workspaces");
ABSL_FLAG(std::string, learned_capacity, "off",
          "whether the concurrency limit and the speed of backend servers are "
          "learned from their responses: auto, on or off; auto is on without "
          "workspaces");
ABSL_FLAG(std::string, peer_advertise, "",
          "IP:PORT at which other daemons reach this one; if empty, the "
          "address on which it listens for them");

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

feature_mode featureFlag(const std::string &Name) {
  std::string Mode = choiceFlag(Name, {"auto", "on", "off"});
  if (Mode == "auto")
    return feature_mode::Automatic;
  return Mode == "on" ? feature_mode::On : feature_mode::Off;
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
          featureFlag("overload_control"), featureFlag("learned_capacity"),
          optionalEndpointFlag("peer_advertise")};
}

} // namespace dragonflyvane
