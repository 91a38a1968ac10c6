#include "dragonflyvane/core/ownership/point_sample.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds SampleWindow{2500};
constexpr size_t MaxArrivals = 256;
/// A sample has at least this number of points, if there are enough arrivals.
constexpr size_t MinSampleSize = 48;

} // namespace

void point_sample::record(key_point Point, time_point Now) {
  Arrivals.push_back({Point, Now});
  if (Arrivals.size() > MaxArrivals)
    Arrivals.pop_front();
}

void point_sample::evictExpired(time_point Now) {
  while (!Arrivals.empty() && Now - Arrivals.front().At > SampleWindow)
    Arrivals.pop_front();
}

std::vector<key_point> point_sample::points(time_point Now) {
  evictExpired(Now);
  std::vector<key_point> Sample;
  size_t Step = std::max<size_t>(1, Arrivals.size() / MinSampleSize);
  for (size_t I = 0; I < Arrivals.size(); I += Step)
    Sample.push_back(Arrivals[I].Point);
  return Sample;
}

} // namespace dragonflyvane
