/// The administration API and the metrics page of a daemon.
#ifndef DRAGONFLYVANE_NODE_ADMIN_ADMIN_HPP
#define DRAGONFLYVANE_NODE_ADMIN_ADMIN_HPP

#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/node/cluster/ownership_manager.hpp"
#include "dragonflyvane/node/serving/dispatcher.hpp"
#include "dragonflyvane/node/settings.hpp"

namespace dragonflyvane {

/// Serves operators and scrapers. Only `DELETE` changes anything: it releases a
/// request from quarantine.
///
///     GET /metrics
///     GET /v1/status
///     GET /v1/hosts
///     GET /v1/owners/SERVICE
///     GET /v1/quarantine
///     DELETE /v1/quarantine/FINGERPRINT
class admin {
public:
  /// The objects whose state the pages show; they must outlive this object.
  struct dependencies {
    const settings &Settings;
    const clock_source &Clock;
    const operator_state &OperatorState;
    const ownership_manager &Ownership;
    const dispatcher &Dispatcher;
    crash_guard &CrashGuard;
    metrics &Metrics;
  };

  explicit admin(dependencies Deps) : Deps(Deps) {}

  /// Responds to a request, with status 404 for an unknown page and 405 for a
  /// method that is not supported.
  void serve(const exchange_pointer &Exchange);

private:
  http_response showMetrics();
  http_response showStatus() const;
  http_response showHosts() const;
  http_response showOwners(const std::string &Service) const;
  http_response showQuarantine() const;
  /// Releases a request from quarantine. Status 404 if the fingerprint is
  /// malformed or does not belong to a suspect request.
  http_response release(const std::string &Fingerprint);

  dependencies Deps;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ADMIN_ADMIN_HPP
