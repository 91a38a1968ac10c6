#include "dragonflyvane/core/admission/service_route_times.hpp"

#include <algorithm>
#include <vector>

namespace dragonflyvane {

namespace {

/// Hosts report every second. An older report may be of a host that is gone.
constexpr std::chrono::seconds MaxReportAge{5};
/// The median of the first few hosts that report to a new coordinator would
/// change the speed of all servers for a moment.
constexpr std::chrono::seconds CollectionTime{2};

/// The lower one of the two middle values, if their number is even.
duration medianOf(std::vector<duration> Values) {
  auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void service_route_times::onReport(const std::string &Host,
                                   const std::string &Service,
                                   const route_times &Times, time_point Now) {
  std::erase_if(Reports, [Now](const auto &Entry) {
    return Now - Entry.second.At > MaxReportAge;
  });
  if (!hasReportOf(Service))
    ReportedSince[Service] = Now;
  Reports[Host] = {Service, Times, Now};
}

bool service_route_times::hasReportOf(const std::string &Service) const {
  return std::any_of(Reports.begin(), Reports.end(), [&](const auto &Entry) {
    return Entry.second.Service == Service;
  });
}

route_times service_route_times::mediansOf(const std::string &Service,
                                           time_point Now) const {
  auto Since = ReportedSince.find(Service);
  if (Since == ReportedSince.end() || Now - Since->second < CollectionTime)
    return {};
  std::map<std::string, std::vector<duration>> TimesByRoute;
  for (const auto &[Host, Report] : Reports)
    if (Report.Service == Service && Now - Report.At <= MaxReportAge)
      for (const auto &[Route, Time] : Report.Times)
        TimesByRoute[Route].push_back(Time);
  std::vector<std::pair<size_t, std::string>> ByHosts;
  ByHosts.reserve(TimesByRoute.size());
  for (const auto &[Route, Times] : TimesByRoute)
    ByHosts.emplace_back(Times.size(), Route);
  std::stable_sort(
      ByHosts.begin(), ByHosts.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  if (ByHosts.size() > MaxReportedRoutes)
    ByHosts.resize(MaxReportedRoutes);
  route_times Medians;
  for (const auto &[Count, Route] : ByHosts)
    Medians[Route] = medianOf(TimesByRoute[Route]);
  return Medians;
}

} // namespace dragonflyvane
