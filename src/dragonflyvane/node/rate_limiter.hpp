/// Admits requests within the rates of their workspaces; asks the pool of
/// another host when the own part is used up.
#ifndef DRAGONFLYVANE_NODE_RATE_LIMITER_HPP
#define DRAGONFLYVANE_NODE_RATE_LIMITER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/rate/workspace_rates.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Used on the event loop's thread.
class rate_limiter {
public:
  /// `RetryAfter` counts when the request is not admitted.
  using callback = std::function<void(bool Admitted, duration RetryAfter)>;
  /// The pool's answer: tokens, or none and when to ask again.
  using pool_callback =
      std::function<void(double Tokens, duration PoolRetryAfter)>;
  /// Asks the pool for tokens.
  using pool_asker = std::function<void(const std::string &Workspace,
                                        double Amount, pool_callback)>;

  rate_limiter(const clock_source &Clock, pool_asker Ask)
      : Clock(Clock), Ask(std::move(Ask)) {}

  void configure(const std::map<std::string, workspace> &Workspaces,
                 size_t Hosts) {
    Rates.configure(Workspaces, Hosts, Clock.now());
  }
  void admit(const std::string &Workspace, callback Callback);
  /// An admitted request has not run, and never will.
  void refund(const std::string &Workspace) { Rates.refund(Workspace); }

private:
  void askPool(const std::string &Workspace);
  void onPoolResponse(const std::string &Workspace, double Tokens,
                      duration PoolRetryAfter);

  const clock_source &Clock;
  pool_asker Ask;
  host_rate_share Rates;
  /// Requests that wait for the pool's answer; an ask is under way for each
  /// workspace here.
  std::map<std::string, std::vector<callback>> Waiting;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_RATE_LIMITER_HPP
