/// Flags with `DRAGONFLYVANE_*` variables behind them, for every program.
#ifndef DRAGONFLYVANE_NODE_FLAGS_HPP
#define DRAGONFLYVANE_NODE_FLAGS_HPP

#include "dragonflyvane/net/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Exit code for wrong flags, variables or arguments.
inline constexpr int UsageExitCode = 2;

/// Reads the flags; a variable `DRAGONFLYVANE_NAME` stands in for a flag that
/// is not given. A wrong one is named on standard error with its value and what
/// is accepted, and the process exits with `UsageExitCode`. Returns the
/// positional arguments.
std::vector<std::string> parseFlags(int Count, char **Arguments,
                                    const std::string &Usage);

/// The text of a flag.
std::string flagValue(const std::string &Name);

/// Checked readings of a flag's text; they exit as `parseFlags` does.
std::string requiredFlag(const std::string &Name);
int64_t integerFlag(const std::string &Name, int64_t Low, int64_t High);
double doubleFlag(const std::string &Name, double Low, double High);
std::string choiceFlag(const std::string &Name,
                       const std::vector<std::string> &Choices);
endpoint endpointFlag(const std::string &Name);
std::string addressFlag(const std::string &Name);
std::chrono::milliseconds millisecondsFlag(const std::string &Name, int64_t Low,
                                           int64_t High);

/// Ends the process because of a flag.
[[noreturn]] void rejectFlag(const std::string &Name, const std::string &Value,
                             const std::string &Accepted);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_FLAGS_HPP
