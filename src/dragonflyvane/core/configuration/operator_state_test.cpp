#include "dragonflyvane/core/configuration/operator_state.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

const row_id Config{row_kind::Operator, "config"};
const row_id East{row_kind::Operator, "out-east"};

std::optional<operator_row> decode(const stored_row &Row) {
  operator_row OperatorRow;
  if (Row.Value == "bad")
    return std::nullopt;
  if (Row.Id == East) {
    OperatorRow.EvacuatedFailureDomain = "east";
    return OperatorRow;
  }
  auto Document = std::make_shared<configuration>();
  Document->Version = Row.Version;
  OperatorRow.Configuration = Document;
  return OperatorRow;
}

} // namespace

TEST_CASE("older and invalid configurations are ignored") {
  operator_state State({Config, East}, &decode);
  CHECK(State.apply({Config, 5, "x"}));
  CHECK(!State.apply({Config, 4, "x"}));
  CHECK(!State.apply({Config, 6, "bad"}));
  CHECK(State.config()->Version == 5);
  CHECK(State.conditions()[0].Version == 6);
  CHECK(State.conditions()[1].Version == 0);
}

TEST_CASE(
    "an evacuation ends when a read or a watch shows that its row is deleted") {
  operator_state State({Config, East}, &decode);
  CHECK(State.apply({East, 7, "{}"}));
  CHECK(State.isEvacuated("east"));
  CHECK(State.applyAll({9, {}, {}}));
  CHECK(!State.isEvacuated("east"));
  CHECK(State.apply({East, 10, "{}"}));
  CHECK(State.apply({East, 11, std::nullopt}));
  CHECK(!State.isEvacuated("east"));
}

// Guards against: a daemon that has just started takes an evacuation from long
// before for one that has just begun.
TEST_CASE("an evacuation counts as found if its row was there at first sight") {
  operator_state State({Config, East}, &decode);
  CHECK_FALSE(State.wasFoundEvacuated("east"));
  SUBCASE("in a read") { State.applyAll({7, {}, {{East, 7, "{}"}}}); }
  SUBCASE("in a conflict") { State.apply({East, 7, "{}"}); }
  CHECK(State.wasFoundEvacuated("east"));
  State.apply({East, 8, std::nullopt});
  CHECK_FALSE(State.wasFoundEvacuated("east"));
  State.apply({East, 9, "{}"});
  CHECK(State.isEvacuated("east"));
  CHECK_FALSE(State.wasFoundEvacuated("east"));
}

TEST_CASE("an evacuation after a read without its row has just begun") {
  operator_state State({Config, East}, &decode);
  State.applyAll({6, {}, {}});
  State.apply({East, 7, "{}"});
  CHECK(State.isEvacuated("east"));
  CHECK_FALSE(State.wasFoundEvacuated("east"));
}

// Guards against results that arrive late, by another path than newer ones: an
// evacuation would end, or one that was taken back would be in force again.
TEST_CASE("late results neither delete a newer row nor bring back a deleted "
          "one") {
  operator_state State({Config, East}, &decode);
  CHECK(State.apply({East, 7, "{}"}));
  CHECK(!State.applyAll({6, {}, {}}));
  CHECK(State.isEvacuated("east"));
  CHECK(State.conditions()[1].Version == 7);
  CHECK(State.apply({East, 9, std::nullopt}));
  CHECK(!State.apply({East, 8, "{}"}));
  CHECK(!State.isEvacuated("east"));
  CHECK(State.conditions()[1].Version == 0);
  CHECK(State.apply({East, 10, "{}"}));
  // A conflict tells that the row is missing, but not since when.
  CHECK(State.apply({East, 0, std::nullopt}));
  CHECK(!State.apply({East, 10, "{}"}));
  CHECK(!State.isEvacuated("east"));
}

// Guards against an order that is lost because its row is not among those whose
// versions are confirmed, and against one that stays after its withdrawal.
TEST_CASE("rollout orders are put in force and withdrawn with their rows") {
  const row_id Row{row_kind::Operator, "rollout/desk"};
  operator_state State({Config}, [](const stored_row &) {
    operator_row OperatorRow;
    OperatorRow.Rollout = {"desk", "v2", std::chrono::seconds(12)};
    return std::optional(OperatorRow);
  });
  CHECK(State.apply({Row, 7, "{}"}));
  REQUIRE(State.rollouts().contains("desk"));
  CHECK(State.rollouts().at("desk").RowVersion == 7);
  CHECK(State.conditions().size() == 1);
  State.setSettling(true);
  CHECK(!State.applyAll({9, {}, {}}));
  CHECK(State.rollouts().contains("desk"));
  CHECK(State.setSettling(false));
  CHECK(State.rollouts().empty());
}

TEST_CASE("the confirmation age counts from the sending of the request") {
  operator_state State({Config, East}, &decode);
  manual_clock Clock;
  State.confirm(Clock.now());
  Clock.advance(std::chrono::seconds(3));
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(3));
  State.confirm(Clock.now() - std::chrono::seconds(4));
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(3));
}

// Guards against a configuration that goes back because the store has come back
// from an older copy, and against its confirmation.
TEST_CASE("an earlier configuration from an older copy is neither put in force "
          "nor confirmed") {
  operator_state State({Config, East}, [](const stored_row &Row) {
    operator_row OperatorRow;
    auto Document = std::make_shared<configuration>();
    Document->Version = std::stoull(Row.Value.value_or("0"));
    OperatorRow.Configuration = Document;
    return std::optional(OperatorRow);
  });
  manual_clock Clock;
  State.apply({Config, 50, "12"});
  State.confirm(Clock.now());
  State.setSettling(true);
  CHECK(!State.apply({Config, versionIn(1, 40), "11"}));
  CHECK(State.config()->Version == 12);
  CHECK(State.conditions()[0].Version == versionIn(1, 40));
  Clock.advance(std::chrono::seconds(1));
  State.confirm(Clock.now());
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(1));
  CHECK(State.apply({Config, versionIn(1, 44), "12"}));
  State.confirm(Clock.now());
  CHECK(State.confirmationAge(Clock.now()) == duration{0});
}

