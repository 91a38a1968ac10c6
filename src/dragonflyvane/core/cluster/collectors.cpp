#include "dragonflyvane/core/cluster/collectors.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A failure domain has a first collector and one that stands in for it.
constexpr size_t MostCollectors = 2;

} // namespace

std::vector<std::string> collectorsOf(const cluster_view &View,
                                      const std::string &FailureDomain) {
  std::vector<std::pair<double, std::string>> Hosts;
  for (const auto &[Name, Row] : View.hosts())
    if (Row.Content.FailureDomain == FailureDomain)
      Hosts.emplace_back(-Row.Content.ProcessorShare, Name);
  std::sort(Hosts.begin(), Hosts.end());
  Hosts.resize(std::min(Hosts.size(), MostCollectors));
  std::vector<std::string> Names;
  for (auto &[Share, Name] : Hosts)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace dragonflyvane
