#include "dragonflyvane/core/cluster/cluster_view.hpp"

#include "dragonflyvane/core/error.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

stored_row mapRowWith(const std::string &Owner, row_version Version,
                      store_era Era = 0, row_version RestoredFrom = 0) {
  ownership_map Map;
  Map.Ranges.front().Owner = Owner;
  Map.Era = Era;
  Map.RestoredFrom = RestoredFrom;
  return {mapRow("desk"), Version, encodeMap(Map)};
}

host_info anyHost() {
  host_info Info;
  Info.PeerEndpoint = {"127.0.0.1", 7780};
  return Info;
}

std::string ownerIn(const cluster_view &View) {
  return View.map("desk")->Content.find(0).Owner;
}

} // namespace

// Guards against an older map that is believed because the store has come back
// from a copy.
TEST_CASE("a map from an older copy does not replace a newer one") {
  cluster_view View;
  View.apply(mapRowWith("b", 89));
  CHECK(View.map("desk")->isSettled());
  View.apply(mapRowWith("a", versionIn(1, 63)));
  CHECK(ownerIn(View) == "b");
  CHECK(View.map("desk")->isStoreBehind());
  CHECK(!View.map("desk")->isSettled());
  CHECK(View.map("desk")->Version == versionIn(1, 63));
}

TEST_CASE("among maps that are written again the newest lineage counts") {
  cluster_view View;
  View.apply(mapRowWith("a", 63));
  View.apply(mapRowWith("b", versionIn(1, 70), 1, 89));
  CHECK(ownerIn(View) == "b");
  CHECK(!View.map("desk")->isSettled());
  View.apply(mapRowWith("c", versionIn(1, 71), 1, 80));
  CHECK(ownerIn(View) == "b");
  CHECK(View.map("desk")->isStoreBehind());
  View.apply(mapRowWith("d", versionIn(1, 72), 1));
  CHECK(ownerIn(View) == "d");
  CHECK(View.map("desk")->isSettled());
}

TEST_CASE("a map that the copy does not have is kept, and not settled") {
  cluster_view View;
  View.apply(mapRowWith("a", 63));
  View.removeMissing({versionIn(1, 20), {}, {}});
  CHECK(ownerIn(View) == "a");
  CHECK(View.map("desk")->isStoreBehind());
  CHECK(View.map("desk")->Version == 0);
}

// Guards against a write that conflicts for ever, because the row that its
// condition names is gone (a host row, after a return of the store).
TEST_CASE("a row that a conflict has shown to be missing is removed") {
  cluster_view View;
  View.apply({hostRow("a"), 18, encodeHost(anyHost())});
  CHECK(!View.removeMissingRow({hostRow("a"), 17}));
  CHECK(!View.removeMissingRow({hostRow("a"), 0}));
  CHECK(View.host("a"));
  CHECK(View.removeMissingRow({hostRow("a"), 18}));
  CHECK(!View.host("a"));
}

// Guards against a write that conflicts for ever, because the version of a row
// that cannot be read is not known.
TEST_CASE("the version of a row that cannot be read is known, and its older "
          "content is kept") {
  cluster_view View;
  View.apply({hostRow("a"), 18, encodeHost(anyHost())});
  CHECK_THROWS_AS(View.apply({hostRow("a"), 19, "odd"}), step_error);
  CHECK(!View.apply({hostRow("a"), 19, "odd"}));
  CHECK(View.host("a"));
  CHECK(View.hostVersion("a") == 19);
  CHECK(!View.isReadable(hostRow("a")));
  CHECK(View.unreadableRows() == 1);
  CHECK_THROWS_AS(View.apply({hostRow("b"), 20, "odd"}), step_error);
  CHECK(!View.host("b"));
  CHECK(View.hostVersion("b") == 20);
  View.apply({hostRow("a"), 21, encodeHost(anyHost())});
  View.apply({hostRow("b"), 22, std::nullopt});
  CHECK(View.hostVersion("a") == 21);
  CHECK(View.hostVersion("b") == 0);
  CHECK(View.unreadableRows() == 0);
}

// Guards against a rollback that is forgotten because the store has come back
// from an older copy.
TEST_CASE("the state of a rollout is not replaced by an earlier one") {
  cluster_view View;
  rollout_state Later;
  Later.To = "v2";
  Later.Sequence = 4;
  Later.Outcome = rollout_outcome::RolledBack;
  rollout_state Earlier;
  Earlier.To = "v2";
  Earlier.Sequence = 2;
  CHECK(View.apply({rolloutRow("desk"), 9, encodeRollout(Later)}));
  CHECK(View.apply(
      {rolloutRow("desk"), versionIn(1, 5), encodeRollout(Earlier)}));
  CHECK(View.rollout("desk")->Content == Later);
  CHECK(View.rollout("desk")->Version == versionIn(1, 5));
  CHECK(View.rollout("desk")->isStoreBehind());
  View.removeMissing({});
  CHECK(View.rollout("desk")->Content == Later);
  CHECK(View.rollout("desk")->Version == 0);
}

// Guards against a daemon that cannot read the rows of hosts before an upgrade.
TEST_CASE("a host row without a version is decoded") {
  host_info Host = anyHost();
  CHECK(decodeHost(encodeHost(Host)) == Host);
  Host.Version = "v2";
  CHECK(decodeHost(encodeHost(Host)) == Host);
}
