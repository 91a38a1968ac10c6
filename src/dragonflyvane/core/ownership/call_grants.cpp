#include "dragonflyvane/core/ownership/call_grants.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A range is granted again when less than this is left of its hold.
constexpr std::chrono::milliseconds RenewalThreshold{2000};
/// A renewal has to extend the hold by at least this.
constexpr std::chrono::milliseconds MinExtension{500};
/// Time between two calls about a range if the first one failed.
constexpr std::chrono::milliseconds RetryDelay{150};
/// The same if the server refused the call as malformed, or if the call waits
/// for the next heartbeat, which ends the delay.
constexpr std::chrono::milliseconds LongRetryDelay{1000};
/// The maximum number of remembered releases, and of remembered refused ranges;
/// a move needs only the newest ones.
constexpr size_t MaxRemembered = 256;
/// The maximum number of repeated grants that wait for a response. Each one
/// occupies a connection.
constexpr int MaxPendingRepeats = 4;

template <typename T> void keepNewest(std::vector<T> &Entries) {
  if (Entries.size() > MaxRemembered)
    Entries.erase(Entries.begin());
}

uint64_t highestTokenOf(const ownership_map &Map) {
  uint64_t Highest = 0;
  for (const owned_range &Range : Map.Ranges)
    Highest = std::max(Highest, Range.Token);
  return Highest;
}

/// Cuts the key points from `First` to `Last` out of the entries that match.
template <typename Entry, typename Predicate>
void subtract(std::vector<Entry> &Entries, key_point First, key_point Last,
              Predicate Matches) {
  std::vector<Entry> Remaining;
  for (const Entry &Old : Entries) {
    bool IsApart = Old.Last < First || Last < Old.First;
    if (IsApart || !Matches(Old)) {
      Remaining.push_back(Old);
      continue;
    }
    if (Old.First < First) {
      Remaining.push_back(Old);
      Remaining.back().Last = First - 1;
    }
    if (Last < Old.Last) {
      Remaining.push_back(Old);
      Remaining.back().First = Last + 1;
    }
  }
  Entries = std::move(Remaining);
}

template <typename Entry>
void subtract(std::vector<Entry> &Entries, key_point First, key_point Last) {
  subtract(Entries, First, Last, [](const Entry &) { return true; });
}

} // namespace

// Due calls.

std::vector<key_call> call_grants::takeDueCalls(grant_policy &Policy,
                                                const ownership_map &Map,
                                                time_point Until,
                                                time_point Now) {
  removeExpired(Now);
  if (!HighestEarlierToken)
    HighestEarlierToken = highestTokenOf(Map);
  std::vector<key_call> Calls;
  auto Hold = Policy.holdDuration(Now + MaxCallArrivalDelay, Until);
  for (const owned_range &Range : Map.Ranges) {
    if (!Policy.isOwn(Range) || mustWait(Range, Now))
      continue;
    bool IsRefused =
        std::any_of(Refused.begin(), Refused.end(), [&](const auto &Entry) {
          return Entry.Token == Range.Token && overlaps(Entry, Range);
        });
    if (IsRefused)
      Policy.relinquish(Range);
    if (!Policy.shouldGrant(Range, Now)) {
      if (needsRelease(Range, Now))
        addCall(key_call_kind::Release, Range, Calls, Now);
      continue;
    }
    if (Hold < MinHoldDuration || !needsGrant(Range, Now + Hold, Now))
      continue;
    bool IsRepeated = wasSent(Range);
    if (IsRepeated && countPendingRepeats() >= MaxPendingRepeats)
      continue;
    key_call &Call = addCall(key_call_kind::Grant, Range, Calls, Now);
    Call.HoldDuration = Hold;
    Call.IsRepeated = IsRepeated;
    Pending.back().Call = Call;
    Holds.push_back({Call.Id, Range.First, Range.Last, Range.Token,
                     Now + MaxCallArrivalDelay + longestHold(Hold), false});
  }
  return Calls;
}

