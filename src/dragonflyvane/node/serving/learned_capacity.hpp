/// The learned capacity of the local backend server: the estimate for its
/// current incarnation, with log lines and metrics.
#ifndef DRAGONFLYVANE_NODE_SERVING_LEARNED_CAPACITY_HPP
#define DRAGONFLYVANE_NODE_SERVING_LEARNED_CAPACITY_HPP

#include "dragonflyvane/core/admission/capacity_estimator.hpp"
#include "dragonflyvane/core/configuration/feature_switch.hpp"
#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/serving/local_server.hpp"

#include <optional>

namespace dragonflyvane {

/// Keeps one estimate, which starts afresh with each incarnation.
class learned_capacity {
public:
  /// While `Switch` is off, the limit is the slots and the speed not known.
  learned_capacity(const local_server &Server, metrics &Metrics,
                   feature_switch Switch)
      : Server(Server), Metrics(Metrics), Switch(Switch) {}

  /// Adds a response of the current incarnation.
  void observe(const server_response &Response, time_point Now);
  /// Sets the usual times of the service of the server.
  void setServiceTimes(const route_times &Times);
  /// The number of requests that the server may run at the same time.
  uint32_t concurrencyLimit(time_point Now) const;
  /// The same without the requests that the check of a limit allows at
  /// intervals.
  uint32_t settledLimit(time_point Now) const;
  /// The speed relative to the service; none if not known.
  std::optional<double> speed() const;
  /// Sets limit and speed in a report, if the speed is known, and the gauges.
  void addTo(load_report &Report, time_point Now) const;
  /// The usual times of the server, for the reports to the coordinator.
  route_times usualTimes(time_point Now) const;

private:
  /// Whether the estimate is for the current incarnation.
  bool isCurrent() const;
  /// Discards the estimate of an earlier incarnation.
  void renew();
  /// Writes a log line if the limit or the speed has changed notably.
  void logChange(time_point Now);

  const local_server &Server;
  metrics &Metrics;
  feature_switch Switch;
  capacity_estimator Estimator;
  server_incarnation Incarnation;
  /// The service whose usual times are in `ServiceTimes`.
  std::string Service;
  route_times ServiceTimes;
  /// The values in the last log line.
  uint32_t LoggedLimit = 0;
  double LoggedSpeed = 1;
  time_point LoggedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_LEARNED_CAPACITY_HPP
