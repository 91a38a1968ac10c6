#include "dragonflyvane/node/rate_limiter.hpp"

namespace dragonflyvane {

void rate_limiter::admit(const std::string &Workspace, callback Callback) {
  switch (Rates.take(Workspace, Clock.now())) {
  case rate_decision::Granted:
    return Callback(true, duration::zero());
  case rate_decision::Refused:
    return Callback(false, Rates.retryAfter(Workspace));
  case rate_decision::AskPool:
    break;
  }
  auto [Found, IsFirst] = Waiting.try_emplace(Workspace);
  Found->second.push_back(std::move(Callback));
  if (IsFirst)
    askPool(Workspace);
}

void rate_limiter::askPool(const std::string &Workspace) {
  Ask(Workspace, Rates.poolRequestSize(Workspace),
      [this, Workspace](double Tokens, duration PoolRetryAfter) {
        onPoolResponse(Workspace, Tokens, PoolRetryAfter);
      });
}

void rate_limiter::onPoolResponse(const std::string &Workspace, double Tokens,
                                  duration PoolRetryAfter) {
  time_point Now = Clock.now();
  Rates.onPoolResponse(Workspace, Tokens, PoolRetryAfter, Now);
  auto Found = Waiting.find(Workspace);
  if (Found == Waiting.end())
    return;
  std::vector<callback> Callbacks = std::move(Found->second);
  Waiting.erase(Found);
  // Some may ask again, when a chunk was smaller than what waited for it.
  for (callback &Callback : Callbacks) {
    if (Tokens < 1)
      Callback(false, Rates.retryAfter(Workspace));
    else
      admit(Workspace, std::move(Callback));
  }
}

} // namespace dragonflyvane
