#include "dragonflyvane/core/admission/server_condition.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

const header_names Names;

header_list headers(const std::string &Name, const std::string &Value) {
  header_list Headers;
  Headers.add(Name, Value);
  return Headers;
}

} // namespace

// Guards against a limit that a server cannot have meant.
TEST_CASE("only finite numbers from 0 on are rate limits") {
  CHECK(parseRateLimit("7.5") == 7.5);
  CHECK(parseRateLimit("0") == 0);
  CHECK(parseRateLimit("0.25") == 0.25);
  CHECK(parseRateLimit("100000000000000000000") == MaxRateLimit);
  for (const char *Text : {"", "-1", "-0", "many", "7.5 ", "7,5", "1e3", "inf",
                           "nan", "+3", "0x10"}) {
    CAPTURE(Text);
    CHECK(!parseRateLimit(Text));
  }
}

// Guards against a limit that outlives the need, and against one that a
// garbled field ends.
TEST_CASE("a response without a limit ends it, a malformed one does not") {
  server_condition Condition =
      conditionAfter({}, headers(Names.RateLimit, "4"), Names);
  CHECK(Condition.RateLimit == 4);
  Condition = conditionAfter(Condition, headers(Names.RateLimit, "-"), Names);
  CHECK(Condition.RateLimit == 4);
  Condition = conditionAfter(Condition, headers(Names.RateLimit, "6.5"), Names);
  CHECK(Condition.RateLimit == 6.5);
  CHECK(!conditionAfter(Condition, {}, Names).RateLimit);
}

// Guards against a leaving server that is used again.
TEST_CASE("a server that leaves cannot take it back") {
  CHECK(!conditionAfter({}, headers(Names.Leaving, "0"), Names).IsLeaving);
  server_condition Condition =
      conditionAfter({}, headers(Names.Leaving, "1"), Names);
  CHECK(Condition.IsLeaving);
  CHECK(conditionAfter(Condition, {}, Names).IsLeaving);
}
