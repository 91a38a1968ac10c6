#include "dragonflyvane/core/rollout/key_placement.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr double AllPoints = LastPoint + 1.0;
/// The capacity of a canary, as a fraction of that of any other server.
constexpr double CanaryCapacity = 1e-6;
/// A canary with this fraction of its share gets no further keys.
constexpr double SufficientFraction = 0.8;

/// Returns the number of key points that a host owns after the planned moves.
double plannedPoints(const ownership_map &Map, const std::string &Host) {
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    if ((Range.NextOwner.empty() ? Range.Owner : Range.NextOwner) == Host)
      Points += Range.size();
  return Points;
}

/// Returns the largest range that neither moves nor belongs to a canary.
owned_range *largestSource(ownership_map &Map,
                           const std::vector<candidate> &Canaries) {
  owned_range *Largest = nullptr;
  for (owned_range &Range : Map.Ranges) {
    bool IsCanary =
        std::any_of(Canaries.begin(), Canaries.end(),
                    [&](const candidate &C) { return C.Host == Range.Owner; });
    if (IsCanary || Range.Owner.empty() || !Range.NextOwner.empty())
      continue;
    if (!Largest || Range.size() > Largest->size())
      Largest = &Range;
  }
  return Largest;
}

/// Plans a move of the last `Points` key points of a range, at most half of it.
void moveEnd(ownership_map &Map, const owned_range &Source, double Points,
             const std::string &To) {
  auto Size = static_cast<key_point>(
      std::clamp<double>(Points, 1, std::max(1.0, Source.size() / 2.0)));
  key_point First = Source.Last + 1 - Size;
  Map.splitBefore(First);
  for (owned_range &Range : Map.Ranges)
    if (Range.First == First)
      Range.NextOwner = To;
}

} // namespace

key_placement placeKeys(const version_filter &Versions,
                        const cluster_view &View,
                        const std::vector<candidate> &Candidates) {
  key_placement Placement;
  std::vector<candidate> Spare;
  for (const candidate &Candidate : Candidates) {
    const host_info *Info = View.host(Candidate.Host);
    version_use Use =
        Info ? Versions.useOf(Candidate.Host, *Info) : version_use::Any;
    if (Use == version_use::Any || Use == version_use::Rest)
      Placement.Balanced.push_back(Candidate);
    else if (Use == version_use::Share)
      Placement.Canaries.push_back(Candidate);
    else if (Use == version_use::LastResort)
      Spare.push_back(Candidate);
  }
  if (Placement.Balanced.empty()) {
    // Without another version there is nothing to spare the chosen servers for.
    Placement.Balanced = std::exchange(Placement.Canaries, {});
    Placement.Balanced.insert(Placement.Balanced.end(), Spare.begin(),
                              Spare.end());
  }
  Placement.Owners = Placement.Balanced;
  for (candidate Canary : Placement.Canaries) {
    Canary.Capacity *= CanaryCapacity;
    Placement.Owners.push_back(Canary);
  }
  Placement.Share = Versions.share();
  return Placement;
}

bool planShare(ownership_map &Map, const key_placement &Placement) {
  bool Changed = false;
  double Target =
      AllPoints * Placement.Share /
      static_cast<double>(std::max<size_t>(1, Placement.Canaries.size()));
  for (const candidate &Canary : Placement.Canaries) {
    double Points = plannedPoints(Map, Canary.Host);
    if (Points >= Target * SufficientFraction)
      continue;
    const owned_range *Source = largestSource(Map, Placement.Canaries);
    if (!Source)
      break;
    moveEnd(Map, *Source, Target - Points, Canary.Host);
    Changed = true;
  }
  return Changed;
}

} // namespace dragonflyvane
