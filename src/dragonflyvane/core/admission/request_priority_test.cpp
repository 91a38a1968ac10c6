#include "dragonflyvane/core/admission/admission_queue.hpp"
#include "dragonflyvane/core/admission/request_priority.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

int priority(int WorkspacePriority, int RoutePriority) {
  workspace Workspace;
  Workspace.Priority = WorkspacePriority;
  route Route;
  Route.Priority = RoutePriority;
  return priorityOf(Workspace, Route);
}

} // namespace

TEST_CASE("the workspace's priority goes before the route's") {
  CHECK(priority(0, 5) < priority(1, 0));
  CHECK(priority(1, 0) < priority(1, 2));
  CHECK(priority(-1, 0) < priority(1, 3));
  CHECK(priority(-1, 2) > priority(1, 3));
  CHECK(InternalPriority < priority(0, 0));
  CHECK(priorityOfNestedCall(priority(1, 1)) < priority(1, 1));
  CHECK(priorityOfNestedCall(priority(1, 1)) > priority(0, 0));
  CHECK(priorityOfNestedCall(InternalPriority) == InternalPriority);
}

// Load pattern: long requests that may wait for seconds share a service with
// short urgent ones of the same workspaces. In order of arrival the long ones
// filled the queue, and the urgent ones were refused.
TEST_CASE("an urgent request is admitted before queued long ones of the same "
          "workspace priority") {
  manual_clock Clock;
  admission_queue Queue;
  time_point Now = Clock.now();
  constexpr uint32_t Slots = 6;
  for (dispatch_id Id = 1; Id <= 12; ++Id)
    Queue.push({Id, priority(1, 2), Now + milliseconds(5000),
                Now + milliseconds(2000), milliseconds(640)});
  queued_request Urgent{13, priority(1, 0), Now + milliseconds(800),
                        Now + milliseconds(300), milliseconds(110)};
  CHECK(Queue.admits(Urgent, Slots, Slots, Now, duration{0}));
  Queue.push(Urgent);
  std::vector<dispatch_id> TooLate;
  CHECK(Queue.pop(Now, TooLate) == 13);
}
