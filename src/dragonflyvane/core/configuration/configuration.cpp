#include "dragonflyvane/core/configuration/configuration.hpp"

#include "dragonflyvane/core/http_message.hpp"

#include <algorithm>

namespace dragonflyvane {

void configuration::add(route Route) {
  std::vector<route> &Routes = this->Routes[Route.Host];
  auto Position =
      std::find_if(Routes.begin(), Routes.end(), [&](const route &R) {
        return R.Prefix.size() < Route.Prefix.size();
      });
  Routes.insert(Position, std::move(Route));
}

const route *findRoute(const configuration &Config, std::string_view Host,
                       std::string_view Target) {
  auto Found = Config.Routes.find(std::string(Host.substr(0, Host.find(':'))));
  if (Found == Config.Routes.end())
    return nullptr;
  std::string_view Path = pathOf(Target);
  for (const route &Route : Found->second)
    if (Path.substr(0, Route.Prefix.size()) == Route.Prefix)
      return &Route;
  return nullptr;
}

} // namespace dragonflyvane
