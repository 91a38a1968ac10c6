#include "dragonflyvane/core/cluster/random_peer.hpp"

#include <vector>

namespace dragonflyvane {

std::optional<endpoint> randomPeer(const cluster_view &View,
                                   const std::string &Host,
                                   std::mt19937_64 &Random) {
  std::vector<endpoint> Peers;
  for (const auto &[Name, Row] : View.hosts())
    if (Name != Host)
      Peers.push_back(Row.Content.PeerEndpoint);
  if (Peers.empty())
    return std::nullopt;
  return Peers[Random() % Peers.size()];
}

} // namespace dragonflyvane
