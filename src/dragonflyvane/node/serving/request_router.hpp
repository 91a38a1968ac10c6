/// Routes requests of callers: finds route, workspace and host, forwards the
/// request, retries where that is allowed, and responds.
#ifndef DRAGONFLYVANE_NODE_SERVING_REQUEST_ROUTER_HPP
#define DRAGONFLYVANE_NODE_SERVING_REQUEST_ROUTER_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"
#include "dragonflyvane/core/admission/graceful_shutdown.hpp"
#include "dragonflyvane/core/admission/nested_calls.hpp"
#include "dragonflyvane/core/admission/retry_budget.hpp"
#include "dragonflyvane/core/admission/route_costs.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/header_names.hpp"
#include "dragonflyvane/net/event_loop.hpp"
#include "dragonflyvane/net/http_exchange.hpp"
#include "dragonflyvane/net/metrics.hpp"
#include "dragonflyvane/net/peer_transport.hpp"
#include "dragonflyvane/node/serving/dispatcher.hpp"
#include "dragonflyvane/node/serving/host_selector.hpp"
#include "dragonflyvane/node/serving/rate_limiter.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Serves callers. All functions run on the thread of the event loop.
class request_router {
public:
  /// The objects that the router uses; they must outlive it.
  struct dependencies {
    const settings &Settings;
    event_loop &Loop;
    const clock_source &Clock;
    const operator_state &OperatorState;
    const cluster_view &View;
    dispatcher &Dispatcher;
    const local_server &LocalServer;
    peer_client &Peers;
    rate_limiter &RateLimiter;
    const header_names &Names;
    metrics &Metrics;
    /// Paces large messages on the link of this host.
    const bulk_pacer &Link;
    const graceful_shutdown &Shutdown;
    const crash_guard &CrashGuard;
  };

  explicit request_router(dependencies Deps);
  ~request_router();

  /// Handles a request of a caller. The response may be sent after the function
  /// has returned.
  void serve(const exchange_pointer &Exchange);
  /// Called after owners or hosts have changed. Requests that wait for a host
  /// look for one again.
  void onClusterChange();
  /// Ends all requests with a response that says whether they may have run.
  void endAll();
  /// Number of requests that were received and have not ended.
  size_t activeCount() const { return ActiveRequests.size(); }

private:
  class active_request;
  friend class active_request;

  /// The retry budget of a service, created on first use.
  retry_budget &retryBudgetFor(const std::string &Service);

  dependencies Deps;
  feature_switch OverloadControl;
  host_selector HostSelector;
  nested_calls NestedCalls;
  known_conditions Conditions;
  /// Estimated from the times and sizes of the responses to callers.
  route_costs Costs;
  std::map<std::string, retry_budget> RetryBudgets;
  std::vector<std::weak_ptr<active_request>> WaitingForHost;
  std::mt19937_64 Random;
  std::set<active_request *> ActiveRequests;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_REQUEST_ROUTER_HPP
