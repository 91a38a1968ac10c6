#include "dragonflyvane/core/admission/route_costs.hpp"

namespace dragonflyvane {

namespace {

/// The weight of the newest response in the moving averages.
constexpr double NewestWeight = 0.05;
/// Processing times rarely differ from the average by more mean deviations than
/// this; TCP uses the same factor for its retransmission timeout (RFC 6298).
constexpr int DeviationsInBound = 4;

duration blend(duration Old, duration New) {
  return std::chrono::duration_cast<duration>(Old * (1 - NewestWeight) +
                                              New * NewestWeight);
}

} // namespace

void route_costs::observe(const std::string &Route, duration ProcessingTime,
                          size_t Bytes) {
  auto Size = static_cast<double>(Bytes);
  auto [Entry, IsNew] =
      Routes.try_emplace(Route, cost{ProcessingTime, ProcessingTime / 2, Size});
  if (!IsNew) {
    cost &Cost = Entry->second;
    duration Difference =
        std::chrono::abs(ProcessingTime - Cost.ProcessingTime);
    Cost.Deviation = blend(Cost.Deviation, Difference);
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

duration route_costs::deviationOf(const std::string &Route) const {
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? duration{0} : Found->second.Deviation;
}

std::optional<duration>
route_costs::processingTimeBound(const std::string &Route) const {
  auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return std::nullopt;
  return Found->second.ProcessingTime +
         DeviationsInBound * Found->second.Deviation;
}

size_t route_costs::responseBytesOf(const std::string &Route) const {
  auto Found = Routes.find(Route);
  return Found == Routes.end() ? 0 : static_cast<size_t>(Found->second.Bytes);
}

} // namespace dragonflyvane
