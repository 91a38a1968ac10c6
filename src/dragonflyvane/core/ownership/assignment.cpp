#include "dragonflyvane/core/ownership/assignment.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

constexpr double AllPoints = LastPoint + 1.0;
/// A candidate with less than this fraction of its fair share receives points.
constexpr double UnderAssignedFraction = 0.6;
/// While this number of ranges is moving, no further moves are planned to even
/// out the load.
constexpr size_t MaxMovingRanges = 24;
/// A map with this number of ranges is not split further, since the size of its
/// row is limited.
constexpr size_t MaxRanges = 300;
/// Nor is one with this number of ranges for each candidate, since the size of
/// the response to a heartbeat, which grants all ranges of a server, is
/// limited.
constexpr size_t MaxRangesPerCandidate = 60;

/// No smaller part than this fraction of a fair share is split off a range.
constexpr double MinSplitFraction = 1.0 / 16;

using points_by_host = std::map<std::string, double>;

const candidate *findCandidate(const std::vector<candidate> &Candidates,
                               const std::string &Host) {
  for (const candidate &C : Candidates)
    if (C.Host == Host)
      return &C;
  return nullptr;
}

/// Returns the key points that each host owns once all planned moves are done.
points_by_host plannedPoints(const ownership_map &Map) {
  points_by_host Points;
  for (const owned_range &Range : Map.Ranges)
    Points[Range.NextOwner.empty() ? Range.Owner : Range.NextOwner] +=
        Range.size();
  return Points;
}

/// Whether ranges of the map may be split further.
bool maySplit(const ownership_map &Map,
              const std::vector<candidate> &Candidates) {
  return Map.Ranges.size() <
         std::min(MaxRanges, MaxRangesPerCandidate * Candidates.size());
}

double totalCapacity(const std::vector<candidate> &Candidates) {
  double Sum = 0;
  for (const candidate &C : Candidates)
    Sum += C.Capacity;
  return Sum;
}

/// Returns the candidate with the largest deficit, which is the number of
/// points by which it is below its fair share.
const candidate *findMostUnderAssigned(const std::vector<candidate> &Candidates,
                                       const points_by_host &Points,
                                       double &Deficit) {
  const candidate *MostUnderAssigned = nullptr;
  double Total = totalCapacity(Candidates);
  Deficit = -AllPoints;
  for (const candidate &C : Candidates) {
    auto Assigned = Points.find(C.Host);
    double CandidateDeficit = AllPoints * C.Capacity / Total -
                              (Assigned == Points.end() ? 0 : Assigned->second);
    if (CandidateDeficit <= Deficit)
      continue;
    Deficit = CandidateDeficit;
    MostUnderAssigned = &C;
  }
  return MostUnderAssigned;
}

/// Returns how many points of a range a candidate with this deficit receives.
key_point pointsToAssign(double Deficit,
                         const std::vector<candidate> &Candidates) {
  double FairPoints = AllPoints / static_cast<double>(Candidates.size());
  return static_cast<key_point>(
      std::ceil(std::max(Deficit, FairPoints * MinSplitFraction)));
}

/// Returns the fraction of all key points that are planned to move.
double movingFraction(const ownership_map &Map) {
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    if (!Range.NextOwner.empty())
      Points += Range.size();
  return Points / AllPoints;
}

/// Merges adjacent ranges without owner, handover and planned next owner. Their
/// next owner gets a new token whatever their tokens are. Without this, the
/// ranges of many lost hosts stay apart, and the few owners that remain have
/// more of them than a heartbeat response can grant.
void mergeUnownedRanges(ownership_map &Map) {
  uint64_t HighestToken = 0;
  for (const owned_range &Range : Map.Ranges)
    HighestToken = std::max(HighestToken, Range.Token);
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner.empty() && Range.Handover.empty() &&
        Range.NextOwner.empty())
      Range.Token = HighestToken;
  Map.mergeAdjacent();
}

size_t countMovingRanges(const ownership_map &Map) {
  return std::count_if(
      Map.Ranges.begin(), Map.Ranges.end(),
      [](const owned_range &R) { return !R.NextOwner.empty(); });
}

