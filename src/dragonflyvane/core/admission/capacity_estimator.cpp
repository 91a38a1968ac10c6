#include "dragonflyvane/core/admission/capacity_estimator.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

/// The speed is computed at most this often, to save CPU time.
constexpr std::chrono::milliseconds UpdatePeriod{100};
/// Small differences are smoothed with this time constant, since processing
/// times vary by chance. Larger ones apply at once.
constexpr std::chrono::duration<double> SmoothingTime{2.0};
constexpr double LargeChange = 1.5;

} // namespace

void capacity_estimator::setServiceTimes(route_times Usual) {
  ServiceTimes = std::move(Usual);
}

void capacity_estimator::observe(const server_response &Response,
                                 time_point Now) {
  Times.observe(Response.Route, Response.TimeAtServer, Now);
  Knee.observe(Response, Now);
  if (Now - SpeedAt >= UpdatePeriod)
    updateSpeed(Now);
}

void capacity_estimator::updateSpeed(time_point Now) {
  std::chrono::duration<double> Elapsed = Now - SpeedAt;
  SpeedAt = Now;
  double Latest = Times.speedAgainst(ServiceTimes, Now);
  if (Latest <= 0)
    return;
  bool IsLarge = std::abs(std::log(Latest / Speed)) > std::log(LargeChange);
  double Weight =
      IsLarge || !IsSpeedKnown ? 1 : 1 - std::exp(-Elapsed / SmoothingTime);
  Speed += (Latest - Speed) * Weight;
  IsSpeedKnown = true;
}

} // namespace dragonflyvane
