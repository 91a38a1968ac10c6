/// How much load one incarnation of a server handles well, learned from its
/// responses.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_CAPACITY_ESTIMATOR_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_CAPACITY_ESTIMATOR_HPP

#include "dragonflyvane/core/admission/recent_route_times.hpp"
#include "dragonflyvane/core/admission/throughput_knee.hpp"

namespace dragonflyvane {

/// The estimate for one incarnation.
class capacity_estimator {
public:
  /// Sets the number of requests that the server runs at the same time.
  void setSlots(uint32_t Slots) { Knee.setSlots(Slots); }
  /// Sets the usual times of the service, to which the speed is relative.
  void setServiceTimes(route_times Times);
  /// Adds a response that arrived at `Now`.
  void observe(const server_response &Response, time_point Now);
  /// The number of requests in flight up to which the throughput grows, from 1
  /// to the slots; the slots if nothing else is known.
  uint32_t concurrencyLimit(time_point Now) const { return Knee.limit(Now); }
  /// The same without the requests that the check of a limit allows at
  /// intervals; for log, reports and other hosts.
  uint32_t settledLimit(time_point Now) const { return Knee.settledLimit(Now); }
  /// How much faster the server works than the service usually does, over its
  /// routes; 1 if not known.
  double speed() const { return Speed; }
  /// Whether the speed was compared with the service's usual times.
  bool isSpeedKnown() const { return IsSpeedKnown; }
  /// The usual times of the server, for the reports to the coordinator.
  route_times usualTimes(time_point Now) const { return Times.usualTimes(Now); }

private:
  void updateSpeed(time_point Now);

  recent_route_times Times;
  throughput_knee Knee;
  route_times ServiceTimes;
  double Speed = 1;
  bool IsSpeedKnown = false;
  time_point SpeedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_CAPACITY_ESTIMATOR_HPP
