/// The `dragonflyvanectl` program: commands for the administration API of a
/// daemon.
#ifndef DRAGONFLYVANE_NODE_ADMIN_OPERATOR_TOOL_HPP
#define DRAGONFLYVANE_NODE_ADMIN_OPERATOR_TOOL_HPP

namespace dragonflyvane {

/// Runs the command in `Arguments` and returns the exit code: 0 if it
/// succeeded, 1 if the daemon refused it, 2 for wrong usage, 4 if the daemon is
/// unreachable.
int runOperatorTool(int Count, char **Arguments);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_OPERATOR_TOOL_HPP
