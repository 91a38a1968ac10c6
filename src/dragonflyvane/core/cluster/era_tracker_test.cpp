#include "dragonflyvane/core/cluster/era_tracker.hpp"

#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const time_point Start{std::chrono::hours(1)};
const time_point LeaseEnd = Start + seconds(4);

/// A map of the first era that the host knows, and a store that has come back
/// from a copy with an older one.
known_map lostMap() {
  known_map Map;
  Map.Version = versionIn(1, 63);
  Map.Lineage = 89;
  Map.StoredLineage = 63;
  return Map;
}

known_map restoredMap() {
  known_map Map = lostMap();
  Map.Content.Era = 1;
  Map.Content.RestoredFrom = 89;
  Map.StoredLineage = 89;
  return Map;
}

} // namespace

TEST_CASE("without a return of the store the lease alone limits grants") {
  era_tracker Eras;
  Eras.start(12, Start);
  CHECK(Eras.isQuarantineOver(Start));
  CHECK(Eras.grantDeadline({{}, 12, 12, 12}, LeaseEnd) == LeaseEnd);
}

// Guards against grants of a host that may have been taken over in rows that
// the store has lost.
TEST_CASE("a host that has not kept its lease grants nothing until the map is "
          "settled") {
  era_tracker Eras;
  Eras.start(12, Start);
  Eras.beginEra(versionIn(1, 70), Start - seconds(1), Start);
  CHECK(!Eras.hasKeptLease());
  CHECK(Eras.grantDeadline(lostMap(), LeaseEnd) == time_point{});
  CHECK(Eras.grantDeadline(restoredMap(), LeaseEnd) == time_point{});
  known_map Settled;
  Settled.Content.Era = 1;
  Settled.Version = Settled.Lineage = Settled.StoredLineage = versionIn(1, 71);
  CHECK(Eras.grantDeadline(Settled, LeaseEnd) == LeaseEnd);
}

// Guards against grants that go on although no map in the store shows them, so
// that others are granted the same keys once the map is settled.
TEST_CASE("a host that has kept its lease goes on, and beyond its earlier "
          "grants only if the store has its map") {
  era_tracker Eras;
  Eras.start(12, Start);
  Eras.beginEra(versionIn(1, 70), Start + seconds(3), Start);
  CHECK(Eras.hasKeptLease());
  CHECK(Eras.grantDeadline(lostMap(), LeaseEnd) == Start + seconds(3));
  CHECK(Eras.grantDeadline(restoredMap(), LeaseEnd) == LeaseEnd);
  Eras.onLeaseLost();
  CHECK(Eras.grantDeadline(restoredMap(), LeaseEnd) == time_point{});
}

TEST_CASE("a settled map of an earlier era is not settled in the next") {
  era_tracker Eras;
  Eras.start(versionIn(1, 5), Start);
  known_map Map;
  Map.Content.Era = 1;
  Map.Version = Map.Lineage = Map.StoredLineage = versionIn(1, 4);
  CHECK(Eras.isSettled(Map));
  Eras.beginEra(versionIn(2, 3), Start, Start);
  CHECK(!Eras.isSettled(Map));
}

TEST_CASE(
    "the quarantine lasts until the leases of the earlier era have ended") {
  era_tracker Eras;
  CHECK(!Eras.isQuarantineOver(Start));
  Eras.start(versionIn(1, 5), Start);
  CHECK(!Eras.isQuarantineOver(Start + LeaseDuration));
  CHECK(Eras.isQuarantineOver(Start + LeaseDuration + LeaseClockMargin));
  Eras.beginEra(versionIn(2, 5), Start, Start + seconds(60));
  CHECK(!Eras.isQuarantineOver(Start + seconds(61)));
}

TEST_CASE(
    "versions of an earlier era are outdated, and the first renewal of an "
    "era is noticed") {
  era_tracker Eras;
  Eras.start(versionIn(2, 5), Start);
  CHECK(Eras.isOutdated(versionIn(1, 500)));
  CHECK(Eras.isNew(versionIn(3, 1)));
  CHECK(!Eras.wasRenewed());
  CHECK(Eras.onRenewed());
  CHECK(!Eras.onRenewed());
  CHECK(Eras.wasRenewed());
}

// Guards against a map that nobody confirms, because the copy has it: grants
// under it end seconds before it is settled.
TEST_CASE("a host that has kept its lease restores a map of an earlier era") {
  known_map Unchanged;
  Unchanged.Version = 63;
  Unchanged.Lineage = 63;
  Unchanged.StoredLineage = 63;
  era_tracker Eras;
  Eras.start(12, Start);
  CHECK(!Eras.mustRestore(Unchanged));
  Eras.beginEra(versionIn(1, 70), LeaseEnd, Start);
  CHECK(Eras.mustRestore(Unchanged));
  CHECK(Eras.mustRestore(lostMap()));
  CHECK(!Eras.mustRestore(restoredMap()));
  Eras.onLeaseLost();
  CHECK(!Eras.mustRestore(Unchanged));
  CHECK(Eras.mustRestore(lostMap()));
}
