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

} // namespace

fake_server::fake_server(options ServerOptions)
    : Options(std::move(ServerOptions)), Random(Options.Seed) {}

void fake_server::start() {
  Up = true;
  ++Epoch;
  // Every other start keeps the instance name, as a restart in place does.
  Incarnation = {Options.Name + std::to_string(++Starts / 2),
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     Options.Loop.now().time_since_epoch())
                     .count()};
  State = server_state::Ready;
  Sequence = 0;
  scheduleHeartbeat(std::chrono::milliseconds(Random() % 800));
}

void fake_server::crash() {
  Up = false;
  ++Epoch;
  Holds.clear();
  Released.clear();
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
  Heartbeat.Keys.Released = Released;
  for (const hold &Hold : Holds) {
    if (Options.EarlyRelease && Hold.ReleasedAt)
      Heartbeat.Keys.Released.push_back(
          {Hold.Range.First, Hold.Range.Last, "h"});
    else
      Heartbeat.Keys.Held.push_back(
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

void fake_server::removeEndedHolds() {
  time_point Now = Options.Loop.now();
  std::erase_if(Holds, [&](const hold &Hold) {
    bool IsReleased = Hold.ReleasedAt && Now >= *Hold.ReleasedAt;
    if (IsReleased)
      Released.push_back({Hold.Range.First, Hold.Range.Last, "h"});
    return IsReleased || Now >= Hold.End;
  });
}

std::optional<uint64_t> fake_server::tokenOf(key_point Point) const {
  if (!Up)
    return std::nullopt;
  for (const hold &Hold : Holds) {
    bool IsWorking =
        Options.Loop.now() < Hold.End &&
        (!Hold.ReleasedAt || Options.Loop.now() < *Hold.ReleasedAt);
    if (IsWorking && Hold.Range.First <= Point && Point <= Hold.Range.Last)
      return Hold.Range.Token;
  }
  return std::nullopt;
}

} // namespace dragonflyvane
