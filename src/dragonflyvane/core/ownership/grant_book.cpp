#include "dragonflyvane/core/ownership/grant_book.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A backend server's clock may run this much slow.
constexpr double SlowestClock = 1.02;
/// The shortest hold worth giving.
constexpr std::chrono::milliseconds ShortestHold{50};
/// Releases that are remembered; a move needs the newest ones.
constexpr size_t MostReleases = 256;

template <typename A, typename B> bool overlap(const A &X, const B &Y) {
  return X.First <= Y.Last && Y.First <= X.Last;
}

} // namespace

bool grant_book::wants(const owned_range &Range, bool GiveUp) const {
  return Range.Owner == Host && Range.Life == Life && Range.Next.empty() &&
         !GiveUp && !isRelinquished(Range);
}

void grant_book::relinquish(const owned_range &Range) {
  if (isRelinquished(Range))
    return;
  Relinquished.push_back({Range.First, Range.Last, Range.Token});
  if (Relinquished.size() > MostReleases)
    Relinquished.erase(Relinquished.begin());
}

bool grant_book::isRelinquished(const owned_range &Range) const {
  return std::any_of(Relinquished.begin(), Relinquished.end(),
                     [&](const held_range &Gone) {
                       return Gone.Token == Range.Token && overlap(Gone, Range);
                     });
}

std::optional<grant> grant_book::onHeartbeat(const server_life &NewLife,
                                             const held_keys &Keys,
                                             const ownership_map &Map,
                                             bool GiveUp, time_point Until,
                                             time_point Now) {
  if (NewLife != Life) {
    Life = NewLife;
    Released.clear();
    Granted.clear();
    HoldsEnd = Now + LongestHold;
  }
  Held = Keys.Holds;
  HeldIsKnown = true;
  for (const released_range &R : Keys.Released)
    Released.push_back(R);
  if (Released.size() > MostReleases)
    Released.erase(Released.begin(), Released.end() - MostReleases);
  using std::chrono::duration_cast;
  auto Hold = std::min(duration_cast<std::chrono::milliseconds>(
                           (Until - Now) / SlowestClock),
                       LongestHold);
  if (Hold < ShortestHold)
    return std::nullopt;
  grant Grant;
  Grant.Hold = Hold;
  for (const owned_range &Range : Map.Ranges)
    if (wants(Range, GiveUp))
      Grant.Ranges.push_back(
          {Range.First, Range.Last, Range.Token, Range.Handover});
  Granted = Grant.Ranges;
  GrantEnd = Now + Hold;
  HoldsEnd = std::max(
      HoldsEnd, Now + duration_cast<duration>(Hold * SlowestClock));
  return Grant;
}

void grant_book::onServerDead() {
  Granted.clear();
  Held.clear();
  HeldIsKnown = true;
  HoldsEnd = time_point{};
  GrantEnd = time_point{};
}

bool grant_book::holds(key_point Point, time_point Now) const {
  if (Now >= GrantEnd)
    return false;
  return std::any_of(Granted.begin(), Granted.end(),
                     [&](const granted_range &Range) {
                       return Range.First <= Point && Point <= Range.Last;
                     });
}

bool grant_book::mayHoldAny(time_point Now) const { return Now < HoldsEnd; }

bool grant_book::mayHold(const owned_range &Range, time_point Now) const {
  if (Now >= HoldsEnd)
    return false;
  if (!HeldIsKnown)
    return true;
  auto Overlaps = [&](const auto &Other) { return overlap(Range, Other); };
  return std::any_of(Held.begin(), Held.end(), Overlaps) ||
         std::any_of(Granted.begin(), Granted.end(), Overlaps);
}

std::string grant_book::handoverOf(const owned_range &Range) const {
  for (auto It = Released.rbegin(); It != Released.rend(); ++It)
    if (It->First <= Range.First && Range.Last <= It->Last)
      return It->Handover;
  return "";
}

std::vector<free_range> grant_book::freeRanges(const ownership_map &Map,
                                               bool GiveUp,
                                               time_point Now) const {
  std::vector<free_range> Free;
  for (const owned_range &Range : Map.Ranges)
    if (Range.Owner == Host && !wants(Range, GiveUp) && !mayHold(Range, Now))
      Free.push_back({Range, handoverOf(Range)});
  return Free;
}

} // namespace dragonflyvane
