#include "dragonflyvane/core/ownership/assignment.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

constexpr double AllPoints = LastPoint + 1.0;
/// A candidate below this part of its fair share is given more.
constexpr double PoorShare = 0.6;
/// While so many ranges move, no more are ordered to even out the load.
constexpr size_t MostMovingRanges = 24;
/// A row has room for so many ranges.
constexpr size_t MostRanges = 300;

using points_by_host = std::map<std::string, double>;

const candidate *findCandidate(const std::vector<candidate> &Candidates,
                               const std::string &Host) {
  for (const candidate &C : Candidates)
    if (C.Host == Host)
      return &C;
  return nullptr;
}

/// Points that each host has or is to have.
points_by_host pointsToBe(const ownership_map &Map) {
  points_by_host Points;
  for (const owned_range &Range : Map.Ranges)
    Points[Range.NextOwner.empty() ? Range.Owner : Range.NextOwner] +=
        Range.size();
  return Points;
}

double totalCapacity(const std::vector<candidate> &Candidates) {
  double Sum = 0;
  for (const candidate &C : Candidates)
    Sum += C.Capacity;
  return Sum;
}

/// The candidate that lacks most points to its fair share.
const candidate *poorest(const std::vector<candidate> &Candidates,
                         const points_by_host &Points, double &Lack) {
  const candidate *Poorest = nullptr;
  double Total = totalCapacity(Candidates);
  Lack = -AllPoints;
  for (const candidate &C : Candidates) {
    auto Has = Points.find(C.Host);
    double Missing = AllPoints * C.Capacity / Total -
                     (Has == Points.end() ? 0 : Has->second);
    if (Missing <= Lack)
      continue;
    Lack = Missing;
    Poorest = &C;
  }
  return Poorest;
}

double moving(const ownership_map &Map) {
  double Points = 0;
  for (const owned_range &Range : Map.Ranges)
    if (!Range.NextOwner.empty())
      Points += Range.size();
  return Points / AllPoints;
}

size_t movingRanges(const ownership_map &Map) {
  return std::count_if(
      Map.Ranges.begin(), Map.Ranges.end(),
      [](const owned_range &R) { return !R.NextOwner.empty(); });
}

bool orderToPoor(ownership_map &Map, const std::vector<candidate> &Candidates,
                 double MaxMovingFraction) {
  points_by_host Points = pointsToBe(Map);
  double Lack = 0;
  const candidate *Poor = poorest(Candidates, Points, Lack);
  double Fair = AllPoints * Poor->Capacity / totalCapacity(Candidates);
  if (Lack < Fair * (1 - PoorShare) || moving(Map) >= MaxMovingFraction)
    return false;
  const candidate *Rich = nullptr;
  double Excess = 0;
  for (const candidate &C : Candidates) {
    double Over =
        Points[C.Host] - AllPoints * C.Capacity / totalCapacity(Candidates);
    if (Over > Excess) {
      Excess = Over;
      Rich = &C;
    }
  }
  if (!Rich)
    return false;
  double Amount = std::min(Lack, Excess);
  owned_range *Source = nullptr;
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == Rich->Host && Range.NextOwner.empty() &&
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
      Range.NextOwner = Poor->Host;
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
  points_by_host Points = pointsToBe(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    if (!Map.Ranges[I].Owner.empty())
      continue;
    double Lack = 0;
    const candidate *To = findCandidate(Candidates, Map.Ranges[I].NextOwner);
    if (!To) {
      To = poorest(Candidates, Points, Lack);
      auto Most = static_cast<key_point>(std::max(1.0, std::ceil(Lack)));
      if (Map.Ranges[I].size() > Most && Map.Ranges.size() < MostRanges)
        Map.splitBefore(Map.Ranges[I].First + Most);
    }
    owned_range &Range = Map.Ranges[I];
    Range.Owner = To->Host;
    Range.Incarnation = To->Incarnation;
    Range.Token = Options.Token;
    Range.NextOwner.clear();
    Points[To->Host] += Range.size();
    Changed = true;
  }
  Map.mergeAdjacent();
  return Changed;
}

bool planMoves(ownership_map &Map, const std::vector<candidate> &Candidates) {
  if (Candidates.empty())
    return false;
  ownership_map Before = Map;
  for (owned_range &Range : Map.Ranges)
    if (!Range.NextOwner.empty() && !findCandidate(Candidates, Range.NextOwner))
      Range.NextOwner.clear();
  points_by_host Points = pointsToBe(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    const owned_range &Range = Map.Ranges[I];
    if (Range.Owner.empty() || !Range.NextOwner.empty() ||
        findCandidate(Candidates, Range.Owner))
      continue;
    double Lack = 0;
    const candidate *To = poorest(Candidates, Points, Lack);
    auto Most = static_cast<key_point>(std::max(1.0, std::ceil(Lack)));
    if (Range.size() > Most && Map.Ranges.size() < MostRanges)
      Map.splitBefore(Range.First + Most);
    Map.Ranges[I].NextOwner = To->Host;
    Points[To->Host] += Map.Ranges[I].size();
  }
  Map.mergeAdjacent();
  return Map != Before;
}

bool planRebalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                   const std::map<std::string, load_report> &Loads,
                   const plan_options &Options) {
  if (Candidates.size() < 2 || Map.Ranges.size() >= MostRanges)
    return false;
  load_rebalancer Balance(Candidates, Loads);
  if (!Balance.knowsLoad())
    return orderToPoor(Map, Candidates, Options.MaxMovingFraction);
  return movingRanges(Map) < MostMovingRanges && Balance.order(Map);
}

} // namespace dragonflyvane
