#include "dragonflyvane/node/rate_gate.hpp"

namespace dragonflyvane {

void rate_gate::admit(const std::string &Workspace, callback Callback) {
  switch (Rates.take(Workspace, Clock.now())) {
  case rate_verdict::Granted:
    return Callback(true, duration::zero());
  case rate_verdict::Refused:
    return Callback(false, Rates.retryAfter(Workspace));
  case rate_verdict::AskPool:
    break;
  }
  auto [Found, IsFirst] = Waiting.try_emplace(Workspace);
  Found->second.push_back(std::move(Callback));
  if (IsFirst)
    askPool(Workspace);
}

void rate_gate::askPool(const std::string &Workspace) {
  Ask(Workspace, Rates.chunk(Workspace),
      [this, Workspace](double Tokens, duration AskAfter) {
        onChunk(Workspace, Tokens, AskAfter);
      });
}

void rate_gate::onChunk(const std::string &Workspace, double Tokens,
                        duration AskAfter) {
  time_point Now = Clock.now();
  Rates.onChunk(Workspace, Tokens, AskAfter, Now);
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
