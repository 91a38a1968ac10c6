#include "dragonflyvane/node/serving/condition_report.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

TEST_CASE("a condition report survives a round trip through a header field") {
  condition_report Report{{"i-1,a", 1234}, 7.5, milliseconds(90)};
  CHECK(decodeConditionReport(encodeConditionReport(Report)) == Report);
  Report.RateLimit.reset();
  Report.LeavingFor.reset();
  CHECK(decodeConditionReport(encodeConditionReport(Report)) == Report);
}

TEST_CASE("a malformed condition report is ignored") {
  for (const char *Text :
       {"", "1", "1,2,3", "x,-,-,i", "1,-2,-,i", "1,-,x,i", "1,,,i"}) {
    CAPTURE(Text);
    CHECK(!decodeConditionReport(Text));
  }
}

TEST_CASE("the known time since a server began to leave goes on") {
  known_conditions Conditions;
  time_point Now{std::chrono::hours(1)};
  Conditions.observe("a", condition_report{{"i-1", 1}, {}, milliseconds(5)},
                     Now);
  auto Report = Conditions.reportFor("a", Now + milliseconds(100));
  REQUIRE(Report);
  CHECK(Report->LeavingFor == milliseconds(105));
  CHECK(!Conditions.reportFor("b", Now));
  Conditions.observe("a", std::nullopt, Now);
  CHECK(!Conditions.reportFor("a", Now));
}
