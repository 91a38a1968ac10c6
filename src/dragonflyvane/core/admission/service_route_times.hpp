/// The usual time at the servers of each service by route, from the reports of
/// all hosts.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_SERVICE_ROUTE_TIMES_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_SERVICE_ROUTE_TIMES_HPP

#include "dragonflyvane/core/admission/recent_route_times.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// Keeps the newest report of each host, on the coordinator.
class service_route_times {
public:
  /// Records what a host with a server of the service reports. An empty report
  /// withdraws the previous one.
  void onReport(const std::string &Host, const std::string &Service,
                const route_times &Times, time_point Now);
  /// Returns the median over the hosts of the service for the routes that most
  /// hosts report, at most `MaxReportedRoutes`. Old reports do not count, and
  /// nothing is returned until all hosts have had time to report.
  route_times mediansOf(const std::string &Service, time_point Now) const;

private:
  struct host_report {
    std::string Service;
    route_times Times;
    time_point At{};
  };

  bool hasReportOf(const std::string &Service) const;

  std::map<std::string, host_report> Reports;
  /// Since when each service has had reports without a gap.
  std::map<std::string, time_point> ReportedSince;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_SERVICE_ROUTE_TIMES_HPP
