/// The daemon's flags.
#ifndef DRAGONFLYVANE_NODE_DAEMON_FLAGS_HPP
#define DRAGONFLYVANE_NODE_DAEMON_FLAGS_HPP

#include "dragonflyvane/net/log.hpp"

#include <string>

namespace dragonflyvane {

/// What the command line or the variables say.
struct daemon_flags {
  /// The settings file.
  std::string ConfigPath;
  log_level LogLevel = log_level::Info;
};

/// Reads and checks them; exits with code 2 when one is wrong.
daemon_flags readDaemonFlags(int Count, char **Arguments);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_DAEMON_FLAGS_HPP
