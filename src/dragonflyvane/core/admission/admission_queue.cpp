#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace dragonflyvane {

namespace {

/// A request is started only if at least this fraction of its expected
/// processing time remains before its deadline.
constexpr double MinTimeLeftFraction = 0.5;
/// Lower bound of the share of the slots that is expected to be left over by
/// requests that go first. It keeps the expected delay finite.
constexpr double MinShareLeft = 0.02;
/// The floor of a priority with a smaller share of the slots is not counted on.
constexpr double MinFloorShare = 0.0005;
constexpr dispatch_id MaxId = std::numeric_limits<dispatch_id>::max();

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

duration admission_queue::expectedDelay(const queued_request &Request,
                                        queue_class Class,
                                        const requests_ahead &Ahead,
                                        uint32_t Slots, time_point Now) const {
  double SlotCount = std::max(1U, Slots);
  duration Work = Ahead.ProcessingTime + Request.ProcessingTime;
  auto InTurn = std::chrono::duration_cast<duration>(
      Work / slotsLeft(Request.Priority, Class, SlotCount, Now));
  return std::min(
      InTurn, delayByFloor(Request, Class, Ahead.OfPriority, SlotCount, Now));
}

double admission_queue::slotsLeft(int Priority, queue_class Class, double Slots,
                                  time_point Now) const {
  double Overtaking = Demand.admittedBefore(Priority, Now);
  if (Class == queue_class::Late)
    Overtaking += Demand.inTimeOf(Priority, Now);
  return std::max(Slots - Overtaking, Slots * MinShareLeft);
}

room_forecast admission_queue::forecast(int Priority, uint32_t Slots,
                                        time_point Now) const {
  double SlotCount = std::max(1U, Slots);
  duration Work = countAhead(Priority, queue_class::Late).ProcessingTime;
  double Left = slotsLeft(Priority, queue_class::Late, SlotCount, Now);
  return {std::chrono::duration_cast<duration>(Work / Left), Left};
}

duration admission_queue::delayByFloor(const queued_request &Request,
                                       queue_class Class, duration WorkAhead,
                                       double Slots, time_point Now) const {
  std::map<int, double> Shares = Demand.shares(Now);
  auto Share = Shares.find(Request.Priority);
  if (Share == Shares.end())
    return duration::max();
  double FloorSlots = Slots * Share->second * priority_floor::FractionOfShare;
  if (Class == queue_class::Late)
    FloorSlots -= Demand.inTimeOf(Request.Priority, Now);
  if (FloorSlots < Slots * MinFloorShare)
    return duration::max();
  duration Work = WorkAhead + Request.ProcessingTime;
  duration Missing =
      std::max(duration{0}, Work - Floor.creditOf(Request.Priority));
  auto UntilSlotIsFree = Request.ProcessingTime / Slots;
  return std::chrono::duration_cast<duration>(Missing / FloorSlots +
                                              UntilSlotIsFree);
}

std::optional<queue_class>
admission_queue::admits(const queued_request &Request, uint32_t Slots,
                        uint32_t Running, time_point Now, duration LinkTime,
                        const start_delay &DelayOf) const {
  if (Policy == queue_policy::Arrival)
    return admitsByArrival(Request, Slots, Running, Now, LinkTime, DelayOf)
               ? std::optional(queue_class::InTime)
               : std::nullopt;
  bool HasFreeSlot = Running < Slots && Waiting.empty();
  auto StartDelay = [&](queue_class Class) {
    requests_ahead Ahead = countAhead(Request.Priority, Class);
    duration TokenDelay = DelayOf(Ahead.Count);
    if (HasFreeSlot)
      return TokenDelay;
    return std::max(TokenDelay,
                    expectedDelay(Request, Class, Ahead, Slots, Now));
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

bool admission_queue::admitsByArrival(const queued_request &Request,
                                      uint32_t Slots, uint32_t Running,
                                      time_point Now, duration LinkTime,
                                      const start_delay &DelayOf) const {
  requests_ahead Ahead = countAhead(Request.Priority, queue_class::Late);
  duration StartDelay = DelayOf(Ahead.Count);
  if (isTooLate(Request, Now + LinkTime + StartDelay))
    return false;
  if (Running >= Slots || !Waiting.empty())
    StartDelay = std::max<duration>(
        StartDelay,
        (Ahead.ProcessingTime + Request.ProcessingTime) / std::max(1U, Slots));
  bool MissesSoftDeadline = Now + Request.ProcessingTime > Request.SoftDeadline;
  if (MissesSoftDeadline)
    return !isTooLate(Request, Now + StartDelay + LinkTime);
  bool RespondsWithoutDelay =
      StartDelay == duration{0} && LinkTime == duration{0};
  return RespondsWithoutDelay ||
         Now + StartDelay + Request.ProcessingTime + LinkTime <=
             Request.SoftDeadline;
}

std::optional<queue_class>
admission_queue::offer(const queued_request &Request, uint32_t Slots,
                       uint32_t Running, time_point Now, duration LinkTime,
                       const start_delay &DelayOf) {
  bool IsCounted = Policy == queue_policy::Usefulness;
  if (IsCounted)
    Demand.recordArrival(Request.Priority, Request.ProcessingTime,
                         !missesSoftDeadline(Request, Now), Now);
  auto Class = admits(Request, Slots, Running, Now, LinkTime, DelayOf);
  if (!Class)
    return std::nullopt;
  if (IsCounted)
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
    if (Key.Priority == Priority)
      Ahead.OfPriority += Other.ProcessingTime;
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
  if (Policy == queue_policy::Arrival)
    return;
  std::vector<queued_request> Demoted;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    bool IsDemoted = It->first.Class == queue_class::InTime &&
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

admission_queue::queue_map::iterator admission_queue::nextToRun() {
  if (Policy == queue_policy::Arrival)
    return Waiting.begin();
  auto Head = Waiting.begin();
  while (Head != Waiting.end()) {
    int Priority = Head->first.Priority;
    if (Floor.creditOf(Priority) >= Head->second.ProcessingTime)
      return Head;
    Head = Waiting.upper_bound({Priority, queue_class::Late, MaxId});
  }
  return Waiting.begin();
}

std::optional<dispatch_id>
admission_queue::pop(time_point Now, std::vector<dispatch_id> &TooLate) {
  demoteLate(Now);
  while (!Waiting.empty()) {
    auto Next = nextToRun();
    queued_request Request = Next->second;
    erase(Next);
    if (isTooLate(Request, Now)) {
      TooLate.push_back(Request.Id);
      continue;
    }
    if (Policy == queue_policy::Usefulness)
      Floor.onStart(Request.Priority, Request.ProcessingTime, Demand, Now);
    return Request.Id;
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
  if (Policy == queue_policy::Arrival)
    return {};
  demoteLate(Now);
  std::vector<dispatch_id> Displaced;
  requests_ahead Ahead;
  queue_key Previous{-1, queue_class::Late, 0};
  double SlotCount = std::max(1U, Slots);
  double Left = SlotCount;
  for (auto It = Waiting.begin(); It != Waiting.end();) {
    const auto &[Key, Request] = *It;
    if (Key.Priority != Previous.Priority)
      Ahead.OfPriority = duration{0};
    if (It == Waiting.begin() || Key.Priority != Previous.Priority ||
        Key.Class != Previous.Class)
      Left = slotsLeft(Key.Priority, Key.Class, SlotCount, Now);
    Previous = Key;
    if (fitsBehind(Request, Key.Class, Ahead, SlotCount, Left, Now)) {
      Ahead.ProcessingTime += Request.ProcessingTime;
      Ahead.OfPriority += Request.ProcessingTime;
      ++It;
      continue;
    }
    Displaced.push_back(Request.Id);
    It = erase(It);
  }
  return Displaced;
}

bool admission_queue::fitsBehind(const queued_request &Request,
                                 queue_class Class, const requests_ahead &Ahead,
                                 double Slots, double Left,
                                 time_point Now) const {
  duration Work = Ahead.ProcessingTime + Request.ProcessingTime;
  auto InTurn = std::chrono::duration_cast<duration>(Work / Left);
  if (!isTooLate(Request, Now + InTurn))
    return true;
  duration ByFloor = delayByFloor(Request, Class, Ahead.OfPriority, Slots, Now);
  return ByFloor < InTurn && !isTooLate(Request, Now + ByFloor);
}

} // namespace dragonflyvane
