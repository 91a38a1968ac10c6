/// The maps that hosts write after the store has come back from an older copy.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_MAP_RECOVERY_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_MAP_RECOVERY_HPP

#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"

namespace dragonflyvane {

/// Returns the map that a host writes again because the store has lost it. It
/// keeps its lineage and must not be changed until it is settled.
ownership_map restoredMap(const known_map &Map, store_era Era);

/// Returns the settled map, which may be changed again. The ranges of hosts
/// that have not kept their leases into the era get new tokens, since others
/// may have had them, in rows that the store has lost.
ownership_map settledMap(const known_map &Map, store_era Era,
                         const lease_tracker &Leases);

/// Returns the token for changes to a map in an era. It is larger than all
/// tokens of earlier eras.
uint64_t nextTokenIn(store_era Era, const known_map &Map);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_MAP_RECOVERY_HPP
