#include "dragonflyvane/core/ownership/load_rebalancer.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Below this number of requests per second over all hosts, the load data is
/// not significant.
constexpr double MinRate = 5;
/// A host whose rate exceeds its fair rate by this factor is overloaded, if its
/// rate also keeps more than `BusyUtilization` of its slots in use.
constexpr double OverloadFactor = 1.3;
constexpr double BusyUtilization = 0.55;
/// A host whose rate is below this fraction of its fair rate is underloaded.
constexpr double UnderloadFraction = 0.4;
/// The relative speed of a server is limited to these bounds, since processing
/// times vary by chance.
constexpr double MinSpeed = 0.35;
constexpr double MaxSpeed = 2;
/// A span whose rate is below this fraction of the receiver's fair rate is not
/// worth a move, unless it takes its owner closer to its rate limit.
constexpr double MinSpanFraction = 0.12;
constexpr int MaxMovesPerPlan = 12;
/// The fraction of its rate limit that a server is planned for. The rest takes
/// up the changes of the load between two plans.
constexpr double LimitUse = 0.85;

} // namespace

load_rebalancer::load_rebalancer(
    const std::vector<candidate> &All,
    const std::map<std::string, load_report> &Loads) {
  double Count = 0;
  for (const candidate &C : All) {
    auto Found = Loads.find(C.Host);
    if (Found == Loads.end() || Found->second.ProcessingTime <= 0)
      continue;
    MeanProcessingTime += Found->second.ProcessingTime;
    ++Count;
  }
  MeanProcessingTime = Count > 0 ? MeanProcessingTime / Count : 0;
  for (const candidate &C : All) {
    auto Found = Loads.find(C.Host);
    host_load Candidate;
    Candidate.Host = C.Host;
    Candidate.Capacity =
        capacityOf(C, Found != Loads.end() ? &Found->second : nullptr);
    if (Found != Loads.end() && Found->second.RateLimit)
      Candidate.MaxRate = *Found->second.RateLimit * LimitUse;
    Candidates.push_back(std::move(Candidate));
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

double load_rebalancer::capacityOf(const candidate &Candidate,
                                   const load_report *Report) const {
  if (!Report)
    return Candidate.Capacity;
  if (Report->ConcurrencyLimit) {
    double Most = std::max(1.0, Candidate.Capacity);
    return std::clamp(*Report->ConcurrencyLimit, 1.0, Most) *
           std::clamp(Report->Speed, MinSpeed, MaxSpeed);
  }
  if (Report->ProcessingTime <= 0)
    return Candidate.Capacity;
  return Candidate.Capacity *
         std::clamp(MeanProcessingTime / Report->ProcessingTime, MinSpeed,
                    MaxSpeed);
}

bool load_rebalancer::hasLoadData() const {
  double Rate = 0;
  for (const weighted_point &Point : Points)
    Rate += Point.Rate;
  return Rate >= MinRate && MeanProcessingTime > 0;
}

std::vector<load_rebalancer::host_load>
load_rebalancer::hostLoadsIn(const ownership_map &Map) const {
  std::vector<host_load> HostLoads = Candidates;
  for (const weighted_point &Point : Points) {
    const owned_range &Range = Map.find(Point.Point);
    const std::string &Host =
        Range.NextOwner.empty() ? Range.Owner : Range.NextOwner;
    for (host_load &HostLoad : HostLoads) {
      if (HostLoad.Host != Host)
        continue;
      HostLoad.Rate += Point.Rate;
      if (!HostLoad.Points.empty() &&
          HostLoad.Points.back().Point == Point.Point)
        HostLoad.Points.back().Rate += Point.Rate;
      else
        HostLoad.Points.push_back(Point);
    }
  }
  assignFairRates(HostLoads);
  return HostLoads;
}

double load_rebalancer::processableRate(const host_load &HostLoad) const {
  double Rate = HostLoad.Capacity / MeanProcessingTime;
  return HostLoad.MaxRate ? std::min(Rate, *HostLoad.MaxRate) : Rate;
}

void load_rebalancer::assignFairRates(std::vector<host_load> &HostLoads) const {
  double Rate = 0;
  double Processable = 0;
  for (const host_load &HostLoad : HostLoads) {
    Rate += HostLoad.Rate;
    Processable += processableRate(HostLoad);
  }
  if (Rate <= Processable || Processable <= 0)
    return assignByCapacity(HostLoads, Rate);
  for (host_load &HostLoad : HostLoads)
    HostLoad.FairRate = Rate * processableRate(HostLoad) / Processable;
}

void load_rebalancer::assignByCapacity(std::vector<host_load> &HostLoads,
                                       double Rate) {
  std::vector<host_load *> Sharing;
  Sharing.reserve(HostLoads.size());
  for (host_load &HostLoad : HostLoads)
    Sharing.push_back(&HostLoad);
  while (!Sharing.empty()) {
    double Capacity = 0;
    for (const host_load *HostLoad : Sharing)
      Capacity += HostLoad->Capacity;
    for (host_load *HostLoad : Sharing)
      HostLoad->FairRate = Rate * HostLoad->Capacity / Capacity;
    auto FirstLimited = std::stable_partition(
        Sharing.begin(), Sharing.end(), [](const host_load *HostLoad) {
          return !HostLoad->MaxRate || HostLoad->FairRate <= *HostLoad->MaxRate;
        });
    if (FirstLimited == Sharing.end())
      return;
    for (auto It = FirstLimited; It != Sharing.end(); ++It) {
      (*It)->FairRate = *(*It)->MaxRate;
      Rate -= (*It)->FairRate;
    }
    Sharing.erase(FirstLimited, Sharing.end());
  }
}

bool load_rebalancer::isOverloaded(const host_load &HostLoad) const {
  if (HostLoad.Rate <= HostLoad.FairRate * OverloadFactor)
    return false;
  bool IsAboveLimit = HostLoad.MaxRate && HostLoad.Rate > *HostLoad.MaxRate;
  return IsAboveLimit || HostLoad.Rate * MeanProcessingTime >
                             HostLoad.Capacity * BusyUtilization;
}

bool load_rebalancer::isUneven(const std::vector<host_load> &HostLoads) const {
  return std::any_of(
      HostLoads.begin(), HostLoads.end(), [&](const host_load &HostLoad) {
        return isOverloaded(HostLoad) ||
               HostLoad.Rate < HostLoad.FairRate * UnderloadFraction;
      });
}

load_rebalancer::point_span
load_rebalancer::findSpan(const std::vector<weighted_point> &Points,
                          double MaxRate) {
  point_span Best;
  size_t Begin = 0;
  double Rate = 0;
  for (size_t End = 0; End < Points.size(); ++End) {
    Rate += Points[End].Rate;
    while (Begin <= End && Rate > MaxRate)
      Rate -= Points[Begin++].Rate;
    if (Begin <= End && Rate > Best.Rate)
      Best = {Points[Begin].Point, Points[End].Point, Rate};
  }
  return Best;
}

bool load_rebalancer::planSpanMove(ownership_map &Map, host_load &From,
                                   host_load &To) {
  double MaxRate = std::min(From.Rate - From.FairRate, To.FairRate - To.Rate);
  point_span Span = findSpan(From.Points, MaxRate);
  bool RelievesLimit = From.MaxRate && From.FairRate <= *From.MaxRate;
  double MinRate = RelievesLimit ? 0 : To.FairRate * MinSpanFraction;
  if (Span.Rate <= 0 || Span.Rate < MinRate)
    return false;
  Map.splitBefore(Span.First);
  Map.splitBefore(Span.Last + 1);
  for (owned_range &Range : Map.Ranges)
    if (Range.Owner == From.Host && Range.NextOwner.empty() &&
        Range.First >= Span.First && Range.Last <= Span.Last)
      Range.NextOwner = To.Host;
  std::erase_if(From.Points, [&](const weighted_point &Point) {
    return Point.Point >= Span.First && Point.Point <= Span.Last;
  });
  From.Rate -= Span.Rate;
  To.Rate += Span.Rate;
  return true;
}

bool load_rebalancer::plan(ownership_map &Map) const {
  std::vector<host_load> HostLoads = hostLoadsIn(Map);
  if (HostLoads.size() < 2 || !isUneven(HostLoads))
    return false;
  bool Changed = false;
  for (int I = 0; I < MaxMovesPerPlan; ++I) {
    auto ByExcess = [](const host_load &A, const host_load &B) {
      return A.Rate - A.FairRate < B.Rate - B.FairRate;
    };
    auto [Receiver, Donor] =
        std::minmax_element(HostLoads.begin(), HostLoads.end(), ByExcess);
    if (!planSpanMove(Map, *Donor, *Receiver))
      break;
    Changed = true;
  }
  return Changed;
}

} // namespace dragonflyvane
