/// A sample of the key points of recent requests for a backend server.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <deque>
#include <vector>

namespace dragonflyvane {

/// Samples the requests of the last few seconds only, since the hot keys change
/// over time.
class point_sample {
public:
  /// Records a request for the key point.
  void record(key_point Point, time_point Now);
  /// Returns the key points of requests selected evenly from the recent ones.
  std::vector<key_point> points(time_point Now);

private:
  struct arrival {
    key_point Point = 0;
    time_point At;
  };
  void evictExpired(time_point Now);

  std::deque<arrival> Arrivals;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP
