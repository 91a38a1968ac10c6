/// A member as home of token buckets, and as their client.
#include "dragonflyvane/core/member.hpp"

#include <utility>

namespace dragonflyvane {

void member::takeToken(const std::string &Workspace, time_point Deadline,
                       time_point Now, token_cache::callback Callback) {
  Tokens.take(Workspace, Deadline, Now, std::move(Callback));
  sendAsks(Now);
}

void member::tickTokens(time_point Now) {
  Tokens.tick(Now);
  sendAsks(Now);
}

void member::sendAsks(time_point Now) {
  for (token_ask &Ask : Tokens.takeAsks(Now)) {
    auto Home = ownerOf(rateSliceOf(Ask.Workspace));
    if (!Home)
      continue;
    if (Home->Host == Identity.Host)
      on(Identity.Host, Ask, Now);
    else
      send(Home->Host, std::move(Ask));
  }
}

/// A bucket begins when this host becomes its home, and ends when it is not any
/// more. A new epoch that only this host can have written changes nothing.
bool member::isHome(const std::string &Workspace, time_point Now) {
  auto Token = dispatchToken(rateSliceOf(Workspace), Now);
  if (!Token) {
    RateHome.end(Workspace);
    return false;
  }
  uint64_t &Epoch = HomeEpochs[Workspace];
  if (!RateHome.has(Workspace) || Token->Epoch > Epoch + 1)
    RateHome.begin(Workspace, Now);
  Epoch = Token->Epoch;
  return true;
}

void member::watchHomes(time_point Now) {
  const auto &Config = View.configurationRow();
  if (!Config)
    return;
  for (const auto &[Name, Workspace] : Config->Content.Workspaces)
    isHome(Name, Now);
}

void member::on(const std::string &From, const token_ask &Body,
                time_point Now) {
  const auto &Config = View.configurationRow();
  if (!Config || !isHome(Body.Workspace, Now))
    return;
  auto Workspace = Config->Content.Workspaces.find(Body.Workspace);
  if (Workspace == Config->Content.Workspaces.end())
    return;
  token_grant Grant = RateHome.grant(From, Body, Workspace->second, Now);
  if (From == Identity.Host)
    Tokens.onGrant(Grant, Now);
  else
    send(From, Grant);
}

void member::on(const std::string &, const token_grant &Body, time_point Now) {
  Tokens.onGrant(Body, Now);
}

} // namespace dragonflyvane
