/// Which hosts take on work for others: the strongest go first.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"

#include <string>
#include <vector>

namespace dragonflyvane {

/// How many other hosts are stronger than this one, by processor, then by name.
size_t rankOf(const cluster_view &View, const std::string &Host);

/// The hosts of a failure domain that may call the store for the others there,
/// the first choice first: those with most processor, then by name. All hosts
/// that see the same rows choose the same; where views differ, one collector
/// more is asked, which does no harm.
std::vector<std::string> relayCandidatesOf(const cluster_view &View,
                                           const std::string &FailureDomain);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_STORE_RELAYS_HPP
