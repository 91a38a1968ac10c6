#include "dragonflyvane/node/serving/rate_limiter.hpp"

namespace dragonflyvane {

void rate_limiter::admit(const std::string &Workspace, callback Callback) {
  switch (Rates.take(Workspace, Clock.now())) {
  case rate_decision::Granted:
    return Callback(true, duration::zero());
  case rate_decision::Refused:
    return Callback(false, Rates.retryAfter(Workspace));
  case rate_decision::RequestFromPool:
    break;
  }
  auto [Found, IsFirst] = WaitingForPool.try_emplace(Workspace);
  Found->second.push_back(std::move(Callback));
  if (IsFirst)
    requestFromPool(Workspace);
}

void rate_limiter::requestFromPool(const std::string &Workspace) {
  RequestTokens(Workspace, Rates.poolRequestSize(Workspace),
                [this, Workspace](double Tokens, duration PoolRetryAfter) {
                  onPoolResponse(Workspace, Tokens, PoolRetryAfter);
                });
}

void rate_limiter::onPoolResponse(const std::string &Workspace, double Tokens,
                                  duration PoolRetryAfter) {
  time_point Now = Clock.now();
  Rates.onPoolResponse(Workspace, Tokens, PoolRetryAfter, Now);
  auto Found = WaitingForPool.find(Workspace);
  if (Found == WaitingForPool.end())
    return;
  std::vector<callback> Callbacks = std::move(Found->second);
  WaitingForPool.erase(Found);
  // If there were more waiting requests than tokens, `admit` requests tokens
  // again.
  for (callback &Callback : Callbacks) {
    if (Tokens < 1)
      Callback(false, Rates.retryAfter(Workspace));
    else
      admit(Workspace, std::move(Callback));
  }
}

} // namespace dragonflyvane
