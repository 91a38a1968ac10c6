#include "dragonflyvane/core/ownership/grant_policy.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The maximum number of remembered ranges; a move needs only the newest ones.
constexpr size_t MaxRelinquished = 256;

} // namespace

void grant_policy::observe(const ownership_map &Map,
                           std::optional<time_point> ReleaseAllSince,
                           time_point Now) {
  std::vector<outgoing_range> Updated;
  for (const owned_range &Range : Map.Ranges) {
    bool IsPlanned = !Range.NextOwner.empty();
    if (!isOwn(Range) || (!IsPlanned && !ReleaseAllSince))
      continue;
    const outgoing_range *Known = findOutgoing(Range);
    bool WasPlanned = Known && Known->PlannedSince != time_point{};
    time_point Since =
        std::min(Known ? Known->Since : Now, ReleaseAllSince.value_or(Now));
    outgoing_range Outgoing{Range.First, Range.Last, Range.Token, Since,
                            time_point{}};
    if (IsPlanned)
      Outgoing.PlannedSince = WasPlanned ? Known->PlannedSince : Now;
    Updated.push_back(Outgoing);
  }
  OutgoingRanges = std::move(Updated);
}

const grant_policy::outgoing_range *
grant_policy::findOutgoing(const owned_range &Range) const {
  for (const outgoing_range &Outgoing : OutgoingRanges)
    if (Outgoing.Token == Range.Token && overlaps(Outgoing, Range))
      return &Outgoing;
  return nullptr;
}

bool grant_policy::shouldGrant(const owned_range &Range, time_point Now) const {
  if (!isOwn(Range) || Range.Incarnation != Incarnation ||
      isRelinquished(Range))
    return false;
  const outgoing_range *Outgoing = findOutgoing(Range);
  if (!Outgoing)
    return true;
  if (Outgoing->PlannedSince != time_point{} &&
      Now - Outgoing->PlannedSince >= Options.PlannedReleaseDelay)
    return false;
  return Now - Outgoing->Since < Options.UnplannedReleaseDelay;
}

bool grant_policy::isOutgoing(const granted_range &Range) const {
  return std::any_of(OutgoingRanges.begin(), OutgoingRanges.end(),
                     [&](const outgoing_range &Outgoing) {
                       return Outgoing.Token == Range.Token &&
                              overlaps(Outgoing, Range);
                     });
}

bool grant_policy::hasMovingRange(const ownership_map &Map) const {
  return std::any_of(Map.Ranges.begin(), Map.Ranges.end(),
                     [&](const owned_range &Range) {
                       return Range.NextOwner == Options.Host ||
                              (isOwn(Range) && !Range.NextOwner.empty());
                     });
}

std::chrono::milliseconds grant_policy::holdDuration(time_point Start,
                                                     time_point Until) const {
  return std::min(std::chrono::duration_cast<std::chrono::milliseconds>(
                      (Until - Start) / MaxClockSlowdown),
                  Options.MaxHoldDuration);
}

void grant_policy::relinquish(const owned_range &Range) {
  if (isRelinquished(Range))
    return;
  Relinquished.push_back({Range.First, Range.Last, Range.Token});
  if (Relinquished.size() > MaxRelinquished)
    Relinquished.erase(Relinquished.begin());
}

bool grant_policy::isRelinquished(const owned_range &Range) const {
  return std::any_of(
      Relinquished.begin(), Relinquished.end(), [&](const held_range &Entry) {
        return Entry.Token == Range.Token && overlaps(Entry, Range);
      });
}

} // namespace dragonflyvane
