/// Which servers of a keyed service may own keys while a rollout moves the
/// service, and which keys the small share of the new version consists of.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_KEY_PLACEMENT_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_KEY_PLACEMENT_HPP

#include "dragonflyvane/core/ownership/load_rebalancer.hpp"
#include "dragonflyvane/core/rollout/version_filter.hpp"

#include <vector>

namespace dragonflyvane {

/// The candidates of a keyed service, set apart by a rollout.
struct key_placement {
  /// All candidates that may own keys. Those of the small share have next to no
  /// capacity, so that they get keys only by `planShare`.
  std::vector<candidate> Owners;
  /// The candidates among which load is evened out.
  std::vector<candidate> Balanced;
  /// The candidates that own the small share.
  std::vector<candidate> Canaries;
  /// The small share of the new version.
  double Share = 0;
};

/// Sets the candidates of a service apart. Without a rollout, all of them own
/// keys and are balanced.
key_placement placeKeys(const version_filter &Versions,
                        const cluster_view &View,
                        const std::vector<candidate> &Candidates);

/// Plans moves of a few ranges to the canaries until they own their share.
/// Returns whether the map changed.
bool planShare(ownership_map &Map, const key_placement &Placement);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_KEY_PLACEMENT_HPP
