/// The points that a backend server was asked for lately.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <deque>
#include <vector>

namespace dragonflyvane {

/// Keeps arrivals of the last seconds only, since busy keys change.
class point_sample {
public:
  void record(key_point Point, time_point Now);
  /// Evenly chosen from the arrivals that are kept.
  std::vector<key_point> take(time_point Now);

private:
  struct arrival {
    key_point Point = 0;
    time_point At;
  };
  void forgetOld(time_point Now);

  std::deque<arrival> Arrivals;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_POINT_SAMPLE_HPP
