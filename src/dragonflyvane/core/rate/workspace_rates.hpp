/// Rate limits of workspaces over all hosts. Half of each rate is split evenly
/// between the hosts and is always available there. The other half is in a rate
/// pool at the coordinator, which gives tokens to hosts whose share is used up.
#ifndef DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP
#define DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP

#include "dragonflyvane/core/configuration/configuration.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// The result of `host_rate_share::take`.
enum class rate_decision {
  Granted,
  /// The share of the host is used up; the rate pool may have tokens.
  RequestFromPool,
  /// The share of the host is used up, the rate pool was empty at the last
  /// request, and the next request to it is not due yet.
  Refused
};

/// The share that a host has of the rates of all workspaces, and the tokens
/// that it got from the rate pool.
class host_rate_share {
public:
  /// Adapts the shares to a new configuration or a new number of hosts.
  void configure(const std::map<std::string, workspace> &Workspaces,
                 size_t Hosts, time_point Now);
  /// Takes a token. A workspace without a limit always gets `Granted`.
  rate_decision take(const std::string &Workspace, time_point Now);
  /// Puts the token of a request that was not executed into the bucket of the
  /// host, which still holds at most its burst.
  void refund(const std::string &Workspace);
  /// Returns the number of tokens to request from the pool, at least 1.
  double poolRequestSize(const std::string &Workspace) const;
  /// Records the response of the pool: a number of tokens, or none and the
  /// delay before the next request.
  void onPoolResponse(const std::string &Workspace, double Tokens,
                      duration PoolRetryAfter, time_point Now);
  /// Returns the delay after which a refused caller may retry; 100 ms for a
  /// workspace without a limit.
  duration retryAfter(const std::string &Workspace) const;

private:
  struct workspace_share {
    token_bucket LocalBucket;
    /// The share of the rate, in tokens per second.
    double Rate = 0;
    /// Unused tokens from the pool, which expire at `PoolTokensExpiry`.
    double PoolTokens = 0;
    time_point PoolTokensExpiry{};
    /// The earliest time of the next request to the pool.
    time_point NextPoolRequest{};
  };
  std::map<std::string, workspace_share> Shares;
};

/// The rate pool at the coordinator. A new pool is empty, so that a change of
/// the coordinator never adds tokens.
class rate_pool {
public:
  /// Adapts the pool to a new configuration.
  void configure(const std::map<std::string, workspace> &Workspaces,
                 time_point Now);
  /// Takes whole tokens up to an amount, and returns their number. Sets
  /// `PoolRetryAfter` to the time until the next token if there are none, else
  /// to zero. Returns 0 for an unknown workspace, and leaves `PoolRetryAfter`
  /// unchanged.
  double take(const std::string &Workspace, double Amount,
              duration &PoolRetryAfter, time_point Now);
  /// Removes all buckets, so that a host that becomes the coordinator starts
  /// with an empty pool.
  void clear() { Buckets.clear(); }

private:
  std::map<std::string, token_bucket> Buckets;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_RATE_WORKSPACE_RATES_HPP
