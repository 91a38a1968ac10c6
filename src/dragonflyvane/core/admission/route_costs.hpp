/// The usual cost of the requests of each route: processing time at the backend
/// server, and bytes on the network link.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Keeps exponential moving averages of the responses of each route.
class route_costs {
public:
  /// Adds a response to the averages: its processing time and the size of its
  /// body in bytes.
  void observe(const std::string &Route, duration ProcessingTime, size_t Bytes);
  /// Returns the usual processing time of the route, or `meanProcessingTime`
  /// for a route without a response so far.
  duration processingTimeOf(const std::string &Route) const;
  /// Returns the mean difference of a processing time of the route from the
  /// usual one, or zero for a route without a response so far.
  duration deviationOf(const std::string &Route) const;
  /// Returns a time that the processing of the route rarely exceeds, or nothing
  /// for a route without a response so far.
  std::optional<duration> processingTimeBound(const std::string &Route) const;
  /// Returns the usual body size of a response in bytes, or zero for a route
  /// without a response so far.
  size_t responseBytesOf(const std::string &Route) const;
  /// Returns the usual processing time over all routes.
  duration meanProcessingTime() const { return MeanProcessingTime; }

private:
  struct cost {
    duration ProcessingTime{0};
    /// The mean difference of a processing time from the average.
    duration Deviation{0};
    double Bytes = 0;
  };

  std::map<std::string, cost> Routes;
  /// The initial value is the estimate used before the first response.
  duration MeanProcessingTime = std::chrono::milliseconds(50);
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP
