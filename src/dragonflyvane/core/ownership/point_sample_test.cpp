#include "dragonflyvane/core/ownership/point_sample.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

TEST_CASE("when hot keys change, the sample has only the new ones") {
  point_sample Sample;
  time_point Now{std::chrono::seconds(10)};
  for (int I = 0; I < 50; ++I)
    Sample.record(1000, Now);
  Now += std::chrono::seconds(3);
  for (int I = 0; I < 10; ++I)
    Sample.record(2000, Now);
  CHECK(Sample.points(Now) == std::vector<key_point>(10, 2000));
}

TEST_CASE("the sample of a busy server is bounded") {
  point_sample Sample;
  time_point Now{std::chrono::seconds(10)};
  for (key_point I = 0; I < 5000; ++I) {
    Now += milliseconds(1);
    Sample.record(I, Now);
  }
  auto Points = Sample.points(Now);
  CHECK(Points.size() <= 60);
  CHECK(Points.size() >= 48);
  CHECK(Points.front() >= 4744);
}
