#include "dragonflyvane/core/ownership/assignment.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace dragonflyvane {

namespace {

constexpr double AllPoints = LastPoint + 1.0;
/// A candidate below this part of its fair share is given more.
constexpr double PoorShare = 0.6;
/// A host whose load exceeds the mean by this factor gives some away.
constexpr double HighLoad = 1.35;
/// Below this utilization a host is never relieved.
constexpr double BusyUtilization = 0.55;
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
    double Over = Points[C.Host] -
                  AllPoints * C.Capacity / totalCapacity(Candidates);
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

std::optional<std::string>
hottest(const std::vector<candidate> &Candidates,
        const std::map<std::string, load_report> &Loads, double &Mean) {
  std::optional<std::string> Hot;
  double Most = 0;
  Mean = 0;
  for (const candidate &C : Candidates) {
    auto Found = Loads.find(C.Host);
    double Load = Found == Loads.end() ? 0 : Found->second.Utilization;
    Mean += Load / static_cast<double>(Candidates.size());
    if (Load > Most) {
      Most = Load;
      Hot = C.Host;
    }
  }
  if (Most < BusyUtilization || Most < Mean * HighLoad)
    return std::nullopt;
  return Hot;
}

const candidate *coolest(const std::vector<candidate> &Candidates,
                         const std::map<std::string, load_report> &Loads,
                         const std::string &But) {
  const candidate *Cool = nullptr;
  double Least = 0;
  for (const candidate &C : Candidates) {
    auto Found = Loads.find(C.Host);
    double Load = Found == Loads.end() ? 0 : Found->second.Utilization;
    if (C.Host == But || (Cool && Load >= Least))
      continue;
    Least = Load;
    Cool = &C;
  }
  return Cool;
}

/// Moves a run of points that carries about this part of the host's requests.
bool orderRun(ownership_map &Map, const std::string &From,
              const std::string &To, const load_report &Load, double Part) {
  std::vector<key_point> Sample = Load.Sample;
  std::sort(Sample.begin(), Sample.end());
  auto Wanted = static_cast<size_t>(
      std::lround(Part * static_cast<double>(Sample.size())));
  if (Wanted == 0)
    return false;
  // The shortest run of points with that many requests costs least to move.
  size_t Best = 0;
  for (size_t I = 0; I + Wanted <= Sample.size(); ++I)
    if (Sample[I + Wanted - 1] - Sample[I] <
        Sample[Best + Wanted - 1] - Sample[Best])
      Best = I;
  key_point First = Sample[Best];
  key_point Last = Sample[Best + Wanted - 1];
  Map.cutBefore(First);
  Map.cutBefore(Last + 1);
  bool Changed = false;
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == From && Range.Next.empty() && Range.First >= First &&
        Range.Last <= Last) {
      Range.Next = To;
      Changed = true;
    }
  return Changed;
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
  if (orderToPoor(Map, Candidates, Options.MostMoving))
    return true;
  if (moving(Map) > 0)
    return false;
  double Mean = 0;
  std::optional<std::string> Hot = hottest(Candidates, Loads, Mean);
  if (!Hot)
    return false;
  const candidate *Cool = coolest(Candidates, Loads, *Hot);
  const load_report &Load = Loads.at(*Hot);
  double Excess = (Load.Utilization - Mean) / Load.Utilization;
  return orderRun(Map, *Hot, Cool->Host, Load, std::min(0.5, Excess));
}

} // namespace dragonflyvane
