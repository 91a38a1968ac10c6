/// What requests of each route usually cost: work of a backend server, and
/// bytes on the link.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace dragonflyvane {

/// Moving averages, learned from answers. A route that was not seen yet costs
/// as much as the mean of all.
class route_costs {
public:
  void observe(const std::string &Route, duration Work, size_t Bytes);
  duration workOf(const std::string &Route) const;
  /// Bytes of an answer.
  size_t responseBytesOf(const std::string &Route) const;
  duration meanWork() const { return MeanWork; }

private:
  struct cost {
    duration Work{0};
    double Bytes = 0;
  };

  std::map<std::string, cost> Routes;
  /// What a request is taken to need before any was seen.
  duration MeanWork = std::chrono::milliseconds(50);
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_ROUTE_COSTS_HPP
