#include "dragonflyvane/core/ownership/load_rebalancer.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Less than this many requests a second in all say nothing.
constexpr double LeastRate = 5;
/// A host that is asked for more than its fair part by this factor, and is
/// that busy, is relieved.
constexpr double HighLoad = 1.3;
constexpr double BusyUtilization = 0.55;
/// A host that is asked for less than this part of its fair part gets more.
constexpr double LowLoad = 0.4;
/// Speeds are believed within these bounds, since work varies by chance.
constexpr double SlowestSpeed = 0.35;
constexpr double HighestSpeed = 2;
/// A run that carries less than this part of a fair part is not worth a move.
constexpr double LeastRun = 0.12;
constexpr int MostOrders = 12;

} // namespace

load_rebalancer::load_rebalancer(
    const std::vector<candidate> &All,
    const std::map<std::string, load_report> &Loads) {
  double Count = 0;
  for (const candidate &C : All) {
    auto Found = Loads.find(C.Host);
    if (Found == Loads.end() || Found->second.Work <= 0)
      continue;
    Work += Found->second.Work;
    ++Count;
  }
  Work = Count > 0 ? Work / Count : 0;
  for (const candidate &C : All) {
    auto Found = Loads.find(C.Host);
    double Speed = 1;
    if (Found != Loads.end() && Found->second.Work > 0)
      Speed = std::clamp(Work / Found->second.Work, SlowestSpeed, HighestSpeed);
    Candidates.push_back({C.Host, C.Capacity * Speed, 0, 0, {}});
  }
  for (const auto &[Host, Load] : Loads)
    for (key_point Point : Load.Sample)
      Points.push_back(
          {Point, Load.Rate / static_cast<double>(Load.Sample.size())});
  std::sort(Points.begin(), Points.end(),
            [](const weighted_point &A, const weighted_point &B) {
              return A.Point < B.Point;
            });
}

bool load_rebalancer::knowsLoad() const {
  double Rate = 0;
  for (const weighted_point &Point : Points)
    Rate += Point.Rate;
  return Rate >= LeastRate && Work > 0;
}

std::vector<load_rebalancer::share>
load_rebalancer::sharesIn(const ownership_map &Map) const {
  std::vector<share> Shares = Candidates;
  double Rate = 0;
  double Capacity = 0;
  for (const weighted_point &Point : Points) {
    const owned_range &Range = Map.find(Point.Point);
    const std::string &Host =
        Range.NextOwner.empty() ? Range.Owner : Range.NextOwner;
    for (share &Share : Shares) {
      if (Share.Host != Host)
        continue;
      Share.Rate += Point.Rate;
      if (!Share.Points.empty() && Share.Points.back().Point == Point.Point)
        Share.Points.back().Rate += Point.Rate;
      else
        Share.Points.push_back(Point);
      Rate += Point.Rate;
    }
  }
  for (const share &Share : Shares)
    Capacity += Share.Capacity;
  for (share &Share : Shares)
    Share.Fair = Rate * Share.Capacity / Capacity;
  return Shares;
}

bool load_rebalancer::isUneven(const std::vector<share> &Shares) const {
  return std::any_of(Shares.begin(), Shares.end(), [&](const share &Share) {
    bool IsHot = Share.Rate > Share.Fair * HighLoad &&
                 Share.Rate * Work > Share.Capacity * BusyUtilization;
    return IsHot || Share.Rate < Share.Fair * LowLoad;
  });
}

/// The run that carries most, but not more than a limit.
load_rebalancer::run
load_rebalancer::findRun(const std::vector<weighted_point> &Points,
                         double Most) {
  run Best;
  size_t Begin = 0;
  double Rate = 0;
  for (size_t End = 0; End < Points.size(); ++End) {
    Rate += Points[End].Rate;
    while (Begin <= End && Rate > Most)
      Rate -= Points[Begin++].Rate;
    if (Begin <= End && Rate > Best.Rate)
      Best = {Points[Begin].Point, Points[End].Point, Rate};
  }
  return Best;
}

bool load_rebalancer::orderRun(ownership_map &Map, share &From, share &To) {
  double Most = std::min(From.Rate - From.Fair, To.Fair - To.Rate);
  run Run = findRun(From.Points, Most);
  if (Run.Rate < To.Fair * LeastRun)
    return false;
  Map.splitBefore(Run.First);
  Map.splitBefore(Run.Last + 1);
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == From.Host && Range.NextOwner.empty() &&
        Range.First >= Run.First && Range.Last <= Run.Last)
      Range.NextOwner = To.Host;
  std::erase_if(From.Points, [&](const weighted_point &Point) {
    return Point.Point >= Run.First && Point.Point <= Run.Last;
  });
  From.Rate -= Run.Rate;
  To.Rate += Run.Rate;
  return true;
}

bool load_rebalancer::order(ownership_map &Map) const {
  std::vector<share> Shares = sharesIn(Map);
  if (Shares.size() < 2 || !isUneven(Shares))
    return false;
  bool Changed = false;
  for (int I = 0; I < MostOrders; ++I) {
    auto ByExcess = [](const share &A, const share &B) {
      return A.Rate - A.Fair < B.Rate - B.Fair;
    };
    auto [Poor, Rich] =
        std::minmax_element(Shares.begin(), Shares.end(), ByExcess);
    if (!orderRun(Map, *Rich, *Poor))
      break;
    Changed = true;
  }
  return Changed;
}

} // namespace dragonflyvane
