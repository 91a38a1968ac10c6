/// The usual time at a server by route, over the recent responses.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_RECENT_ROUTE_TIMES_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_RECENT_ROUTE_TIMES_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace dragonflyvane {

/// Usual times by the name of the route.
using route_times = std::map<std::string, duration>;

/// The largest number of routes for which a host reports its usual times.
inline constexpr size_t MaxReportedRoutes = 8;

/// Keeps the recent responses of a bounded number of routes.
class recent_route_times {
public:
  /// Adds a response that arrived at `Now`.
  void observe(const std::string &Route, duration TimeAtServer, time_point Now);
  /// Returns the usual time of the routes with the most responses, at most
  /// `MaxReportedRoutes`. A route with too few responses is left out.
  route_times usualTimes(time_point Now) const;
  /// Returns how much faster the routes are than in `Reference`, averaged over
  /// the routes by their number of responses; 0 if no route can be compared.
  double speedAgainst(const route_times &Reference, time_point Now) const;

private:
  struct response {
    time_point At{};
    duration TimeAtServer{0};
  };
  using response_window = std::deque<response>;

  /// The usual time of a route, and the number of responses it is computed
  /// from.
  struct usual_time {
    duration Time{0};
    size_t Count = 0;
  };

  static usual_time usualTimeIn(const response_window &Window, time_point Now);
  /// Evicts the route with the oldest latest response if the bound is reached.
  void makeRoomForRoute();

  std::map<std::string, response_window> Routes;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_RECENT_ROUTE_TIMES_HPP
