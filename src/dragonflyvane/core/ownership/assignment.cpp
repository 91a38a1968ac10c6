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
    Points[Range.Next.empty() ? Range.Owner : Range.Next] += Range.size();
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
    if (!Range.Next.empty())
      Points += Range.size();
  return Points / AllPoints;
}

size_t movingRanges(const ownership_map &Map) {
  return std::count_if(Map.Ranges.begin(), Map.Ranges.end(),
                       [](const owned_range &R) { return !R.Next.empty(); });
}

bool orderToPoor(ownership_map &Map, const std::vector<candidate> &Candidates,
                 double MostMoving) {
  points_by_host Points = pointsToBe(Map);
  double Lack = 0;
  const candidate *Poor = poorest(Candidates, Points, Lack);
  double Fair = AllPoints * Poor->Capacity / totalCapacity(Candidates);
  if (Lack < Fair * (1 - PoorShare) || moving(Map) >= MostMoving)
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
    if (Range.Owner == Rich->Host && Range.Next.empty() &&
        (!Source || Range.size() > Source->size()))
      Source = &Range;
  if (!Source || Amount < 1)
    return false;
  key_point First = Source->First;
  if (Source->size() > Amount) {
    First = Source->Last + 1 - static_cast<key_point>(Amount);
    Map.cutBefore(First);
  }
  for (owned_range &Range : Map.Ranges)
    if (Range.First == First)
      Range.Next = Poor->Host;
  return true;
}

} // namespace

bool takeOver(ownership_map &Map, const std::set<std::string> &Lapsed) {
  bool Changed = false;
  for (owned_range &Range : Map.Ranges) {
    if (!Lapsed.contains(Range.Owner))
      continue;
    Range.Owner.clear();
    Range.Life = {};
    Range.Handover.clear();
    Range.Next.clear();
    Changed = true;
  }
  return Changed;
}

bool assignFree(ownership_map &Map, const std::vector<candidate> &Candidates,
                const plan_options &Options) {
  if (Candidates.empty())
    return false;
  bool Changed = false;
  points_by_host Points = pointsToBe(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    if (!Map.Ranges[I].Owner.empty())
      continue;
    double Lack = 0;
    const candidate *To = findCandidate(Candidates, Map.Ranges[I].Next);
    if (!To) {
      To = poorest(Candidates, Points, Lack);
      auto Most = static_cast<key_point>(std::max(1.0, std::ceil(Lack)));
      if (Map.Ranges[I].size() > Most && Map.Ranges.size() < MostRanges)
        Map.cutBefore(Map.Ranges[I].First + Most);
    }
    owned_range &Range = Map.Ranges[I];
    Range.Owner = To->Host;
    Range.Life = To->Life;
    Range.Token = Options.Token;
    Range.Next.clear();
    Points[To->Host] += Range.size();
    Changed = true;
  }
  Map.join();
  return Changed;
}

bool orderMoves(ownership_map &Map, const std::vector<candidate> &Candidates) {
  if (Candidates.empty())
    return false;
  ownership_map Before = Map;
  for (owned_range &Range : Map.Ranges)
    if (!Range.Next.empty() && !findCandidate(Candidates, Range.Next))
      Range.Next.clear();
  points_by_host Points = pointsToBe(Map);
  for (size_t I = 0; I < Map.Ranges.size(); ++I) {
    const owned_range &Range = Map.Ranges[I];
    if (Range.Owner.empty() || !Range.Next.empty() ||
        findCandidate(Candidates, Range.Owner))
      continue;
    double Lack = 0;
    const candidate *To = poorest(Candidates, Points, Lack);
    auto Most = static_cast<key_point>(std::max(1.0, std::ceil(Lack)));
    if (Range.size() > Most && Map.Ranges.size() < MostRanges)
      Map.cutBefore(Range.First + Most);
    Map.Ranges[I].Next = To->Host;
    Points[To->Host] += Map.Ranges[I].size();
  }
  Map.join();
  return Map != Before;
}

bool orderBalance(ownership_map &Map, const std::vector<candidate> &Candidates,
                  const std::map<std::string, load_report> &Loads,
                  const plan_options &Options) {
  if (Candidates.size() < 2 || Map.Ranges.size() >= MostRanges)
    return false;
  load_balance Balance(Candidates, Loads);
  if (!Balance.knowsLoad())
    return orderToPoor(Map, Candidates, Options.MostMoving);
  return movingRanges(Map) < MostMovingRanges && Balance.order(Map);
}

} // namespace dragonflyvane
