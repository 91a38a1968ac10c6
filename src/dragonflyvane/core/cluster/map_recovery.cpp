#include "dragonflyvane/core/cluster/map_recovery.hpp"

#include <algorithm>

namespace dragonflyvane {

ownership_map restoredMap(const known_map &Map, store_era Era) {
  ownership_map Restored = Map.Content;
  Restored.Era = Era;
  Restored.RestoredFrom = Map.Lineage;
  return Restored;
}

ownership_map settledMap(const known_map &Map, store_era Era,
                         const lease_tracker &Leases) {
  ownership_map Settled = Map.Content;
  Settled.Era = Era;
  Settled.RestoredFrom = 0;
  uint64_t Token = nextTokenIn(Era, Map);
  for (owned_range &Range : Settled.Ranges) {
    if (eraOf(Range.Token) == Era || Leases.hasKeptLease(Range.Owner, Era))
      continue;
    Range.Token = Token;
    Range.Handover.clear();
  }
  return Settled;
}

uint64_t nextTokenIn(store_era Era, const known_map &Map) {
  return nextToken(std::max(Map.Version, versionIn(Era, 0)));
}

} // namespace dragonflyvane
