/// The administration API and the metrics of a daemon.
#ifndef DRAGONFLYVANE_NODE_ADMIN_HPP
#define DRAGONFLYVANE_NODE_ADMIN_HPP

#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/ownership_keeper.hpp"
#include "dragonflyvane/node/settings.hpp"

namespace dragonflyvane {

/// Answers operators and scrapers; changes nothing.
///
///     GET /metrics
///     GET /v1/status
///     GET /v1/hosts
///     GET /v1/owners/SERVICE
class admin {
public:
  struct parts {
    const settings &Settings;
    const clock_source &Clock;
    const order_book &Orders;
    const ownership_keeper &Keeper;
    const door &Door;
    crash_guard &Guard;
    metrics &Metrics;
  };

  explicit admin(parts Parts) : Parts(Parts) {}

  void serve(const exchange_pointer &Exchange);

private:
  http_response showMetrics();
  http_response showStatus() const;
  http_response showHosts() const;
  http_response showOwners(const std::string &Service) const;
  http_response showQuarantine() const;
  http_response release(const std::string &Fingerprint);

  parts Parts;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_HPP
