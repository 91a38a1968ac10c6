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

TEST_CASE("the confirmation age counts from the sending of the request") {
  operator_state State({Config, East}, &decode);
  manual_clock Clock;
  State.confirm(Clock.now());
  Clock.advance(std::chrono::seconds(3));
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(3));
  State.confirm(Clock.now() - std::chrono::seconds(4));
  CHECK(State.confirmationAge(Clock.now()) == std::chrono::seconds(3));
}
