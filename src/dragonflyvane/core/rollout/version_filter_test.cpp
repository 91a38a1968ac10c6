#include "dragonflyvane/core/rollout/version_filter.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

struct version_filter_fixture {
  void order(const std::string &To, row_version Version) {
    OperatorState.apply({OrderRow, Version, To});
  }
  void write(const rollout_state &State) {
    View.apply({rolloutRow("desk"), ++RowVersion, encodeRollout(State)});
  }
  version_use useOf(const std::string &Version, const std::string &Host = "a") {
    host_info Info;
    Info.Version = Version;
    return version_filter(View, OperatorState, "desk").useOf(Host, Info);
  }
  rollout_state stateOf(rollout_outcome Outcome, rollout_step Step) {
    rollout_state State;
    State.Order = 5;
    State.Sequence = ++Sequence;
    State.To = "v2";
    State.Outcome = Outcome;
    State.Step = Step;
    return State;
  }

  row_id OrderRow{row_kind::Operator, "rollout/desk"};
  cluster_view View;
  operator_state OperatorState{
      {}, [](const stored_row &Row) {
        operator_row OperatorRow;
        OperatorRow.Rollout = {"desk", *Row.Value, std::chrono::seconds(12)};
        return std::optional(OperatorRow);
      }};
  row_version RowVersion = 10;
  uint64_t Sequence = 0;
};

} // namespace

// Guards against a deployment without orders that is served otherwise.
TEST_CASE("without an order all versions are alike") {
  version_filter_fixture F;
  CHECK(F.useOf("v1") == version_use::Any);
  CHECK(F.useOf("v2") == version_use::Any);
}

// Guards against traffic for new servers before the coordinator has seen the
// order.
TEST_CASE("an order without a state keeps the new version without requests") {
  version_filter_fixture F;
  F.order("v2", 5);
  CHECK(F.useOf("v1") == version_use::Rest);
  CHECK(F.useOf("v2") == version_use::LastResort);
}

// Guards against a small share that is spread over all new servers.
TEST_CASE("a small share goes to the chosen new servers only") {
  version_filter_fixture F;
  F.order("v2", 5);
  rollout_state State =
      F.stateOf(rollout_outcome::Running, rollout_step::Canary);
  State.Share = 0.05;
  State.Canaries = {"b"};
  F.write(State);
  CHECK(F.useOf("v2", "b") == version_use::Share);
  CHECK(F.useOf("v2", "c") == version_use::LastResort);
  CHECK(F.useOf("v1") == version_use::Rest);
}

// Guards against a share that differs from the one that the state names, and
// against requests that are refused although a server is left.
TEST_CASE("a draw below the share selects the new servers") {
  version_filter_fixture F;
  F.order("v2", 5);
  rollout_state State =
      F.stateOf(rollout_outcome::Running, rollout_step::Canary);
  State.Share = 0.05;
  State.Canaries = {"b"};
  F.write(State);
  host_info Old;
  Old.Version = "v1";
  host_info New;
  New.Version = "v2";
  version_filter Filter(F.View, F.OperatorState, "desk");
  std::vector<std::pair<std::string, const host_info *>> Hosts = {
      {"a", &Old}, {"b", &New}, {"c", &New}};
  CHECK(Filter.select(Hosts, 0.04) == std::vector<std::string>{"b"});
  CHECK(Filter.select(Hosts, 0.06) == std::vector<std::string>{"a"});
  CHECK(Filter.select({{"c", &New}}, 0.06) == std::vector<std::string>{"c"});
}

// Guards against all traffic at the one or two servers of a small share, when
// an order names the version that already serves, or the old servers are lost.
TEST_CASE("without old servers all new ones share the requests") {
  version_filter_fixture F;
  F.order("v2", 5);
  rollout_state State =
      F.stateOf(rollout_outcome::Running, rollout_step::Canary);
  State.Share = 0.05;
  State.Canaries = {"b"};
  F.write(State);
  host_info New;
  New.Version = "v2";
  version_filter Filter(F.View, F.OperatorState, "desk");
  CHECK(Filter.select({{"b", &New}, {"c", &New}}, 0.04).size() == 2);
  CHECK(Filter.select({{"b", &New}, {"c", &New}}, 0.06).size() == 2);
}

TEST_CASE("after completed only the new version is used while it has servers") {
  version_filter_fixture F;
  F.order("v2", 5);
  F.write(F.stateOf(rollout_outcome::Completed, rollout_step::All));
  CHECK(F.useOf("v2") == version_use::Any);
  CHECK(F.useOf("v1") == version_use::LastResort);
  F.write(F.stateOf(rollout_outcome::Closed, rollout_step::All));
  CHECK(F.useOf("v1") == version_use::Any);
}

// Guards against a bad version that gets traffic when its order is withdrawn or
// another one names another version.
TEST_CASE("a version that was rolled back stays barred until an order names "
          "it") {
  version_filter_fixture F;
  F.order("v2", 5);
  F.write(F.stateOf(rollout_outcome::RolledBack, rollout_step::Canary));
  CHECK(F.useOf("v2") == version_use::Barred);
  CHECK(F.useOf("v1") == version_use::Any);
  F.OperatorState.apply({F.OrderRow, 6, std::nullopt});
  CHECK(F.useOf("v2") == version_use::Barred);
  F.order("v3", 7);
  CHECK(F.useOf("v2") == version_use::Barred);
  CHECK(F.useOf("v3") == version_use::LastResort);
  F.order("v2", 8);
  CHECK(F.useOf("v2") == version_use::LastResort);
}

// Guards against a rollout that starts again because operators write their rows
// again after a return of the store.
TEST_CASE("an order that is written again in a new era is the same order") {
  version_filter_fixture F;
  F.order("v2", 5);
  F.write(F.stateOf(rollout_outcome::Completed, rollout_step::All));
  F.order("v2", versionIn(1, 3));
  CHECK(F.useOf("v2") == version_use::Any);
}
