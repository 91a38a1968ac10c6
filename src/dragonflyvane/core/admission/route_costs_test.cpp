#include "dragonflyvane/core/admission/route_costs.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

TEST_CASE("each route has its own processing time and response size") {
  route_costs Costs;
  for (int I = 0; I < 200; ++I) {
    Costs.observe("download", milliseconds(90), 80'000);
    Costs.observe("lookup", milliseconds(30), 1'000);
  }
  CHECK(Costs.processingTimeOf("download") > milliseconds(85));
  CHECK(Costs.processingTimeOf("lookup") < milliseconds(35));
  CHECK(Costs.responseBytesOf("download") > 79'000);
  CHECK(Costs.responseBytesOf("lookup") < 1'100);
  CHECK(Costs.responseBytesOf("unknown") == 0);
  CHECK(Costs.processingTimeOf("unknown") == Costs.meanProcessingTime());
}

TEST_CASE("a single slow response hardly changes the average") {
  route_costs Costs;
  for (int I = 0; I < 100; ++I)
    Costs.observe("lookup", milliseconds(30), 1'000);
  Costs.observe("lookup", milliseconds(900), 1'000);
  CHECK(Costs.processingTimeOf("lookup") < milliseconds(80));
}
