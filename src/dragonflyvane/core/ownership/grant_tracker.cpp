#include "dragonflyvane/core/ownership/grant_tracker.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A backend server's clock may run this much slow.
constexpr double SlowestClock = 1.02;
/// The shortest hold worth giving.
constexpr std::chrono::milliseconds ShortestHold{50};
/// Releases that are remembered; a move needs the newest ones.
constexpr size_t MostReleases = 256;
/// Points that a range must have for one to be left out.
constexpr key_point LeastToLeaveOut = 5;

template <typename A, typename B> bool overlap(const A &X, const B &Y) {
  return X.First <= Y.Last && Y.First <= X.Last;
}

} // namespace

void grant_tracker::observe(const ownership_map &Map, bool ReleaseAll,
                            time_point Now) {
  std::vector<leaving_range> Found;
  for (const owned_range &Range : Map.Ranges) {
    if (Range.Owner != Terms.Host || (Range.NextOwner.empty() && !ReleaseAll))
      continue;
    const leaving_range *Known = findLeaving(Range);
    Found.push_back(
        {Range.First, Range.Last, Range.Token, Known ? Known->Since : Now});
  }
  Leaving = std::move(Found);
}

const grant_tracker::leaving_range *
grant_tracker::findLeaving(const owned_range &Range) const {
  for (const leaving_range &L : Leaving)
    if (L.Token == Range.Token && overlap(L, Range))
      return &L;
  return nullptr;
}

bool grant_tracker::wants(const owned_range &Range, time_point Now) const {
  if (Range.Owner != Terms.Host || Range.Incarnation != Incarnation ||
      isRelinquished(Range))
    return false;
  const leaving_range *Leaves = findLeaving(Range);
  return !Leaves || Now - Leaves->Since < Terms.MoveDelay;
}

bool grant_tracker::leaves(const granted_range &Range) const {
  return std::any_of(Leaving.begin(), Leaving.end(),
                     [&](const leaving_range &L) {
                       return L.Token == Range.Token && overlap(L, Range);
                     });
}

/// Whether a range comes to this host, or goes from it.
bool grant_tracker::movesRange(const ownership_map &Map) const {
  return std::any_of(Map.Ranges.begin(), Map.Ranges.end(),
                     [&](const owned_range &Range) {
                       bool Goes = Range.Owner == Terms.Host;
                       return Range.NextOwner == Terms.Host ||
                              (Goes && !Range.NextOwner.empty());
                     });
}

/// A server that has to release something sends its next heartbeat at once. So
/// a single point is taken from it and given back, in turns with its
/// neighbour, until what moves has moved.
void grant_tracker::leaveOnePointOut(std::vector<granted_range> &Ranges) {
  // Not from a range that goes, whose handover has to be in one piece.
  auto Size = [this](const granted_range &Range) {
    return leaves(Range) ? 0 : Range.Last - Range.First + 1;
  };
  auto Largest =
      std::max_element(Ranges.begin(), Ranges.end(),
                       [&](const granted_range &A, const granted_range &B) {
                         return Size(A) < Size(B);
                       });
  if (Largest == Ranges.end() || Size(*Largest) < LeastToLeaveOut)
    return;
  LeftOutLast = !LeftOutLast;
  granted_range Below = *Largest;
  if (LeftOutLast) {
    Largest->Last -= 1;
    return;
  }
  // The point before the last: what lies on its two sides stays.
  granted_range LastPoint = Below;
  LastPoint.First = Below.Last;
  for (auto It = Released.rbegin(); It != Released.rend(); ++It)
    if (It->First <= LastPoint.First && LastPoint.Last <= It->Last) {
      LastPoint.Handover = It->Handover;
      break;
    }
  Largest->Last -= 2;
  Ranges.push_back(LastPoint);
}

void grant_tracker::relinquish(const owned_range &Range) {
  if (isRelinquished(Range))
    return;
  Relinquished.push_back({Range.First, Range.Last, Range.Token});
  if (Relinquished.size() > MostReleases)
    Relinquished.erase(Relinquished.begin());
}

bool grant_tracker::isRelinquished(const owned_range &Range) const {
  return std::any_of(Relinquished.begin(), Relinquished.end(),
                     [&](const held_range &Gone) {
                       return Gone.Token == Range.Token && overlap(Gone, Range);
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
    HoldsEnd = Now + Terms.MaxHoldDuration;
  }
  Held = Keys.Held;
  HeldIsKnown = true;
  for (const released_range &R : Keys.Released)
    Released.push_back(R);
  if (Released.size() > MostReleases)
    Released.erase(Released.begin(), Released.end() - MostReleases);
  using std::chrono::duration_cast;
  auto Hold = std::min(
      duration_cast<std::chrono::milliseconds>((Until - Now) / SlowestClock),
      Terms.MaxHoldDuration);
  if (Hold < ShortestHold)
    return std::nullopt;
  grant Grant;
  Grant.HoldDuration = Hold;
  for (const owned_range &Range : Map.Ranges)
    if (wants(Range, Now))
      Grant.Ranges.push_back(
          {Range.First, Range.Last, Range.Token, Range.Handover});
  if (movesRange(Map))
    leaveOnePointOut(Grant.Ranges);
  Granted = Grant.Ranges;
  GrantEnd = Now + Hold;
  HoldsEnd =
      std::max(HoldsEnd, Now + duration_cast<duration>(Hold * SlowestClock));
  return Grant;
}

void grant_tracker::onServerTerminated() {
  Granted.clear();
  Held.clear();
  HeldIsKnown = true;
  HoldsEnd = time_point{};
  GrantEnd = time_point{};
}

bool grant_tracker::holds(key_point Point, time_point Now) const {
  if (Now >= GrantEnd)
    return false;
  return std::any_of(Granted.begin(), Granted.end(),
                     [&](const granted_range &Range) {
                       return Range.First <= Point && Point <= Range.Last;
                     });
}

bool grant_tracker::mayHold(const owned_range &Range, time_point Now) const {
  if (Now >= HoldsEnd)
    return false;
  if (!HeldIsKnown)
    return true;
  auto Overlaps = [&](const auto &Other) { return overlap(Range, Other); };
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
  std::vector<releasable_range> Free;
  for (const owned_range &Range : Map.Ranges)
    if (Range.Owner == Terms.Host && !wants(Range, Now) && !mayHold(Range, Now))
      Free.push_back({Range, handoverOf(Range)});
  return Free;
}

} // namespace dragonflyvane
