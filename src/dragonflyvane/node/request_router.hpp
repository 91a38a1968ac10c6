/// Where requests come in: finds route, workspace and owner, forwards, tries
/// again where that is allowed, and answers.
#ifndef DRAGONFLYVANE_NODE_REQUEST_ROUTER_HPP
#define DRAGONFLYVANE_NODE_REQUEST_ROUTER_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "dragonflyvane/node/dispatcher.hpp"
#include "dragonflyvane/node/host_selector.hpp"
#include "dragonflyvane/node/rate_limiter.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Serves callers. Used on the event loop's thread.
class request_router {
public:
  struct dependencies {
    const settings &Settings;
    event_loop &Loop;
    const clock_source &Clock;
    const operator_state &OperatorState;
    const cluster_view &View;
    dispatcher &Dispatcher;
    peer_client &Peers;
    rate_limiter &Rates;
    const header_names &Names;
    metrics &Metrics;
    const bulk_pacer &Link;
  };

  explicit request_router(dependencies Deps);
  ~request_router();

  /// A request of a caller.
  void serve(const exchange_pointer &Exchange);
  /// Owners or hosts have changed: requests that wait for one look again.
  void onClusterChange();
  /// From now on new requests are refused, "not run"; what is here ends.
  void startClosing() { IsClosing = true; }
  /// Requests that are not answered yet.
  size_t activeCount() const { return Open; }

private:
  class active_request;
  friend class active_request;

  retry_budget &budgetOf(const std::string &Service);

  dependencies Deps;
  host_selector HostSelector;
  /// Of answers as callers got them.
  route_costs Costs;
  std::map<std::string, retry_budget> Budgets;
  std::vector<std::weak_ptr<active_request>> Waiting;
  std::mt19937_64 Random;
  size_t Open = 0;
  bool IsClosing = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_REQUEST_ROUTER_HPP
