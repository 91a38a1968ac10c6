#include "dragonflyvane/core/memory_budget.hpp"

#include "dragonflyvane/core/message_body.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace dragonflyvane;

// Guards against large bodies that take all memory, so that small ones of sound
// servers are refused.
TEST_CASE("a small body finds room beside any number of large ones that grow") {
  memory_budget Budget(1'000'000);
  std::vector<memory_share> Large;
  for (int I = 0; I < 6; ++I) {
    memory_share &Share = Large.emplace_back(Budget);
    for (size_t Size = 1000; Size < 1'000'000 && Share.resize(Size);)
      Size += 1000;
    CHECK(Budget.used() < 1'000'000);
  }
  memory_share Small(Budget);
  CHECK(Small.resize(5000));
}

TEST_CASE("a share that is not granted keeps its size, and may shrink") {
  memory_budget Budget(1000);
  memory_share Share(Budget);
  CHECK(Share.resize(500));
  CHECK(!Share.resize(501));
  CHECK(Budget.used() == 500);
  CHECK(Share.resize(10));
  CHECK(Budget.used() == 10);
}

// Guards against bodies that are held for longer than their memory is counted,
// or that are counted once for each copy of their message.
TEST_CASE("a body takes its share once, until its last copy is gone") {
  memory_budget Budget(1000);
  memory_share Share(Budget);
  REQUIRE(Share.resize(100));
  message_body Body(std::string(100, 'x'), std::move(Share));
  {
    message_body Copy = Body;
    Body = {};
    CHECK(Budget.used() == 100);
    CHECK(Copy == std::string(100, 'x'));
  }
  CHECK(Budget.used() == 0);
}

TEST_CASE("an assigned share returns what the old one took") {
  memory_budget Budget(1000);
  memory_share Share(Budget);
  REQUIRE(Share.resize(100));
  Share = memory_share(Budget);
  CHECK(Budget.used() == 0);
}
