#include "dragonflyvane/core/configuration/order_book.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

const row_id Config{row_kind::Order, "config"};
const row_id East{row_kind::Order, "out-east"};

std::optional<operator_order> decode(const stored_row &Row) {
  operator_order Order;
  if (Row.Value == "bad")
    return std::nullopt;
  if (Row.Id == East) {
    Order.EvacuatedDomain = "east";
    return Order;
  }
  auto Document = std::make_shared<configuration>();
  Document->Version = Row.Version;
  Order.Configuration = Document;
  return Order;
}

} // namespace

TEST_CASE("a configuration never goes back, and a bad one changes nothing") {
  order_book Book({Config, East}, &decode);
  CHECK(Book.apply({Config, 5, "x"}));
  CHECK(!Book.apply({Config, 4, "x"}));
  CHECK(!Book.apply({Config, 6, "bad"}));
  CHECK(Book.config()->Version == 5);
  CHECK(Book.conditions()[0].Version == 6);
  CHECK(Book.conditions()[1].Version == 0);
}

TEST_CASE("an evacuation stands until its row is gone, by watch or by read") {
  order_book Book({Config, East}, &decode);
  CHECK(Book.apply({East, 7, "{}"}));
  CHECK(Book.isEvacuated("east"));
  CHECK(Book.applyAll({9, {}, {}}));
  CHECK(!Book.isEvacuated("east"));
  CHECK(Book.apply({East, 10, "{}"}));
  CHECK(Book.apply({East, 11, std::nullopt}));
  CHECK(!Book.isEvacuated("east"));
}

TEST_CASE("evidence is as old as the sending of the question") {
  order_book Book({Config, East}, &decode);
  manual_clock Clock;
  Book.confirm(Clock.now());
  Clock.advance(std::chrono::seconds(3));
  CHECK(Book.evidenceAge(Clock.now()) == std::chrono::seconds(3));
  Book.confirm(Clock.now() - std::chrono::seconds(4));
  CHECK(Book.evidenceAge(Clock.now()) == std::chrono::seconds(3));
}
