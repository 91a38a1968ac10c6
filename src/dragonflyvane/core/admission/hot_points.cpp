#include "dragonflyvane/core/admission/hot_points.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// Period over which arrivals are counted. A limit outlasts its load by at most
/// about this time.
constexpr std::chrono::milliseconds Window{1000};
constexpr size_t MaxArrivals = 512;
constexpr std::chrono::milliseconds RefreshPeriod{100};
/// Neighbouring points are counted together in cells of this width.
constexpr key_point CellWidth = 64;
/// A point or cell with fewer arrivals in the window is not significant.
constexpr size_t MinArrivals = 10;
/// A point, or a group of adjacent cells, is hot from this fraction of all
/// arrivals on.
constexpr double MinShare = 0.15;
/// A point or cell is hot only with this many times the median arrivals of the
/// points or cells that requests arrive for.
constexpr double MedianFactor = 4;
/// With fewer cells there is no usual load to compare a cell with.
constexpr size_t MinCells = 4;
/// The fraction of the server's rate that is shared out. The rest lets a queue
/// that has built up drain.
constexpr double PlannedUse = 0.9;
/// The fraction of the server's rate that is left for the hot spans if the
/// other points ask for all of it, so that hot keys do not starve.
constexpr double MinHotRate = 0.05;
/// A hot span may use this much of its limit at once.
constexpr double BurstSeconds = 0.1;
constexpr std::chrono::milliseconds MinRetryAfter{100};
/// Limits change within this time, so a longer forecast would be out of date.
constexpr std::chrono::milliseconds MaxRetryAfter{4000};

double medianOf(const std::map<key_point, size_t> &Counts) {
  std::vector<size_t> Values;
  Values.reserve(Counts.size());
  for (const auto &[First, Count] : Counts)
    Values.push_back(Count);
  if (Values.empty())
    return 0;
  auto Middle = Values.begin() + static_cast<ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return static_cast<double>(*Middle);
}

} // namespace

std::optional<duration> hot_points::admit(key_point Point,
                                          const server_headroom &Headroom,
                                          time_point Now) {
  record(Point, Now);
  if (!Headroom.IsFull)
    return std::nullopt;
  if (Now - RefreshedAt >= RefreshPeriod)
    refresh(Headroom.Rate, Now);
  limited_span *Limited = find(Point);
  if (!Limited || Limited->Tokens.take(1, Now))
    return std::nullopt;
  return scheduleRetry(*Limited, Now);
}

std::optional<hot_span> hot_points::limitOf(key_point Point) const {
  for (const limited_span &Limited : Limits)
    if (Point >= Limited.Span.First && Point <= Limited.Span.Last)
      return Limited.Span;
  return std::nullopt;
}

void hot_points::record(key_point Point, time_point Now) {
  Arrivals.push_back({Point, Now});
  if (Arrivals.size() > MaxArrivals)
    Arrivals.pop_front();
  evictExpired(Now);
}

void hot_points::evictExpired(time_point Now) {
  while (!Arrivals.empty() && Now - Arrivals.front().At > Window)
    Arrivals.pop_front();
}

double hot_points::secondsRecorded(time_point Now) const {
  duration Recorded = Window;
  if (Arrivals.size() >= MaxArrivals)
    Recorded = std::max<duration>(Now - Arrivals.front().At,
                                  std::chrono::milliseconds(1));
  return std::chrono::duration<double>(Recorded).count();
}

void hot_points::refresh(double ServerRate, time_point Now) {
  RefreshedAt = Now;
  double Planned = ServerRate * PlannedUse;
  double Demand = static_cast<double>(Arrivals.size()) / secondsRecorded(Now);
  if (Demand <= Planned)
    return Limits.clear();
  std::vector<hot_span> Spans = findSpans(Now);
  double OtherDemand = Demand;
  for (const hot_span &Span : Spans)
    OtherDemand -= Span.Demand;
  shareOut(std::max(Planned - OtherDemand, ServerRate * MinHotRate), Spans);
  apply(Spans, Now);
}

