#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A request is begun only if this part of its usual work still fits.
constexpr double LeastPart = 0.5;

} // namespace

bool admission_queue::isTooLate(const queued_request &Request, time_point Now) {
  auto Least = std::chrono::duration_cast<duration>(Request.Work * LeastPart);
  return Now + Least > Request.Deadline;
}

bool admission_queue::admits(const queued_request &Request, uint32_t Slots,
                             uint32_t Running, time_point Now,
                             duration Link) const {
  if (isTooLate(Request, Now + Link))
    return false;
  duration Start{0};
  if (Running >= Slots || !Waiting.empty())
    Start = (workAhead(Request.Priority) + Request.Work) / std::max(1U, Slots);
  bool AimHasPassed = Now + Request.Work > Request.SoftDeadline;
  if (AimHasPassed)
    return !isTooLate(Request, Now + Start + Link);
  bool IsFree = Start == duration{0} && Link == duration{0};
  return IsFree || Now + Start + Request.Work + Link <= Request.SoftDeadline;
}

duration admission_queue::workAhead(int Priority) const {
  duration Ahead{0};
  for (const auto &[Place, Other] : Waiting) {
    if (Place.first > Priority)
      break;
    Ahead += Other.Work;
  }
  return Ahead;
}

void admission_queue::push(const queued_request &Request) {
  Waiting.emplace(place{Request.Priority, Request.Id}, Request);
  Work += Request.Work;
}

std::optional<dispatch_id>
admission_queue::pop(time_point Now, std::vector<dispatch_id> &TooLate) {
  while (!Waiting.empty()) {
    queued_request First = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    Work -= First.Work;
    if (!isTooLate(First, Now))
      return First.Id;
    TooLate.push_back(First.Id);
  }
  return std::nullopt;
}

void admission_queue::remove(dispatch_id Id) {
  for (auto It = Waiting.begin(); It != Waiting.end(); ++It) {
    if (It->first.second != Id)
      continue;
    Work -= It->second.Work;
    Waiting.erase(It);
    return;
  }
}

void admission_queue::expire(time_point Now,
                             std::vector<dispatch_id> &TooLate) {
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (!isTooLate(It->second, Now)) {
      ++It;
      continue;
    }
    TooLate.push_back(It->second.Id);
    Work -= It->second.Work;
    It = Waiting.erase(It);
  }
}

} // namespace dragonflyvane
