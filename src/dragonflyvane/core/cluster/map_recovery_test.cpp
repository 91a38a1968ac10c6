#include "dragonflyvane/core/cluster/map_recovery.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

known_map mapOfTwoOwners() {
  known_map Map;
  Map.Content.splitBefore(100);
  Map.Content.Ranges[0].Owner = "kept";
  Map.Content.Ranges[0].Token = 42;
  Map.Content.Ranges[1].Owner = "fresh";
  Map.Content.Ranges[1].Token = 1;
  Map.Version = versionIn(1, 70);
  Map.Lineage = Map.StoredLineage = 60;
  return Map;
}

lease_tracker leasesKeptBy(const std::string &Host, store_era Era) {
  lease_tracker Leases;
  lease_value Lease{"run", 1, std::chrono::milliseconds(5), Era};
  Leases.observe({versionIn(Era, 71),
                  std::chrono::milliseconds(9),
                  {{leaseRow(Host), versionIn(Era, 71), encodeLease(Lease)}}},
                 {}, true);
  return Leases;
}

} // namespace

// Guards against keys that are granted under a token below one that another
// server had, in a map that the store has lost.
TEST_CASE(
    "ranges of hosts that have not kept their leases get tokens of the new "
    "era") {
  ownership_map Settled =
      settledMap(mapOfTwoOwners(), 1, leasesKeptBy("kept", 1));
  CHECK(Settled.find(0).Token == 42);
  CHECK(eraOf(Settled.find(100).Token) == 1);
  CHECK(Settled.Era == 1);
  CHECK(Settled.RestoredFrom == 0);
}

TEST_CASE("a lease that was kept into an earlier era does not count") {
  ownership_map Settled =
      settledMap(mapOfTwoOwners(), 2, leasesKeptBy("kept", 1));
  CHECK(eraOf(Settled.find(0).Token) == 2);
}

TEST_CASE("a map that is written again keeps its lineage") {
  known_map Map = mapOfTwoOwners();
  ownership_map Restored = restoredMap(Map, 1);
  CHECK(lineageOf(Restored, versionIn(1, 75)) == Map.Lineage);
  CHECK(Restored.Ranges == Map.Content.Ranges);
}
