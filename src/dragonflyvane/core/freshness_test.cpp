#include "dragonflyvane/core/freshness.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace dragonflyvane;
using namespace std::chrono_literals;

namespace {

struct fixture {
  bool current() const {
    return Freshness.isCurrent(
        7, Others, [this](const auto &Host) { return Excused.contains(Host); },
        Now);
  }

  freshness Freshness;
  time_point Now{1h};
  std::map<std::string, int> Others = {{"a", 0}, {"b", 0}};
  std::set<std::string> Excused;
};

} // namespace

TEST_CASE("an own read counts for 3 s from its begin") {
  fixture F;
  CHECK(!F.current());
  F.Freshness.onRead(F.Now);
  F.Now += 3s;
  CHECK(F.current());
  F.Now += 1ms;
  CHECK(!F.current());
}

TEST_CASE("a peer's read of the same version counts, less its age") {
  fixture F;
  F.Freshness.onReply("a", {1, 7, 1000, true}, F.Now);
  F.Now += 2s;
  CHECK(F.current());
  F.Now += 1ms;
  CHECK(!F.current());
}

TEST_CASE("a peer that knows a newer version makes this one stale") {
  fixture F;
  F.Freshness.onReply("a", {1, 8, 0, true}, F.Now);
  F.Freshness.onReply("b", {1, 7, 60'000, true}, F.Now);
  CHECK(!F.current());
}

TEST_CASE("with the table out, the word of every member is enough") {
  fixture F;
  F.Freshness.onReply("a", {1, 7, 60'000, true}, F.Now);
  CHECK(!F.current());
  F.Freshness.onReply("b", {1, 6, 60'000, false}, F.Now);
  CHECK(F.current());
  F.Now += 3001ms;
  CHECK(!F.current());
  F.Freshness.onReply("a", {1, 7, 60'000, true}, F.Now);
  F.Excused.insert("b");
  CHECK(F.current());
}

TEST_CASE("a late reply does not replace a newer one") {
  fixture F;
  F.Freshness.onReply("a", {2, 8, 0, true}, F.Now);
  F.Freshness.onReply("a", {1, 7, 0, true}, F.Now - 1s);
  CHECK(!F.current());
}
