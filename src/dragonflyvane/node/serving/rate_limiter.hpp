/// Admits requests within the rates of their workspaces. Requests tokens from
/// the rate pool, which the coordinator keeps, when the share of this host is
/// used up.
#ifndef DRAGONFLYVANE_NODE_SERVING_RATE_LIMITER_HPP
#define DRAGONFLYVANE_NODE_SERVING_RATE_LIMITER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/rate/workspace_rates.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Limits the rates of workspaces on one host. All functions run on the thread
/// of the event loop.
class rate_limiter {
public:
  /// Receives the decision; `RetryAfter` is valid if the request was not
  /// admitted.
  using callback = std::function<void(bool Admitted, duration RetryAfter)>;
  /// Receives the response of the pool: tokens, or 0 and the time after which
  /// the pool may have some again.
  using pool_callback =
      std::function<void(double Tokens, duration PoolRetryAfter)>;
  /// Requests tokens from the pool.
  using pool_requester = std::function<void(const std::string &Workspace,
                                            double Amount, pool_callback)>;

  rate_limiter(const clock_source &Clock, pool_requester RequestTokens)
      : Clock(Clock), RequestTokens(std::move(RequestTokens)) {}

  /// Applies a change of the configuration or of the number of hosts.
  void configure(const std::map<std::string, workspace> &Workspaces,
                 size_t Hosts) {
    Rates.configure(Workspaces, Hosts, Clock.now());
  }
  /// Takes a token. Calls back at once, or after the response of the pool.
  void admit(const std::string &Workspace, callback Callback);
  /// Returns the token of an admitted request that has not run and never will.
  void refund(const std::string &Workspace) { Rates.refund(Workspace); }

private:
  void requestFromPool(const std::string &Workspace);
  void onPoolResponse(const std::string &Workspace, double Tokens,
                      duration PoolRetryAfter);

  const clock_source &Clock;
  pool_requester RequestTokens;
  host_rate_share Rates;
  /// Requests that wait for the response of the pool. One request to the pool
  /// is in progress for each workspace in this map.
  std::map<std::string, std::vector<callback>> WaitingForPool;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_RATE_LIMITER_HPP