key_call &call_grants::addCall(key_call_kind Kind, const owned_range &Range,
                               std::vector<key_call> &Calls, time_point Now) {
  key_call Call;
  Call.Id = ++LastCallId;
  Call.Kind = Kind;
  Call.Range = {Range.First, Range.Last, Range.Token, ""};
  if (Kind == key_call_kind::Grant)
    Call.Range.Handover = Range.Handover;
  else
    subtract(Usable, Range.First, Range.Last);
  Pending.push_back({Call, Now});
  Calls.push_back(Call);
  return Calls.back();
}

int call_grants::countPendingRepeats() const {
  return static_cast<int>(std::count_if(
      Pending.begin(), Pending.end(),
      [](const pending_call &Entry) { return Entry.Call.IsRepeated; }));
}

bool call_grants::wasSent(const owned_range &Range) const {
  if (Range.Token <= HighestEarlierToken.value_or(0))
    return true;
  return std::any_of(Sent.begin(), Sent.end(), [&](const held_range &Entry) {
    return Entry.Token == Range.Token && overlaps(Entry, Range);
  });
}

bool call_grants::mustWait(const owned_range &Range, time_point Now) const {
  auto IsPending = [&](const pending_call &Entry) {
    return overlaps(Entry.Call.Range, Range);
  };
  auto IsDeferred = [&](const deferred_range &Entry) {
    return Now < Entry.Until && overlaps(Entry, Range);
  };
  return std::any_of(Pending.begin(), Pending.end(), IsPending) ||
         std::any_of(Deferred.begin(), Deferred.end(), IsDeferred);
}

bool call_grants::needsGrant(const owned_range &Range, time_point NewEnd,
                             time_point Now) const {
  time_point End = usableUntil(Range);
  return End - Now < RenewalThreshold && NewEnd - End >= MinExtension;
}

bool call_grants::needsRelease(const owned_range &Range, time_point Now) const {
  bool HoldsSurely =
      std::any_of(Holds.begin(), Holds.end(), [&](const possible_hold &Hold) {
        return Hold.IsAnswered && overlaps(Hold, Range);
      });
  if (HoldsSurely)
    return true;
  bool IsReleased = std::any_of(
      Releases.begin(), Releases.end(), [&](const completed_release &Release) {
        return Release.Token == Range.Token && Release.First <= Range.First &&
               Range.Last <= Release.Last;
      });
  return !IsReleased && mayHold(Range, Now);
}

time_point call_grants::usableUntil(const owned_range &Range) const {
  time_point Earliest = time_point::max();
  key_point Covered = 0;
  for (const usable_range &Entry : Usable) {
    if (Entry.Token != Range.Token || !overlaps(Entry, Range))
      continue;
    Covered += std::min(Entry.Last, Range.Last) -
               std::max(Entry.First, Range.First) + 1;
    Earliest = std::min(Earliest, Entry.Until);
  }
  return Covered == Range.size() ? Earliest : time_point{};
}

// Results.

void call_grants::onResult(uint64_t CallId, const key_call_result &Result,
                           time_point Now) {
  auto Found = std::find_if(
      Pending.begin(), Pending.end(),
      [&](const pending_call &Entry) { return Entry.Call.Id == CallId; });
  if (Found == Pending.end())
    return;
  pending_call Call = *Found;
  Pending.erase(Found);
  const granted_range &Range = Call.Call.Range;
  bool MayHaveArrived = Result.Outcome == key_call_outcome::Accepted ||
                        Result.Outcome == key_call_outcome::Unknown;
  if (Call.Call.Kind == key_call_kind::Grant && MayHaveArrived)
    recordSent(Range);
  switch (Result.Outcome) {
  case key_call_outcome::Accepted:
    if (Call.Call.Kind == key_call_kind::Grant)
      return onGranted(Call, Now);
    return onReleased(Call, Result.Handover);
  case key_call_outcome::HigherTokenSeen:
    removeHoldsOf(CallId);
    Refused.push_back({Range.First, Range.Last, Range.Token});
    return keepNewest(Refused);
  case key_call_outcome::Rejected:
    removeHoldsOf(CallId);
    return defer(Range, Now + LongRetryDelay);
  case key_call_outcome::NotSent:
  case key_call_outcome::ConnectionRefused:
    removeHoldsOf(CallId);
    return defer(Range,
                 Now + (Call.Call.IsRepeated ? LongRetryDelay : RetryDelay));
  case key_call_outcome::Unknown:
    return defer(Range, Now + RetryDelay);
  }
}

