/// Command-line flags of the daemon.
#ifndef DRAGONFLYVANE_NODE_ADMIN_DAEMON_FLAGS_HPP
#define DRAGONFLYVANE_NODE_ADMIN_DAEMON_FLAGS_HPP

#include "dragonflyvane/core/configuration/feature_switch.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/net/log.hpp"

#include <optional>
#include <string>

namespace dragonflyvane {

/// Values of the flags, from the command line or environment variables.
struct daemon_flags {
  /// Path of the settings file.
  std::string ConfigPath;
  /// Messages below this level are not logged.
  log_level LogLevel = log_level::Info;
  feature_mode OverloadControl = feature_mode::Off;
  feature_mode LearnedCapacity = feature_mode::Automatic;
  /// Where other daemons reach this one, if not where it listens.
  std::optional<endpoint> PeerAdvertise;
};

/// Parses and checks the flags; exits with code 2 if one is invalid.
daemon_flags readDaemonFlags(int Count, char **Arguments);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_DAEMON_FLAGS_HPP