// Guards against a fleet that refuses all callers for good, because operators
// do not write again what the store has lost.
TEST_CASE(
    "after the settling time an earlier configuration in the store confirms "
    "the one in force") {
  operator_state State({Config, East}, &decode);
  manual_clock Clock;
  State.apply({Config, 50, "x"});
  State.confirm(Clock.now());
  State.setSettling(true);
  Clock.advance(std::chrono::seconds(2));
  State.applyAll({versionIn(1, 3), {}, {}});
  State.confirm(Clock.now());
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(2));
  State.setSettling(false);
  State.confirm(Clock.now());
  CHECK(State.config()->Version == 50);
  CHECK(State.confirmationAge(Clock.now()) == duration{0});
}

// Guards against evacuations that end and begin again while operators write
// their rows again.
TEST_CASE("evacuations stay as they are until operators have written again") {
  operator_state State({Config, East}, &decode);
  State.apply({East, 7, "{}"});
  CHECK(!State.setSettling(true));
  CHECK(!State.applyAll({versionIn(1, 3), {}, {}}));
  CHECK(State.isEvacuated("east"));
  State.apply({East, versionIn(1, 5), "{}"});
  CHECK(!State.setSettling(false));
  CHECK(State.isEvacuated("east"));
  State.setSettling(true);
  State.apply({East, versionIn(1, 6), std::nullopt});
  CHECK(State.setSettling(false));
  CHECK(!State.isEvacuated("east"));
}

namespace {

constexpr time_point Now{std::chrono::seconds(100)};

bool isConfirmed(const operator_state &State) {
  return State.confirmationAge(Now) < std::chrono::seconds(4);
}

/// A state that has read a copy with configuration 5 at its start.
operator_state startedBesideReturn(row_version Noted) {
  operator_state State({Config, East}, &decode);
  State.awaitNewest(Noted);
  State.apply({Config, 5, "x"});
  State.confirm(Now);
  return State;
}

} // namespace

// Guards against a copy that is taken for the newest configuration.
TEST_CASE("a start beside a return confirms nothing by the copy") {
  operator_state State = startedBesideReturn(40);
  CHECK(!isConfirmed(State));
  CHECK(!State.knownConfiguration(Now));
  State.endAwaiting();
  State.confirm(Now);
  CHECK(isConfirmed(State));
  CHECK(State.knownConfiguration(Now));
}

TEST_CASE("a row that is written after the return ends the wait") {
  operator_state State = startedBesideReturn(40);
  State.apply({Config, 41, "x"});
  State.confirm(Now);
  CHECK(isConfirmed(State));
  operator_state Unknown = startedBesideReturn(0);
  Unknown.apply({Config, 41, "x"});
  Unknown.confirm(Now);
  CHECK(!isConfirmed(Unknown));
}

// Guards against a confirmation that is older than the peer's, and against a
// return to the copy after the peer's configuration.
TEST_CASE("the configuration of a peer is in force until operators write a "
          "later one") {
  operator_state State = startedBesideReturn(40);
  known_configuration Known{{Config, 9, "x"}, std::chrono::seconds(3)};
  CHECK(State.adopt(Known, Now));
  CHECK(State.config()->Version == 9);
  CHECK(State.confirmationAge(Now) == std::chrono::seconds(3));
  State.apply({Config, 6, "x"});
  State.confirm(Now);
  CHECK(State.config()->Version == 9);
  CHECK(State.confirmationAge(Now) == std::chrono::seconds(3));
  State.apply({Config, 45, "x"});
  State.confirm(Now);
  CHECK(State.config()->Version == 45);
  CHECK(State.confirmationAge(Now) == std::chrono::seconds(0));
  CHECK(!State.adopt(Known, Now));
}

// Guards against an evacuation that acts again, or ends, since a peer with an
// older state has told so.
TEST_CASE("rows of a peer are applied only if the peer knows a newer version") {
  operator_state Peer({Config, East}, &decode);
  Peer.apply({Config, 5, "x"});
  Peer.apply({East, 6, "{}"});
  row_batch Older = Peer.confirmedRows();
  CHECK(Older.Revision == 6);

  operator_state State({Config, East}, &decode);
  State.apply({Config, 5, "x"});
  CHECK(State.applyRowsOfPeer(Older));
  CHECK(State.isEvacuated("east"));
  CHECK(State.newestVersion() == 6);
  CHECK(State.conditions()[1].Version == 6);
  CHECK(!State.applyRowsOfPeer(Older));

  Peer.apply({East, 8, std::nullopt});
  CHECK(State.applyRowsOfPeer(Peer.confirmedRows()));
  CHECK(!State.isEvacuated("east"));
  CHECK(!State.applyRowsOfPeer(Older));
  CHECK(!State.isEvacuated("east"));
  CHECK(State.config()->Version == 5);
}

// Guards against a configuration that counts as confirmed although this host
// has not reached the store.
TEST_CASE("rows of a peer do not confirm the configuration") {
  operator_state Peer({Config}, &decode);
  Peer.apply({Config, 5, "x"});
  operator_state State({Config}, &decode);
  State.confirm(time_point(std::chrono::seconds(3)));
  State.applyRowsOfPeer(Peer.confirmedRows());
  CHECK(State.confirmationAge(time_point(std::chrono::seconds(8))) ==
        std::chrono::seconds(5));
}
