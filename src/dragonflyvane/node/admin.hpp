/// The administration API and the metrics of a daemon.
#ifndef DRAGONFLYVANE_NODE_ADMIN_HPP
#define DRAGONFLYVANE_NODE_ADMIN_HPP

#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/cluster_sync.hpp"
#include "dragonflyvane/node/door.hpp"
#include "dragonflyvane/node/local_server.hpp"
#include "dragonflyvane/node/settings.hpp"
#include "dragonflyvane/node/steward.hpp"

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
    const cluster_sync &Sync;
    const local_server &Server;
    const door &Door;
    const steward &Steward;
    metrics &Metrics;
  };

  explicit admin(parts Parts) : Parts(Parts) {}

  void serve(const exchange_pointer &Exchange);

private:
  http_response showMetrics();
  http_response showStatus() const;
  http_response showHosts() const;
  http_response showOwners(const std::string &Service) const;

  parts Parts;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_HPP
