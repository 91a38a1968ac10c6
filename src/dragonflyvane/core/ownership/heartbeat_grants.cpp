#include "dragonflyvane/core/ownership/grant_tracker.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A hold may last longer than granted by at most this factor, since the clock
/// of a backend server may run slow.
constexpr double MaxClockSlowdown = 1.02;
/// A grant for a shorter hold is not worth sending.
constexpr std::chrono::milliseconds MinHoldDuration{50};
/// The maximum number of remembered releases, and of remembered relinquished
/// ranges; a move needs only the newest ones.
constexpr size_t MaxRememberedReleases = 256;
/// A key point is withheld only from ranges with at least this number of
/// points.
constexpr key_point MinPointsToWithhold = 5;

template <typename A, typename B> bool overlaps(const A &X, const B &Y) {
  return X.First <= Y.Last && Y.First <= X.Last;
}

} // namespace

void grant_tracker::observe(const ownership_map &Map, bool ReleaseAll,
                            time_point Now) {
  std::vector<outgoing_range> Updated;
  for (const owned_range &Range : Map.Ranges) {
    if (Range.Owner != Options.Host || (Range.NextOwner.empty() && !ReleaseAll))
      continue;
    const outgoing_range *Known = findOutgoing(Range);
    Updated.push_back(
        {Range.First, Range.Last, Range.Token, Known ? Known->Since : Now});
  }
  OutgoingRanges = std::move(Updated);
}

const grant_tracker::outgoing_range *
grant_tracker::findOutgoing(const owned_range &Range) const {
  for (const outgoing_range &Outgoing : OutgoingRanges)
    if (Outgoing.Token == Range.Token && overlaps(Outgoing, Range))
      return &Outgoing;
  return nullptr;
}

bool grant_tracker::shouldGrant(const owned_range &Range,
                                time_point Now) const {
  if (Range.Owner != Options.Host || Range.Incarnation != Incarnation ||
      isRelinquished(Range))
    return false;
  const outgoing_range *Outgoing = findOutgoing(Range);
  return !Outgoing || Now - Outgoing->Since < Options.ReleaseDelay;
}

bool grant_tracker::isOutgoing(const granted_range &Range) const {
  return std::any_of(OutgoingRanges.begin(), OutgoingRanges.end(),
                     [&](const outgoing_range &Outgoing) {
                       return Outgoing.Token == Range.Token &&
                              overlaps(Outgoing, Range);
                     });
}

bool grant_tracker::hasMovingRange(const ownership_map &Map) const {
  return std::any_of(Map.Ranges.begin(), Map.Ranges.end(),
                     [&](const owned_range &Range) {
                       bool IsOwned = Range.Owner == Options.Host;
                       return Range.NextOwner == Options.Host ||
                              (IsOwned && !Range.NextOwner.empty());
                     });
}

/// A backend server that has to release keys sends its next heartbeat at once.
/// While a range is moving, each grant therefore withholds one key point and
/// includes the point that the previous grant withheld. The withheld point
/// alternates between two adjacent points.
void grant_tracker::withholdOnePoint(std::vector<granted_range> &Ranges) {
  // An outgoing range stays whole, since its handover must cover all of it.
  auto Size = [this](const granted_range &Range) {
    return isOutgoing(Range) ? 0 : Range.Last - Range.First + 1;
  };
  auto Largest =
      std::max_element(Ranges.begin(), Ranges.end(),
                       [&](const granted_range &A, const granted_range &B) {
                         return Size(A) < Size(B);
                       });
  if (Largest == Ranges.end() || Size(*Largest) < MinPointsToWithhold)
    return;
  WithheldLastPoint = !WithheldLastPoint;
  granted_range Original = *Largest;
  if (WithheldLastPoint) {
    Largest->Last -= 1;
    return;
  }
  // Withholds the point before the last and grants the points on both sides.
  granted_range Reinstated = Original;
  Reinstated.First = Original.Last;
  for (auto It = Released.rbegin(); It != Released.rend(); ++It)
    if (It->First <= Reinstated.First && Reinstated.Last <= It->Last) {
      Reinstated.Handover = It->Handover;
      break;
    }
  Largest->Last -= 2;
  Ranges.push_back(Reinstated);
}

