/// The priority of a request, from its workspace and its route.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_REQUEST_PRIORITY_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_REQUEST_PRIORITY_HPP

#include "dragonflyvane/core/configuration/configuration.hpp"

#include <algorithm>

namespace dragonflyvane {

/// Number of route priorities that are told apart within one workspace
/// priority.
inline constexpr int RoutePriorityLevels = 100;

/// Priority of calls between backend servers, which are requests without a
/// caller key on routes that allow anonymous requests. Requests of callers wait
/// for the results of these calls, so the calls go first.
inline constexpr int InternalPriority = -1;

/// Returns the priority of a request of a workspace on a route; the smallest is
/// the most urgent. The priority of the workspace goes first, then that of the
/// route. A workspace without a priority has that of the route.
inline int priorityOf(const workspace &Workspace, const route &Route) {
  int First = Workspace.Priority >= 0 ? Workspace.Priority
                                      : std::max(0, Route.Priority);
  int Second = std::clamp(Route.Priority, 0, RoutePriorityLevels - 1);
  return First * RoutePriorityLevels + Second;
}

/// Returns the priority of a nested call of a request with the given priority.
/// It goes just ahead of callers' requests of that priority, since its parent
/// holds a slot already.
inline int priorityOfNestedCall(int ParentPriority) {
  return std::max(InternalPriority, ParentPriority - 1);
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_REQUEST_PRIORITY_HPP
