#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A request is started only if at least this fraction of its expected
/// processing time remains before its deadline.
constexpr double MinTimeLeftFraction = 0.5;

} // namespace

bool admission_queue::isTooLate(const queued_request &Request, time_point Now) {
  auto MinTimeLeft = std::chrono::duration_cast<duration>(
      Request.ProcessingTime * MinTimeLeftFraction);
  return Now + MinTimeLeft > Request.Deadline;
}

bool admission_queue::admits(const queued_request &Request, uint32_t Slots,
                             uint32_t Running, time_point Now,
                             duration LinkTime, duration TokenDelay) const {
  if (isTooLate(Request, Now + LinkTime + TokenDelay))
    return false;
  duration StartDelay = TokenDelay;
  if (Running >= Slots || !Waiting.empty())
    StartDelay =
        std::max<duration>(StartDelay, (processingTimeAhead(Request.Priority) +
                                        Request.ProcessingTime) /
                                           std::max(1U, Slots));
  bool MissesSoftDeadline = Now + Request.ProcessingTime > Request.SoftDeadline;
  if (MissesSoftDeadline)
    return !isTooLate(Request, Now + StartDelay + LinkTime);
  bool RespondsWithoutDelay =
      StartDelay == duration{0} && LinkTime == duration{0};
  return RespondsWithoutDelay ||
         Now + StartDelay + Request.ProcessingTime + LinkTime <=
             Request.SoftDeadline;
}

duration admission_queue::processingTimeAhead(int Priority) const {
  duration Ahead{0};
  for (const auto &[Key, Other] : Waiting) {
    if (Key.first > Priority)
      break;
    Ahead += Other.ProcessingTime;
  }
  return Ahead;
}

size_t admission_queue::countAhead(int Priority) const {
  auto End = Waiting.lower_bound({Priority + 1, 0});
  return static_cast<size_t>(std::distance(Waiting.begin(), End));
}

void admission_queue::push(const queued_request &Request) {
  Waiting.emplace(queue_key{Request.Priority, Request.Id}, Request);
  QueuedProcessingTime += Request.ProcessingTime;
}

std::optional<dispatch_id>
admission_queue::pop(time_point Now, std::vector<dispatch_id> &TooLate) {
  while (!Waiting.empty()) {
    queued_request First = Waiting.begin()->second;
    Waiting.erase(Waiting.begin());
    QueuedProcessingTime -= First.ProcessingTime;
    if (!isTooLate(First, Now))
      return First.Id;
    TooLate.push_back(First.Id);
  }
  return std::nullopt;
}

bool admission_queue::remove(dispatch_id Id) {
  for (auto It = Waiting.begin(); It != Waiting.end(); ++It) {
    if (It->first.second != Id)
      continue;
    QueuedProcessingTime -= It->second.ProcessingTime;
    Waiting.erase(It);
    return true;
  }
  return false;
}

void admission_queue::expire(time_point Now, std::vector<dispatch_id> &TooLate,
                             const start_delay &DelayOf) {
  size_t Position = 0;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (!isTooLate(It->second, Now + DelayOf(Position))) {
      ++It;
      ++Position;
      continue;
    }
    TooLate.push_back(It->second.Id);
    QueuedProcessingTime -= It->second.ProcessingTime;
    It = Waiting.erase(It);
  }
}

} // namespace dragonflyvane
