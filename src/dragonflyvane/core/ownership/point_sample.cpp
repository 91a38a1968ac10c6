#include "dragonflyvane/core/ownership/point_sample.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds Memory{2500};
constexpr size_t MostArrivals = 256;
constexpr size_t SampleSize = 48;

} // namespace

void point_sample::record(key_point Point, time_point Now) {
  Arrivals.push_back({Point, Now});
  if (Arrivals.size() > MostArrivals)
    Arrivals.pop_front();
}

void point_sample::forgetOld(time_point Now) {
  while (!Arrivals.empty() && Now - Arrivals.front().At > Memory)
    Arrivals.pop_front();
}

std::vector<key_point> point_sample::take(time_point Now) {
  forgetOld(Now);
  std::vector<key_point> Sample;
  size_t Step = std::max<size_t>(1, Arrivals.size() / SampleSize);
  for (size_t I = 0; I < Arrivals.size(); I += Step)
    Sample.push_back(Arrivals[I].Point);
  return Sample;
}

} // namespace dragonflyvane
