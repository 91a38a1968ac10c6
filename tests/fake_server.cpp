#include "fake_server.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds HeartbeatPeriod{870};
/// Used while ranges are being released.
constexpr std::chrono::milliseconds QuickHeartbeatPeriod{100};
/// The upper bound of the time for which work on a range continues after the
/// server has to release the range.
constexpr int MaxWorkMs = 300;
/// One of this number of calls is lost, its response is lost, or it is applied
/// late.
constexpr int CallFaultInterval = 16;
constexpr int MaxLateMs = 3000;
/// One of this number of starts has a wall clock that is off by at most
/// `MaxClockErrorMs`.
constexpr int ClockErrorInterval = 4;
constexpr int MaxClockErrorMs = 6000;

} // namespace

fake_server::fake_server(options ServerOptions)
    : Options(std::move(ServerOptions)), Random(Options.Seed) {}

void fake_server::start() {
  Up = true;
  ++Epoch;
  // Every other start keeps the instance name, as a restart in place does.
  Incarnation = {Options.Name + std::to_string(++Starts / 2), wallClockMs()};
  State = server_state::Ready;
  Sequence = 0;
  scheduleHeartbeat(std::chrono::milliseconds(Random() % 800));
}

int64_t fake_server::wallClockMs() {
  auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      Options.Loop.now().time_since_epoch());
  int64_t Error = 0;
  if (Random() % ClockErrorInterval == 0)
    Error = std::uniform_int_distribution<int64_t>(-MaxClockErrorMs,
                                                   MaxClockErrorMs)(Random);
  return std::max<int64_t>(1, Now.count() + Error);
}

void fake_server::crash() {
  Up = false;
  ++Epoch;
  Holds.clear();
  Released.clear();
  SeenTokens.clear();
}

void fake_server::scheduleHeartbeat(duration Delay) {
  Options.Loop.postDelayed(Delay, [this, Epoch = Epoch] {
    if (Up && Epoch == this->Epoch)
      sendHeartbeat();
  });
}

heartbeat fake_server::makeHeartbeat() {
  heartbeat Heartbeat;
  Heartbeat.Incarnation = Incarnation;
  Heartbeat.Service = "desk";
  Heartbeat.Address = "127.0.0.1:9";
  Heartbeat.FailureDomain = Options.FailureDomain;
  Heartbeat.Slots = 4;
  Heartbeat.State = State;
  Heartbeat.Sequence = ++Sequence;
  if (Options.GrantWay == grant_way::Call)
    return Heartbeat;
  held_keys &Keys = Heartbeat.Keys.emplace();
  Keys.Released = Released;
  for (const hold &Hold : Holds) {
    if (Options.EarlyRelease && Hold.ReleasedAt)
      Keys.Released.push_back({Hold.Range.First, Hold.Range.Last, "h"});
    else
      Keys.Held.push_back(
          {Hold.Range.First, Hold.Range.Last, Hold.Range.Token});
  }
  return Heartbeat;
}

void fake_server::sendHeartbeat() {
  removeEndedHolds();
  time_point SentAt = Options.Loop.now();
  auto Response = Options.Call(makeHeartbeat());
  bool IsReleasing = false;
  if (Response) {
    Released.clear();
    if (*Response)
      applyGrant(**Response, SentAt);
    IsReleasing = std::any_of(Holds.begin(), Holds.end(), [](const hold &Hold) {
      return Hold.ReleasedAt.has_value();
    });
  }
  scheduleHeartbeat(IsReleasing ? QuickHeartbeatPeriod : HeartbeatPeriod);
}

void fake_server::applyGrant(const grant &Grant, time_point SentAt) {
  time_point End = SentAt + std::chrono::duration_cast<duration>(
                                Grant.HoldDuration / Options.ClockSpeed);
  std::vector<hold> Kept;
  for (const granted_range &Range : Grant.Ranges) {
    bool IsStale = false;
    for (const hold &Old : Holds)
      IsStale |= Old.Range.First <= Range.Last &&
                 Range.First <= Old.Range.Last && Old.Range.Token > Range.Token;
    StaleGrants += IsStale;
    if (!IsStale)
      Kept.push_back({Range, End, std::nullopt});
  }
  for (hold &Old : Holds) {
    bool IsKept = std::any_of(Kept.begin(), Kept.end(), [&](const hold &New) {
      return New.Range.First <= Old.Range.First &&
             Old.Range.Last <= New.Range.Last;
    });
    if (IsKept)
      continue;
    if (!Old.ReleasedAt)
      Old.ReleasedAt =
          Options.Loop.now() + std::chrono::milliseconds(Random() % MaxWorkMs);
    Kept.push_back(Old);
  }
  Holds = std::move(Kept);
}

