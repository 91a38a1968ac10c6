#include "dragonflyvane/core/ownership/heartbeat_grants.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The maximum number of remembered releases; a move needs only the newest
/// ones.
constexpr size_t MaxRememberedReleases = 256;
/// A key point is withheld only from ranges with at least this number of
/// points.
constexpr key_point MinPointsToWithhold = 5;

} // namespace

/// A backend server that has to release keys sends its next heartbeat at once.
/// While a range is moving, each grant therefore withholds one key point and
/// includes the point that the previous grant withheld. The withheld point
/// alternates between two adjacent points.
void heartbeat_grants::withholdOnePoint(const grant_policy &Policy,
                                        std::vector<granted_range> &Ranges) {
  // An outgoing range stays whole, since its handover must cover all of it.
  auto Size = [&](const granted_range &Range) {
    return Policy.isOutgoing(Range) ? 0 : Range.Last - Range.First + 1;
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

void heartbeat_grants::startIncarnation(time_point Now) {
  Released.clear();
  Granted.clear();
  LastHoldExpiry = Now + MaxHold;
}

std::optional<grant> heartbeat_grants::onHeartbeat(const grant_policy &Policy,
                                                   const held_keys &Keys,
                                                   const ownership_map &Map,
                                                   time_point Until,
                                                   time_point Now) {
  Held = Keys.Held;
  IsHeldKnown = true;
  for (const released_range &R : Keys.Released)
    Released.push_back(R);
  if (Released.size() > MaxRememberedReleases)
    Released.erase(Released.begin(), Released.end() - MaxRememberedReleases);
  std::chrono::milliseconds Hold = Policy.holdDuration(Now, Until);
  if (Hold < MinHoldDuration)
    return std::nullopt;
  grant Grant;
  Grant.HoldDuration = Hold;
  for (const owned_range &Range : Map.Ranges)
    if (Policy.shouldGrant(Range, Now))
      Grant.Ranges.push_back(
          {Range.First, Range.Last, Range.Token, Range.Handover});
  if (Policy.hasMovingRange(Map))
    withholdOnePoint(Policy, Grant.Ranges);
  Granted = Grant.Ranges;
  GrantExpiry = Now + Hold;
  LastHoldExpiry = std::max(LastHoldExpiry, Now + longestHold(Hold));
  return Grant;
}

void heartbeat_grants::onServerTerminated() {
  Granted.clear();
  Held.clear();
  IsHeldKnown = true;
  LastHoldExpiry = time_point{};
  GrantExpiry = time_point{};
}

bool heartbeat_grants::holds(key_point Point, time_point Now) const {
  if (Now >= GrantExpiry)
    return false;
  return std::any_of(Granted.begin(), Granted.end(),
                     [&](const granted_range &Range) {
                       return Range.First <= Point && Point <= Range.Last;
                     });
}

bool heartbeat_grants::mayHold(const owned_range &Range, time_point Now) const {
  if (Now >= LastHoldExpiry)
    return false;
  if (!IsHeldKnown)
    return true;
  auto Overlaps = [&](const auto &Other) { return overlaps(Range, Other); };
  return std::any_of(Held.begin(), Held.end(), Overlaps) ||
         std::any_of(Granted.begin(), Granted.end(), Overlaps);
}

std::string heartbeat_grants::handoverOf(const owned_range &Range) const {
  for (auto It = Released.rbegin(); It != Released.rend(); ++It)
    if (It->First <= Range.First && Range.Last <= It->Last)
      return It->Handover;
  return "";
}

} // namespace dragonflyvane