void call_grants::recordSent(const granted_range &Range) {
  subtract(Sent, Range.First, Range.Last,
           [&](const held_range &Old) { return Old.Token <= Range.Token; });
  Sent.push_back({Range.First, Range.Last, Range.Token});
}

void call_grants::onGranted(const pending_call &Call, time_point Now) {
  const granted_range &Range = Call.Call.Range;
  duration Hold = Call.Call.HoldDuration;
  // This grant replaces earlier ones that were answered, and an earlier call
  // with a lower token would be refused if it were applied now.
  subtract(Holds, Range.First, Range.Last, [&](const possible_hold &Old) {
    return Old.CallId != Call.Call.Id &&
           (Old.IsAnswered || Old.Token < Range.Token);
  });
  for (possible_hold &Entry : Holds) {
    if (Entry.CallId != Call.Call.Id)
      continue;
    Entry.IsAnswered = true;
    Entry.ExpiresAt =
        std::min(Entry.ExpiresAt, Now + longestHold(Call.Call.HoldDuration));
  }
  subtract(Usable, Range.First, Range.Last);
  Usable.push_back({Range.First, Range.Last, Range.Token, Call.SentAt + Hold});
}

void call_grants::onReleased(const pending_call &Call,
                             const std::string &Handover) {
  const granted_range &Range = Call.Call.Range;
  subtract(Holds, Range.First, Range.Last,
           [](const possible_hold &Old) { return Old.IsAnswered; });
  Releases.push_back({Range.First, Range.Last, Range.Token, Handover});
  keepNewest(Releases);
}

void call_grants::removeHoldsOf(uint64_t CallId) {
  std::erase_if(
      Holds, [&](const possible_hold &Hold) { return Hold.CallId == CallId; });
}

void call_grants::defer(const granted_range &Range, time_point Until) {
  Deferred.push_back({Range.First, Range.Last, Until});
}

void call_grants::removeExpired(time_point Now) {
  std::erase_if(Holds, [&](const auto &Hold) { return Now >= Hold.ExpiresAt; });
  std::erase_if(Usable, [&](const auto &Entry) { return Now >= Entry.Until; });
  std::erase_if(Deferred,
                [&](const auto &Entry) { return Now >= Entry.Until; });
}

void call_grants::onKeyRefused(key_point Point) {
  std::erase_if(Usable, [&](const usable_range &Entry) {
    return Entry.First <= Point && Point <= Entry.Last;
  });
}

// Incarnations.

/// Keeps the possible holds: the new incarnation may have run for some time
/// before its first heartbeat arrived, and may have received the latest calls.
void call_grants::startIncarnation(time_point) {
  Usable.clear();
  Releases.clear();
  Refused.clear();
  Deferred.clear();
}

void call_grants::onServerTerminated() {
  Holds.clear();
  Usable.clear();
  EarlierRunExpiry = time_point{};
}

// What the server holds.

bool call_grants::holds(key_point Point, time_point Now) const {
  return std::any_of(
      Usable.begin(), Usable.end(), [&](const usable_range &Entry) {
        return Entry.First <= Point && Point <= Entry.Last && Now < Entry.Until;
      });
}

bool call_grants::mayHold(const owned_range &Range, time_point Now) const {
  if (Now < EarlierRunExpiry)
    return true;
  return std::any_of(Holds.begin(), Holds.end(),
                     [&](const possible_hold &Hold) {
                       return Now < Hold.ExpiresAt && overlaps(Hold, Range);
                     });
}

std::string call_grants::handoverOf(const owned_range &Range) const {
  for (auto It = Releases.rbegin(); It != Releases.rend(); ++It)
    if (It->First <= Range.First && Range.Last <= It->Last &&
        It->Token == Range.Token)
      return It->Handover;
  return "";
}

} // namespace dragonflyvane
