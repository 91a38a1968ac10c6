/// Choice of a peer for a call that any peer can answer.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_RANDOM_PEER_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_RANDOM_PEER_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/endpoint.hpp"

#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Returns the endpoint of a random host of the view other than `Host`; none if
/// there is no other host.
std::optional<endpoint> randomPeer(const cluster_view &View,
                                   const std::string &Host,
                                   std::mt19937_64 &Random);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_RANDOM_PEER_HPP
