#include "dragonflyvane/core/cluster/store_relays.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The number of hosts of a failure domain that may relay. With a second relay,
/// a host could lose two relays in a row and miss a change of the configuration
/// for longer than such a change may take. A host without a relay calls the
/// store itself.
constexpr size_t MaxRelayCandidates = 1;

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
  Candidates.resize(std::min(Candidates.size(), MaxRelayCandidates));
  std::vector<std::string> Names;
  Names.reserve(Candidates.size());
  for (auto &[NegatedCpuShare, Name] : Candidates)
    Names.push_back(std::move(Name));
  return Names;
}

} // namespace dragonflyvane
