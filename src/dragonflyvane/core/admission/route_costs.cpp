#include "dragonflyvane/core/admission/route_costs.hpp"

namespace dragonflyvane {

namespace {

/// The weight of the newest response in the moving averages.
constexpr double NewestWeight = 0.05;

duration blend(duration Old, duration New) {
  return std::chrono::duration_cast<duration>(Old * (1 - NewestWeight) +
                                              New * NewestWeight);
}

} // namespace

void route_costs::observe(const std::string &Route, duration ProcessingTime,
                          size_t Bytes) {
  auto Size = static_cast<double>(Bytes);
  auto [Entry, IsNew] = Routes.try_emplace(Route, cost{ProcessingTime, Size});
  if (!IsNew) {
    cost &Cost = Entry->second;
    Cost.ProcessingTime = blend(Cost.ProcessingTime, ProcessingTime);
    Cost.Bytes = Cost.Bytes * (1 - NewestWeight) + Size * NewestWeight;
  }
  MeanProcessingTime = blend(MeanProcessingTime, ProcessingTime);
}

duration route_costs::processingTimeOf(const std::string &Route) const {
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? MeanProcessingTime
                               : Found->second.ProcessingTime;
}

size_t route_costs::responseBytesOf(const std::string &Route) const {
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? 0 : static_cast<size_t>(Found->second.Bytes);
}

} // namespace dragonflyvane
