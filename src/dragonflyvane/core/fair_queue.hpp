/// The order in which waiting requests get a slot: fair between workspaces by
/// weight, urgent ones first without starving the rest.
#ifndef DRAGONFLYVANE_CORE_FAIR_QUEUE_HPP
#define DRAGONFLYVANE_CORE_FAIR_QUEUE_HPP

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace dragonflyvane {

enum class request_class { Normal, Urgent };

/// So many urgent requests may go before a normal one that waits.
inline constexpr int UrgentRunLimit = 4;

/// Weighted fair queueing (start-time order) over workspaces, in two classes.
///
///     fair_queue<int> Queue;
///     Queue.push("ferry", 400, request_class::Normal, 17);
///     std::optional<int> Next = Queue.pop();
template <typename Item> class fair_queue {
public:
  /// A workspace of twice the weight gets twice the turns.
  void push(const std::string &Workspace, double Weight, request_class Class,
            Item Value) {
    lane &Lane = Class == request_class::Urgent ? Urgent : Normal;
    flow &Flow = Lane.Flows[Workspace];
    double Start = std::max(Lane.Virtual, Flow.LastFinish);
    Flow.LastFinish = Start + 1 / std::max(Weight, LeastWeight);
    Flow.Waiting.push_back({Start, std::move(Value)});
    ++Lane.Size;
  }

  std::optional<Item> pop() {
    bool NormalIsDue = UrgentRun >= UrgentRunLimit && Normal.Size > 0;
    bool TakeUrgent = Urgent.Size > 0 && !NormalIsDue;
    UrgentRun = TakeUrgent ? UrgentRun + 1 : 0;
    return take(TakeUrgent ? Urgent : Normal);
  }

  size_t size() const { return Urgent.Size + Normal.Size; }
  /// Requests of one workspace that wait, in both classes.
  size_t sizeOf(const std::string &Workspace) const {
    return sizeIn(Urgent, Workspace) + sizeIn(Normal, Workspace);
  }

private:
  static constexpr double LeastWeight = 1;

  struct waiting {
    double Start = 0;
    Item Value;
  };
  struct flow {
    double LastFinish = 0;
    std::deque<waiting> Waiting;
  };
  struct lane {
    double Virtual = 0;
    size_t Size = 0;
    std::map<std::string, flow> Flows;
  };

  static std::optional<Item> take(lane &Lane) {
    auto Best = Lane.Flows.end();
    for (auto It = Lane.Flows.begin(); It != Lane.Flows.end(); ++It) {
      if (It->second.Waiting.empty())
        continue;
      if (Best == Lane.Flows.end() ||
          It->second.Waiting.front().Start < Best->second.Waiting.front().Start)
        Best = It;
    }
    if (Best == Lane.Flows.end())
      return std::nullopt;
    waiting First = std::move(Best->second.Waiting.front());
    Best->second.Waiting.pop_front();
    Lane.Virtual = std::max(Lane.Virtual, First.Start);
    if (--Lane.Size == 0) {
      Lane.Flows.clear();
      Lane.Virtual = 0;
    }
    return std::move(First.Value);
  }

  static size_t sizeIn(const lane &Lane, const std::string &Workspace) {
    auto Found = Lane.Flows.find(Workspace);
    return Found == Lane.Flows.end() ? 0 : Found->second.Waiting.size();
  }

  lane Urgent;
  lane Normal;
  int UrgentRun = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_FAIR_QUEUE_HPP
