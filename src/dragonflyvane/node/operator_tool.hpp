/// `dragonflyvanectl`: what operators ask a daemon's administration API.
#ifndef DRAGONFLYVANE_NODE_OPERATOR_TOOL_HPP
#define DRAGONFLYVANE_NODE_OPERATOR_TOOL_HPP

namespace dragonflyvane {

/// Exit codes: 0 done, 1 the daemon refused, 2 wrong usage, 4 the daemon cannot
/// be reached.
int runOperatorTool(int Count, char **Arguments);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_OPERATOR_TOOL_HPP
