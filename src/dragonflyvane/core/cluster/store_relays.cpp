#include "dragonflyvane/core/cluster/store_relays.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A host that loses several relays in a row can miss a change of the
/// configuration for longer than such a change may take, so a small failure
/// domain has one relay, and its hosts call the store themselves without it.
/// The direct calls of a large failure domain would overload the store, so it
/// has a further relay for each of this number of hosts.
constexpr size_t HostsPerFurtherRelay = 20;
constexpr size_t MaxRelayCandidates = 3;

/// Returns the sort key of a host: hosts with a larger `CpuShare` come first.
std::pair<double, std::string> relayOrder(const std::string &Name,
                                          const host_info &Info) {
  return {-Info.CpuShare, Name};
}

} // namespace

size_t hostRank(const cluster_view &View, const std::string &Host) {
  const host_info *Own = View.host(Host);
  if (!Own)
    return View.hosts().size();
  auto OwnOrder = relayOrder(Host, *Own);
  return std::count_if(
      View.hosts().begin(), View.hosts().end(), [&](const auto &Other) {
        return relayOrder(Other.first, Other.second.Content) < OwnOrder;
      });
}

std::vector<std::string> relayCandidatesOf(const cluster_view &View,
                                           const std::string &FailureDomain) {
  std::vector<std::pair<double, std::string>> Candidates;
  for (const auto &[Name, Row] : View.hosts())
    if (Row.Content.FailureDomain == FailureDomain)
      Candidates.push_back(relayOrder(Name, Row.Content));
  std::sort(Candidates.begin(), Candidates.end());
  size_t Count = std::min(MaxRelayCandidates,
                          1 + Candidates.size() / HostsPerFurtherRelay);
  Candidates.resize(std::min(Candidates.size(), Count));
  std::vector<std::string> Names;
  Names.reserve(Candidates.size());
  for (auto &[NegatedCpuShare, Name] : Candidates)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace dragonflyvane