/// Plans one move from the candidate with the largest excess to the one with
/// the largest deficit. Returns whether the map changed.
bool planPointRebalance(ownership_map &Map,
                        const std::vector<candidate> &Candidates,
                        double MaxMovingFraction) {
  points_by_host Points = plannedPoints(Map);
  double Deficit = 0;
  const candidate *Receiver =
      findMostUnderAssigned(Candidates, Points, Deficit);
  double FairPoints =
      AllPoints * Receiver->Capacity / totalCapacity(Candidates);
  if (Deficit < FairPoints * (1 - UnderAssignedFraction) ||
      movingFraction(Map) >= MaxMovingFraction)
    return false;
  const candidate *Donor = nullptr;
  double Excess = 0;
  for (const candidate &C : Candidates) {
    double CandidateExcess =
        Points[C.Host] - AllPoints * C.Capacity / totalCapacity(Candidates);
    if (CandidateExcess > Excess) {
      Excess = CandidateExcess;
      Donor = &C;
    }
  }
  if (!Donor)
    return false;
  double Amount = std::min(Deficit, Excess);
  owned_range *Source = nullptr;
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == Donor->Host && Range.NextOwner.empty() &&
        (!Source || Range.size() > Source->size()))
      Source = &Range;
  if (!Source || Amount < 1)
    return false;
  key_point First = Source->First;
  if (Source->size() > Amount) {
    First = Source->Last + 1 - static_cast<key_point>(Amount);
    Map.splitBefore(First);
  }
  for (owned_range &Range : Map.Ranges)
    if (Range.First == First)
      Range.NextOwner = Receiver->Host;
  return true;
}

} // namespace

bool unassignRanges(ownership_map &Map, const std::set<std::string> &Expired) {
  bool Changed = false;
  for (owned_range &Range : Map.Ranges) {
    if (!Expired.contains(Range.Owner))
      continue;
    Range.Owner.clear();
    Range.Incarnation = {};
    Range.Handover.clear();
    Range.NextOwner.clear();
    Changed = true;
  }
  return Changed;
}

bool assignUnownedRanges(ownership_map &Map,
                         const std::vector<candidate> &Candidates,
                         const plan_options &Options) {
  if (Candidates.empty())
    return false;
  bool Changed = false;
  mergeUnownedRanges(Map);
  points_by_host Points = plannedPoints(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    if (!Map.Ranges[I].Owner.empty())
      continue;
    double Deficit = 0;
    const candidate *To = findCandidate(Candidates, Map.Ranges[I].NextOwner);
    bool IsPlanned = To != nullptr;
    if (!IsPlanned) {
      To = findMostUnderAssigned(Candidates, Points, Deficit);
      key_point MaxPoints = pointsToAssign(Deficit, Candidates);
      if (Map.Ranges[I].size() > MaxPoints && maySplit(Map, Candidates))
        Map.splitBefore(Map.Ranges[I].First + MaxPoints);
    }
    owned_range &Range = Map.Ranges[I];
    Range.Owner = To->Host;
    Range.Incarnation = To->Incarnation;
    Range.Token = Options.Token;
    Range.NextOwner.clear();
    if (!IsPlanned)
      Points[To->Host] += Range.size();
    Changed = true;
  }
  Map.mergeAdjacent();
  return Changed;
}

bool renewIncarnations(ownership_map &Map,
                       const std::vector<candidate> &Candidates,
                       const plan_options &Options) {
  bool Changed = false;
  for (owned_range &Range : Map.Ranges) {
    const candidate *Owner = findCandidate(Candidates, Range.Owner);
    if (!Owner || Range.Incarnation == Owner->Incarnation)
      continue;
    Range.Incarnation = Owner->Incarnation;
    Range.Token = Options.Token;
    Range.Handover.clear();
    Changed = true;
  }
  return Changed;
}

bool planMoves(ownership_map &Map, const std::vector<candidate> &Candidates,
               const std::set<std::string> &Unleased) {
  if (Candidates.empty())
    return false;
  ownership_map Before = Map;
  for (owned_range &Range : Map.Ranges)
    if (!Range.NextOwner.empty() && !findCandidate(Candidates, Range.NextOwner))
      Range.NextOwner.clear();
  points_by_host Points = plannedPoints(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    const owned_range &Range = Map.Ranges[I];
    bool MayStay = findCandidate(Candidates, Range.Owner) ||
                   Unleased.contains(Range.Owner);
    if (Range.Owner.empty() || !Range.NextOwner.empty() || MayStay)
      continue;
    double Deficit = 0;
    const candidate *To = findMostUnderAssigned(Candidates, Points, Deficit);
    key_point MaxPoints = pointsToAssign(Deficit, Candidates);
    if (Range.size() > MaxPoints && maySplit(Map, Candidates))
      Map.splitBefore(Range.First + MaxPoints);
    Map.Ranges[I].NextOwner = To->Host;
    Points[To->Host] += Map.Ranges[I].size();
  }
  Map.mergeAdjacent();
  return Map != Before;
}

bool planRebalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                   const std::map<std::string, load_report> &Loads,
                   const plan_options &Options) {
  if (Candidates.size() < 2 || !maySplit(Map, Candidates))
    return false;
  load_rebalancer Rebalancer(Candidates, Loads);
  if (!Rebalancer.hasLoadData())
    return planPointRebalance(Map, Candidates, Options.MaxMovingFraction);
  return countMovingRanges(Map) < MaxMovingRanges && Rebalancer.plan(Map);
}

} // namespace dragonflyvane
