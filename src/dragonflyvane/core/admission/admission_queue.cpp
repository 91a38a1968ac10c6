#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A request is started only if at least this fraction of its expected
/// processing time remains before its deadline.
constexpr double MinTimeLeftFraction = 0.5;
/// Lower bound of the share of the slots that is expected to be left over by
/// requests that go first. It keeps the expected delay finite.
constexpr double MinShareLeft = 0.02;

} // namespace

bool admission_queue::isTooLate(const queued_request &Request, time_point Now) {
  auto MinTimeLeft = std::chrono::duration_cast<duration>(
      Request.ProcessingTime * MinTimeLeftFraction);
  return Now + MinTimeLeft > Request.Deadline;
}

bool admission_queue::missesSoftDeadline(const queued_request &Request,
                                         time_point Now) {
  return Request.SoftDeadline < Request.Deadline &&
         Now + Request.ProcessingTime > Request.SoftDeadline;
}

duration admission_queue::expectedDelay(const queue_key &Key,
                                        duration WorkAhead, uint32_t Slots,
                                        time_point Now) const {
  double Overtaking = Demand.admittedBefore(Key.Priority, Now);
  if (Key.Class == queue_class::Late)
    Overtaking += Demand.inTimeOf(Key.Priority, Now);
  double SlotCount = std::max(1U, Slots);
  double SlotsLeft = std::max(SlotCount - Overtaking, SlotCount * MinShareLeft);
  return std::chrono::duration_cast<duration>(WorkAhead / SlotsLeft);
}

std::optional<queue_class>
admission_queue::admits(const queued_request &Request, uint32_t Slots,
                        uint32_t Running, time_point Now, duration LinkTime,
                        const start_delay &DelayOf) const {
  bool HasFreeSlot = Running < Slots && Waiting.empty();
  auto StartDelay = [&](queue_class Class) {
    requests_ahead Ahead = countAhead(Request.Priority, Class);
    duration TokenDelay = DelayOf(Ahead.Count);
    if (HasFreeSlot)
      return TokenDelay;
    queue_key Key{Request.Priority, Class, Request.Id};
    duration Work = Ahead.ProcessingTime + Request.ProcessingTime;
    return std::max(TokenDelay, expectedDelay(Key, Work, Slots, Now));
  };
  bool HasSoftTimeout = Request.SoftDeadline < Request.Deadline;
  duration Delay = StartDelay(queue_class::InTime);
  // A queue that is filled up to the expected time would serve half of its
  // requests late.
  bool NeedsReserve = HasSoftTimeout && Delay > duration{0};
  duration Reserve = NeedsReserve ? Request.Deviation : duration{0};
  duration UntilResponse = Delay + Request.ProcessingTime + Reserve + LinkTime;
  if (Now + UntilResponse <= Request.SoftDeadline)
    return queue_class::InTime;
  bool WouldMeetIt = Now + Request.ProcessingTime <= Request.SoftDeadline;
  // Late responses on a link that is too slow would delay those in time.
  bool IsLinkTooSlow = WouldMeetIt && Now + Request.ProcessingTime + LinkTime >
                                          Request.SoftDeadline;
  if (IsLinkTooSlow || (WouldMeetIt && !HasSoftTimeout))
    return std::nullopt;
  queue_class Class = HasSoftTimeout ? queue_class::Late : queue_class::InTime;
  if (isTooLate(Request, Now + StartDelay(Class) + LinkTime))
    return std::nullopt;
  return Class;
}

std::optional<queue_class>
admission_queue::offer(const queued_request &Request, uint32_t Slots,
                       uint32_t Running, time_point Now, duration LinkTime,
                       const start_delay &DelayOf) {
  Demand.recordArrival(Request.Priority, Request.ProcessingTime,
                       !missesSoftDeadline(Request, Now), Now);
  auto Class = admits(Request, Slots, Running, Now, LinkTime, DelayOf);
  if (!Class)
    return std::nullopt;
  Demand.recordAdmission(Request.Priority, Request.ProcessingTime, Now);
  push(Request, *Class);
  return Class;
}

admission_queue::requests_ahead
admission_queue::countAhead(int Priority, queue_class Class) const {
  requests_ahead Ahead;
  for (const auto &[Key, Other] : Waiting) {
    bool IsBehind = Key.Priority > Priority ||
                    (Key.Priority == Priority && Key.Class > Class);
    if (IsBehind)
      break;
    ++Ahead.Count;
    Ahead.ProcessingTime += Other.ProcessingTime;
  }
  return Ahead;
}

void admission_queue::push(const queued_request &Request, queue_class Class) {
  Waiting.emplace(queue_key{Request.Priority, Class, Request.Id}, Request);
  QueuedProcessingTime += Request.ProcessingTime;
}

admission_queue::queue_map::iterator
admission_queue::erase(queue_map::iterator Position) {
  QueuedProcessingTime -= Position->second.ProcessingTime;
  return Waiting.erase(Position);
}

void admission_queue::demoteLate(time_point Now) {
  std::vector<queued_request> Demoted;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    bool IsDemoted =
        It->first.Class == queue_class::InTime &&
        missesSoftDeadline(It->second, Now + It->second.Deviation);
    if (!IsDemoted) {
      ++It;
      continue;
    }
    Demoted.push_back(It->second);
    It = erase(It);
  }
  for (const queued_request &Request : Demoted)
    push(Request, queue_class::Late);
}

std::optional<dispatch_id>
admission_queue::pop(time_point Now, std::vector<dispatch_id> &TooLate) {
  demoteLate(Now);
  while (!Waiting.empty()) {
    queued_request First = Waiting.begin()->second;
    erase(Waiting.begin());
    if (!isTooLate(First, Now))
      return First.Id;
    TooLate.push_back(First.Id);
  }
  return std::nullopt;
}

bool admission_queue::remove(dispatch_id Id) {
  auto Found = std::ranges::find_if(
      Waiting, [Id](const auto &Entry) { return Entry.first.Id == Id; });
  if (Found == Waiting.end())
    return false;
  erase(Found);
  return true;
}

void admission_queue::expire(time_point Now, std::vector<dispatch_id> &TooLate,
                             const start_delay &DelayOf) {
  demoteLate(Now);
  size_t Position = 0;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    if (!isTooLate(It->second, Now + DelayOf(Position))) {
      ++It;
      ++Position;
      continue;
    }
    TooLate.push_back(It->second.Id);
    It = erase(It);
  }
}

std::vector<dispatch_id> admission_queue::takeDisplaced(uint32_t Slots,
                                                        time_point Now) {
  demoteLate(Now);
  std::vector<dispatch_id> Displaced;
  duration WorkAhead{0};
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    duration Delay = expectedDelay(It->first, WorkAhead, Slots, Now);
    if (!isTooLate(It->second, Now + Delay)) {
      WorkAhead += It->second.ProcessingTime;
      ++It;
      continue;
    }
    Displaced.push_back(It->second.Id);
    It = erase(It);
  }
  return Displaced;
}

} // namespace dragonflyvane
