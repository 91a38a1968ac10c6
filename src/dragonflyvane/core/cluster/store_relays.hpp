/// The order in which hosts are chosen as relay of their failure domain and as
/// coordinator: hosts with the largest `CpuShare` come first.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"

#include <string>
#include <vector>

namespace dragonflyvane {

/// Returns the number of hosts that precede this host when hosts are ordered by
/// descending `CpuShare`, then by name. An unknown host comes last.
size_t hostRank(const cluster_view &View, const std::string &Host);

/// Returns the hosts of a failure domain that may relay store calls for the
/// others in it, ordered by descending `CpuShare`, then by name. Hosts with the
/// same view choose the same relay. While views differ, more than one host may
/// relay calls, which is harmless.
std::vector<std::string> relayCandidatesOf(const cluster_view &View,
                                           const std::string &FailureDomain);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP
