/// Command-line flags of all programs, with `DRAGONFLYVANE_*` environment
/// variables as fallback.
#ifndef DRAGONFLYVANE_NODE_ADMIN_FLAGS_HPP
#define DRAGONFLYVANE_NODE_ADMIN_FLAGS_HPP

#include "dragonflyvane/core/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Exit code for invalid flags, environment variables or arguments.
inline constexpr int UsageExitCode = 2;

/// Parses the flags and returns the positional arguments. The environment
/// variable `DRAGONFLYVANE_NAME` applies if the flag `name` is not given. An
/// invalid value ends the process as described at `rejectFlag`.
std::vector<std::string> parseFlags(int Count, char **Arguments,
                                    const std::string &Usage);

/// Returns the value of a flag as text, unchecked.
std::string flagValue(const std::string &Name);

// The functions up to `millisecondsFlag` check the value and call `rejectFlag`
// if it is invalid.

/// Returns a text that is not empty.
std::string requiredFlag(const std::string &Name);
/// Returns a whole number from `Min` to `Max`.
int64_t integerFlag(const std::string &Name, int64_t Min, int64_t Max);
/// Returns a number from `Min` to `Max`.
double doubleFlag(const std::string &Name, double Min, double Max);
/// Returns one of the choices.
std::string choiceFlag(const std::string &Name,
                       const std::vector<std::string> &Choices);
/// Returns an IP address and port, given as `IP:PORT`.
endpoint endpointFlag(const std::string &Name);
/// Returns an IP address and port, or nothing if the flag is empty.
std::optional<endpoint> optionalEndpointFlag(const std::string &Name);
/// Returns an IP address without a port.
std::string addressFlag(const std::string &Name);
/// Returns a duration, given as a whole number of milliseconds from `Min` to
/// `Max`.
std::chrono::milliseconds millisecondsFlag(const std::string &Name, int64_t Min,
                                           int64_t Max);

/// Prints the flag, its value and the accepted values to standard error, and
/// exits with `UsageExitCode`.
[[noreturn]] void rejectFlag(const std::string &Name, const std::string &Value,
                             const std::string &Accepted);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_FLAGS_HPP
