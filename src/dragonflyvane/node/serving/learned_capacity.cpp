#include "dragonflyvane/node/serving/learned_capacity.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

/// Smaller changes of the speed are not logged.
constexpr double NotableSpeedChange = 1.25;
/// Bounds the number of log lines while the values vary.
constexpr std::chrono::seconds MinLogInterval{1};

} // namespace

bool learned_capacity::isCurrent() const {
  return Switch.isOn() && Incarnation == Server.incarnation();
}

void learned_capacity::renew() {
  Estimator = {};
  Incarnation = Server.incarnation();
  LoggedLimit = Server.slots();
  LoggedSpeed = 1;
  LoggedAt = {};
  if (Service == Server.service())
    Estimator.setServiceTimes(ServiceTimes);
}

void learned_capacity::observe(const server_response &Response,
                               time_point Now) {
  if (!Switch.isOn())
    return;
  if (!isCurrent())
    renew();
  Estimator.setSlots(Server.slots());
  Estimator.observe(Response, Now);
  logChange(Now);
}

void learned_capacity::setServiceTimes(const route_times &Times) {
  Service = Server.service();
  ServiceTimes = Times;
  if (isCurrent())
    Estimator.setServiceTimes(Times);
}

uint32_t learned_capacity::concurrencyLimit(time_point Now) const {
  if (!isCurrent())
    return Server.slots();
  return std::min(Server.slots(), Estimator.concurrencyLimit(Now));
}

uint32_t learned_capacity::settledLimit(time_point Now) const {
  if (!isCurrent())
    return Server.slots();
  return std::min(Server.slots(), Estimator.settledLimit(Now));
}

void learned_capacity::addTo(load_report &Report, time_point Now) const {
  if (!Switch.isOn())
    return;
  auto Known = speed();
  Metrics.set("server_concurrency_limit", {}, settledLimit(Now));
  Metrics.set("server_speed", {}, Known.value_or(1));
  if (!Known)
    return;
  Report.ConcurrencyLimit = settledLimit(Now);
  Report.Speed = *Known;
}

std::optional<double> learned_capacity::speed() const {
  if (!isCurrent() || !Estimator.isSpeedKnown())
    return std::nullopt;
  return Estimator.speed();
}

route_times learned_capacity::usualTimes(time_point Now) const {
  return isCurrent() ? Estimator.usualTimes(Now) : route_times{};
}

void learned_capacity::logChange(time_point Now) {
  uint32_t Limit = settledLimit(Now);
  double Speed = Estimator.speed();
  bool IsNotable =
      Limit != LoggedLimit ||
      std::abs(std::log(Speed / LoggedSpeed)) > std::log(NotableSpeedChange);
  if (!IsNotable || Now - LoggedAt < MinLogInterval)
    return;
  writeLog(log_level::Info, "learned capacity changed",
           {{"step", "capacity"},
            {"instance", Incarnation.Instance},
            {"slots", Server.slots()},
            {"limit", Limit},
            {"limit_before", LoggedLimit},
            {"speed_percent", std::lround(Speed * 100)},
            {"speed_percent_before", std::lround(LoggedSpeed * 100)}});
  LoggedLimit = Limit;
  LoggedSpeed = Speed;
  LoggedAt = Now;
}

} // namespace dragonflyvane
