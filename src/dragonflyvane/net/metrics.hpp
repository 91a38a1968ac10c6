/// Counters, gauges and histograms in the Prometheus text format.
#ifndef DRAGONFLYVANE_NET_METRICS_HPP
#define DRAGONFLYVANE_NET_METRICS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <memory>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A label of a time series, such as `workspace`.
struct metric_label {
  std::string Name;
  std::string Value;
};

/// The labels of a series. The order counts: the same labels in another order
/// are another series.
using metric_labels = std::vector<metric_label>;

/// The time series of one process; safe to use from any thread. A series is
/// created when it is first used.
///
///     Metrics.count("requests_total", {{"workspace", "ferry"}});
///     Metrics.observe("request_seconds", {{"workspace", "ferry"}}, Elapsed);
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds to a counter.
  void count(const std::string &Name, const metric_labels &Labels = {},
             uint64_t Increment = 1);
  /// Sets a gauge.
  void set(const std::string &Name, const metric_labels &Labels, double Value);
  /// Adds a duration to a histogram, in seconds.
  void observe(const std::string &Name, const metric_labels &Labels,
               duration Elapsed);
  /// Adds several durations at once, which is cheaper.
  void observe(const std::string &Name, const metric_labels &Labels,
               const std::vector<duration> &Elapsed);
  /// Returns all series in the text exposition format, with the prefix
  /// `dragonflyvane_` before each name.
  std::string exposition() const;

private:
  struct series;
  std::unique_ptr<series> Series;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_METRICS_HPP
