#include "dragonflyvane/core/cluster/store_relays.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// With a second one a host could be blind twice in a row, for longer than a
/// change of the configuration may take; without, it calls the store itself.
constexpr size_t MaxRelayCandidates = 1;

/// Hosts in this order take on work for others.
std::pair<double, std::string> strength(const std::string &Name,
                                        const host_info &Info) {
  return {-Info.CpuShare, Name};
}

} // namespace

size_t rankOf(const cluster_view &View, const std::string &Host) {
  const host_info *Own = View.host(Host);
  if (!Own)
    return View.hosts().size();
  auto Strength = strength(Host, *Own);
  return std::count_if(
      View.hosts().begin(), View.hosts().end(), [&](const auto &Other) {
        return strength(Other.first, Other.second.Content) < Strength;
      });
}

std::vector<std::string> relayCandidatesOf(const cluster_view &View,
                                           const std::string &FailureDomain) {
  std::vector<std::pair<double, std::string>> Hosts;
  for (const auto &[Name, Row] : View.hosts())
    if (Row.Content.FailureDomain == FailureDomain)
      Hosts.push_back(strength(Name, Row.Content));
  std::sort(Hosts.begin(), Hosts.end());
  Hosts.resize(std::min(Hosts.size(), MaxRelayCandidates));
  std::vector<std::string> Names;
  Names.reserve(Hosts.size());
  for (auto &[Share, Name] : Hosts)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace dragonflyvane