void grant_tracker::relinquish(const owned_range &Range) {
  if (isRelinquished(Range))
    return;
  Relinquished.push_back({Range.First, Range.Last, Range.Token});
  if (Relinquished.size() > MaxRememberedReleases)
    Relinquished.erase(Relinquished.begin());
}

bool grant_tracker::isRelinquished(const owned_range &Range) const {
  return std::any_of(
      Relinquished.begin(), Relinquished.end(), [&](const held_range &Entry) {
        return Entry.Token == Range.Token && overlaps(Entry, Range);
      });
}

std::optional<grant>
grant_tracker::onHeartbeat(const server_incarnation &NewIncarnation,
                           const held_keys &Keys, const ownership_map &Map,
                           time_point Until, time_point Now) {
  if (NewIncarnation != Incarnation) {
    Incarnation = NewIncarnation;
    Released.clear();
    Granted.clear();
    LastHoldExpiry = Now + Options.MaxHoldDuration;
  }
  Held = Keys.Held;
  IsHeldKnown = true;
  for (const released_range &R : Keys.Released)
    Released.push_back(R);
  if (Released.size() > MaxRememberedReleases)
    Released.erase(Released.begin(), Released.end() - MaxRememberedReleases);
  using std::chrono::duration_cast;
  auto Hold = std::min(duration_cast<std::chrono::milliseconds>(
                           (Until - Now) / MaxClockSlowdown),
                       Options.MaxHoldDuration);
  if (Hold < MinHoldDuration)
    return std::nullopt;
  grant Grant;
  Grant.HoldDuration = Hold;
  for (const owned_range &Range : Map.Ranges)
    if (shouldGrant(Range, Now))
      Grant.Ranges.push_back(
          {Range.First, Range.Last, Range.Token, Range.Handover});
  if (hasMovingRange(Map))
    withholdOnePoint(Grant.Ranges);
  Granted = Grant.Ranges;
  GrantExpiry = Now + Hold;
  LastHoldExpiry = std::max(
      LastHoldExpiry, Now + duration_cast<duration>(Hold * MaxClockSlowdown));
  return Grant;
}

void grant_tracker::onServerTerminated() {
  Granted.clear();
  Held.clear();
  IsHeldKnown = true;
  LastHoldExpiry = time_point{};
  GrantExpiry = time_point{};
}

bool grant_tracker::holds(key_point Point, time_point Now) const {
  if (Now >= GrantExpiry)
    return false;
  return std::any_of(Granted.begin(), Granted.end(),
                     [&](const granted_range &Range) {
                       return Range.First <= Point && Point <= Range.Last;
                     });
}

bool grant_tracker::mayHold(const owned_range &Range, time_point Now) const {
  if (Now >= LastHoldExpiry)
    return false;
  if (!IsHeldKnown)
    return true;
  auto Overlaps = [&](const auto &Other) { return overlaps(Range, Other); };
  return std::any_of(Held.begin(), Held.end(), Overlaps) ||
         std::any_of(Granted.begin(), Granted.end(), Overlaps);
}

std::string grant_tracker::handoverOf(const owned_range &Range) const {
  for (auto It = Released.rbegin(); It != Released.rend(); ++It)
    if (It->First <= Range.First && Range.Last <= It->Last)
      return It->Handover;
  return "";
}

std::vector<releasable_range>
grant_tracker::releasableRanges(const ownership_map &Map,
                                time_point Now) const {
  std::vector<releasable_range> Releasable;
  for (const owned_range &Range : Map.Ranges)
    if (Range.Owner == Options.Host && !shouldGrant(Range, Now) &&
        !mayHold(Range, Now))
      Releasable.push_back({Range, handoverOf(Range)});
  return Releasable;
}

} // namespace dragonflyvane