void fake_server::receiveCall(const key_call &Call,
                              const result_callback &Callback) {
  if (!Up)
    return Callback({key_call_outcome::ConnectionRefused, "", ""});
  if (Call.Instance != Incarnation.Instance)
    return Callback({key_call_outcome::NotSent, "", ""});
  time_point ArrivedAt = Options.Loop.now();
  if (!HasCallFaults)
    return applyCall(Call, ArrivedAt, Callback);
  switch (Random() % CallFaultInterval) {
  case 0:
    return;
  case 1:
    return applyCall(Call, ArrivedAt, [](const key_call_result &) {});
  case 2:
    return Options.Loop.postDelayed(
        std::chrono::milliseconds(Random() % MaxLateMs),
        [this, Call, ArrivedAt, Epoch = Epoch] {
          if (Epoch == this->Epoch)
            applyCall(Call, ArrivedAt, [](const key_call_result &) {});
        });
  default:
    return applyCall(Call, ArrivedAt, Callback);
  }
}

void fake_server::applyCall(const key_call &Call, time_point ArrivedAt,
                            const result_callback &Callback) {
  if (Call.Kind == key_call_kind::Grant)
    return Callback({applyGrantCall(Call, ArrivedAt), "", ""});
  duration Work{0};
  for (hold &Hold : takeHolds(Call.Range)) {
    if (!Hold.ReleasedAt)
      Hold.ReleasedAt =
          Options.Loop.now() + std::chrono::milliseconds(Random() % MaxWorkMs);
    Work = std::max(Work, *Hold.ReleasedAt - Options.Loop.now());
    Holds.push_back(Hold);
  }
  if (Options.EarlyRelease)
    Work = duration{0};
  Options.Loop.postDelayed(Work, [this, Callback, Epoch = Epoch] {
    if (Epoch == this->Epoch)
      Callback({key_call_outcome::Accepted, "h", ""});
  });
}

key_call_outcome fake_server::applyGrantCall(const key_call &Call,
                                             time_point ArrivedAt) {
  for (const held_range &Seen : SeenTokens)
    if (overlaps(Seen, Call.Range) && Seen.Token > Call.Range.Token)
      return key_call_outcome::HigherTokenSeen;
  SeenTokens.push_back({Call.Range.First, Call.Range.Last, Call.Range.Token});
  takeHolds(Call.Range);
  time_point End = ArrivedAt + std::chrono::duration_cast<duration>(
                                   Call.HoldDuration / Options.ClockSpeed);
  if (Options.Loop.now() < End)
    Holds.push_back({Call.Range, End, std::nullopt});
  return key_call_outcome::Accepted;
}

std::vector<fake_server::hold>
fake_server::takeHolds(const granted_range &Range) {
  std::vector<hold> Taken;
  std::vector<hold> Kept;
  for (const hold &Hold : Holds) {
    if (!overlaps(Hold.Range, Range)) {
      Kept.push_back(Hold);
      continue;
    }
    hold Part = Hold;
    Part.Range.First = std::max(Hold.Range.First, Range.First);
    Part.Range.Last = std::min(Hold.Range.Last, Range.Last);
    Taken.push_back(Part);
    if (Hold.Range.First < Range.First) {
      Kept.push_back(Hold);
      Kept.back().Range.Last = Range.First - 1;
    }
    if (Range.Last < Hold.Range.Last) {
      Kept.push_back(Hold);
      Kept.back().Range.First = Range.Last + 1;
    }
  }
  Holds = std::move(Kept);
  return Taken;
}

void fake_server::removeEndedHolds() {
  time_point Now = Options.Loop.now();
  std::erase_if(Holds, [&](const hold &Hold) {
    bool IsReleased = Hold.ReleasedAt && Now >= *Hold.ReleasedAt;
    if (IsReleased)
      Released.push_back({Hold.Range.First, Hold.Range.Last, "h"});
    return IsReleased || Now >= Hold.End;
  });
}

bool fake_server::isInForce(const hold &Hold, key_point Point) const {
  time_point Now = Options.Loop.now();
  bool IsWorking =
      Now < Hold.End && (!Hold.ReleasedAt || Now < *Hold.ReleasedAt);
  return Up && IsWorking && Hold.Range.First <= Point &&
         Point <= Hold.Range.Last;
}

std::optional<uint64_t> fake_server::tokenOf(key_point Point) const {
  for (const hold &Hold : Holds)
    if (isInForce(Hold, Point))
      return Hold.Range.Token;
  return std::nullopt;
}

bool fake_server::isReleasing(key_point Point) const {
  return std::all_of(Holds.begin(), Holds.end(), [&](const hold &Hold) {
    return Hold.ReleasedAt || !isInForce(Hold, Point);
  });
}

} // namespace dragonflyvane
