#include "dragonflyvane/core/cluster/fleet_pace.hpp"

namespace dragonflyvane {

namespace {

/// Calls that were not necessary for this long become necessary anew.
constexpr std::chrono::seconds NeedTimeout{5};

/// Returns a random fraction between two bounds of the delay of one host.
duration randomDelay(duration DelayPerHost, size_t HostCount, double Min,
                     double Max, std::mt19937_64 &Random) {
  double Factor = std::uniform_real_distribution<double>(Min, Max)(Random);
  return std::chrono::duration_cast<duration>(
      DelayPerHost * (static_cast<double>(HostCount) * Factor));
}

} // namespace

void fleet_pace::onNeeded(size_t HostCount, std::mt19937_64 &Random,
                          time_point Now) {
  bool IsNew = NeededAt == time_point{} || Now - NeededAt > NeedTimeout;
  NeededAt = Now;
  if (IsNew && Now >= NextAt)
    NextAt = Now + randomDelay(DelayPerHost, HostCount, 0, 1, Random);
}

void fleet_pace::onSent(size_t HostCount, std::mt19937_64 &Random,
                        time_point Now) {
  NextAt = Now + randomDelay(DelayPerHost, HostCount, 0.5, 1.5, Random);
}

} // namespace dragonflyvane