std::vector<hot_span> hot_points::findSpans(time_point Now) const {
  counts Points;
  for (const arrival &Arrival : Arrivals)
    ++Points[Arrival.Point];
  std::vector<hot_span> Spans;
  takeHotPoints(Points, Spans);
  findHotGroups(Points, Spans);
  double Seconds = secondsRecorded(Now);
  for (hot_span &Span : Spans)
    Span.Demand /= Seconds;
  return Spans;
}

void hot_points::takeHotPoints(counts &Points,
                               std::vector<hot_span> &Spans) const {
  double MinCount = std::max({static_cast<double>(MinArrivals),
                              medianOf(Points) * MedianFactor,
                              static_cast<double>(Arrivals.size()) * MinShare});
  std::erase_if(Points, [&](const auto &Entry) {
    auto Count = static_cast<double>(Entry.second);
    if (Count < MinCount)
      return false;
    Spans.push_back({Entry.first, Entry.first, Count});
    return true;
  });
}

void hot_points::findHotGroups(const counts &Points,
                               std::vector<hot_span> &Spans) const {
  counts Cells;
  for (const auto &[Point, Count] : Points)
    Cells[Point / CellWidth * CellWidth] += Count;
  if (Cells.size() < MinCells)
    return;
  double MinCount = std::max(static_cast<double>(MinArrivals),
                             medianOf(Cells) * MedianFactor);
  std::vector<hot_span> Groups;
  for (const auto &[First, Count] : Cells) {
    if (static_cast<double>(Count) < MinCount)
      continue;
    if (Groups.empty() || Groups.back().Last + 1 != First)
      Groups.push_back({First, First, 0});
    Groups.back().Last = First + CellWidth - 1;
    Groups.back().Demand += static_cast<double>(Count);
  }
  double MinGroupCount = static_cast<double>(Arrivals.size()) * MinShare;
  for (const hot_span &Group : Groups)
    if (Group.Demand >= MinGroupCount)
      Spans.push_back(Group);
}

void hot_points::shareOut(double Rate, std::vector<hot_span> &Spans) {
  std::vector<hot_span *> ByDemand;
  ByDemand.reserve(Spans.size());
  for (hot_span &Span : Spans)
    ByDemand.push_back(&Span);
  std::sort(ByDemand.begin(), ByDemand.end(),
            [](const hot_span *A, const hot_span *B) {
              return A->Demand < B->Demand;
            });
  size_t Sharing = ByDemand.size();
  for (hot_span *Span : ByDemand) {
    Span->Limit = std::min(Span->Demand, Rate / static_cast<double>(Sharing));
    Rate -= Span->Limit;
    --Sharing;
  }
}

void hot_points::apply(const std::vector<hot_span> &Spans, time_point Now) {
  std::vector<limited_span> Previous = std::exchange(Limits, {});
  for (const hot_span &Span : Spans) {
    if (Span.Limit >= Span.Demand)
      continue;
    double Burst = std::max(1.0, Span.Limit * BurstSeconds);
    limited_span Limited{Span, {Span.Limit, Burst, Now}, Now};
    for (const limited_span &Known : Previous)
      if (Known.Span.First <= Span.Last && Known.Span.Last >= Span.First) {
        Limited = Known;
        Limited.Span = Span;
        Limited.Tokens.resize(Span.Limit, Burst, Now);
      }
    Limits.push_back(Limited);
  }
}

hot_points::limited_span *hot_points::find(key_point Point) {
  // A point that is hot by itself comes before the group around it.
  for (limited_span &Limited : Limits)
    if (Point >= Limited.Span.First && Point <= Limited.Span.Last)
      return &Limited;
  return nullptr;
}

duration hot_points::scheduleRetry(limited_span &Limited, time_point Now) {
  // Each refused request gets a different retry time, so that retries arrive at
  // the rate of the limit instead of together.
  std::chrono::duration<double> Interval(1 / std::max(Limited.Span.Limit, 0.1));
  time_point At =
      std::max<time_point>(Limited.NextRetryAt, Now + MinRetryAfter);
  Limited.NextRetryAt = std::min<time_point>(
      At + std::chrono::duration_cast<duration>(Interval), Now + MaxRetryAfter);
  return At - Now;
}

} // namespace dragonflyvane
