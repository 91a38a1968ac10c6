/// Rates of workspaces over all hosts: half of each is split evenly and is
/// always at hand; the other half lies in a pool at one host, which hands out
/// chunks to hosts whose own part is used up.
#ifndef DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP
#define DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP

#include "dragonflyvane/core/configuration/configuration.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// What `take` says.
enum class rate_decision { Granted, AskPool, Refused };

/// The part of one host.
class host_rate_share {
public:
  /// The configuration changed, or the number of hosts.
  void configure(const std::map<std::string, workspace> &Workspaces,
                 size_t Hosts, time_point Now);
  /// Takes one token. `AskPool` when the own part is used up and the pool may
  /// have some.
  rate_decision take(const std::string &Workspace, time_point Now);
  /// Puts a token back, since its request has not run.
  void refund(const std::string &Workspace);
  /// How many tokens to ask the pool for.
  double poolRequestSize(const std::string &Workspace) const;
  /// The pool's answer: tokens, or none and when to ask again.
  void onPoolResponse(const std::string &Workspace, double Tokens,
                      duration PoolRetryAfter, time_point Now);
  /// When a refused caller may come back.
  duration retryAfter(const std::string &Workspace) const;

private:
  struct part {
    token_bucket Own;
    double Rate = 0;
    /// Tokens from the pool, and until when they count.
    double Chunk = 0;
    time_point ChunkEnd{};
    time_point NextAsk{};
  };
  std::map<std::string, part> Shares;
};

/// The pool. A new one begins empty, so that a change of its host never adds
/// tokens.
class rate_pool {
public:
  void configure(const std::map<std::string, workspace> &Workspaces,
                 time_point Now);
  /// Takes up to an amount; `PoolRetryAfter` is set when there is none.
  double take(const std::string &Workspace, double Amount,
              duration &PoolRetryAfter, time_point Now);
  void clear() { Buckets.clear(); }

private:
  std::map<std::string, token_bucket> Buckets;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP
