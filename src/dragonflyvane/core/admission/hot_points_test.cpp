#include "dragonflyvane/core/admission/hot_points.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The points of the server, and what it can process.
constexpr key_point FirstOwned = 20'000;
constexpr key_point OwnedPoints = 1'560;
constexpr double ServerRate = 60;

/// Requests that arrive for one server, in random order.
struct load_fixture {
  struct outcome {
    double Demand = 0;
    double Admitted = 0;
    double share() const { return Demand > 0 ? Admitted / Demand : 1; }
  };
  struct stream {
    key_point First = 0;
    key_point Count = 1;
    double Rate = 0;
    outcome Outcome{};
  };

  /// Runs all streams for a time. Only the outcomes of this time are kept.
  void run(std::vector<stream> &Streams, duration Time) {
    for (stream &Stream : Streams)
      Stream.Outcome = {};
    for (time_point End = Now + Time; Now < End; Now += milliseconds(1))
      for (stream &Stream : Streams)
        if (std::uniform_real_distribution<>(0, 1000)(Random) < Stream.Rate)
          submit(Stream);
  }

  void submit(stream &Stream) {
    key_point Point = Stream.First + std::uniform_int_distribution<key_point>(
                                         0, Stream.Count - 1)(Random);
    ++Stream.Outcome.Demand;
    auto RetryAfter = Points.admit(Point, {ServerRate, IsFull}, Now);
    if (RetryAfter)
      Retries.push_back(Now + *RetryAfter);
    else
      ++Stream.Outcome.Admitted;
  }

  stream others(double Rate) const { return {FirstOwned, OwnedPoints, Rate}; }

  hot_points Points;
  bool IsFull = true;
  std::vector<time_point> Retries;
  std::mt19937 Random{7};
  time_point Now{seconds(100)};
};

} // namespace

// Guards against one hot key that crowds out all other keys of its server.
TEST_CASE_FIXTURE(load_fixture, "one hot point among many is limited alone") {
  std::vector<stream> Streams = {others(30), {FirstOwned + 700, 1, 150}};
  run(Streams, seconds(1));
  run(Streams, seconds(5));
  CHECK(Streams[0].Outcome.share() >= 0.99);
  CHECK(Streams[1].Outcome.Admitted / 5 <= ServerRate - 25);
  CHECK(Streams[1].Outcome.Admitted / 5 >= ServerRate * 0.2);
}

// Guards against a second hot key that is taken for usual load.
TEST_CASE_FIXTURE(load_fixture, "two hot points share what the others leave") {
  std::vector<stream> Streams = {
      others(20), {FirstOwned + 700, 1, 150}, {FirstOwned + 900, 1, 60}};
  run(Streams, seconds(1));
  run(Streams, seconds(5));
  CHECK(Streams[0].Outcome.share() >= 0.99);
  CHECK(Streams[1].Outcome.Admitted ==
        doctest::Approx(Streams[2].Outcome.Admitted).epsilon(0.2));
}

// Guards against a hot range that crowds out its server while none of its keys
// is hot by itself. Pattern: hot ranges of 60 and of 200 points.
TEST_CASE_FIXTURE(load_fixture,
                  "a hot group of neighbouring points is limited") {
  for (key_point Count : {60, 200}) {
    CAPTURE(Count);
    std::vector<stream> Streams = {others(30), {FirstOwned + 650, Count, 180}};
    run(Streams, seconds(2));
    run(Streams, seconds(5));
    CHECK(Streams[0].Outcome.share() >= 0.8);
    CHECK(Streams[1].Outcome.Admitted / 5 <= ServerRate);
    // Points beside the group are served as if it were not there.
    std::vector<stream> Beside = {{FirstOwned, 500, 10}, Streams[1]};
    run(Beside, seconds(2));
    CHECK(Beside[0].Outcome.share() >= 0.99);
  }
}

// Guards against limits by chance. Pattern: overload by all points alike.
TEST_CASE_FIXTURE(load_fixture, "without a hot point nothing is limited") {
  for (key_point Count : {OwnedPoints, key_point{16'384}, key_point{4}}) {
    CAPTURE(Count);
    std::vector<stream> Streams = {{FirstOwned, Count, 150}};
    run(Streams, seconds(10));
    CHECK(Streams[0].Outcome.share() == 1);
    // The next pattern is judged by itself.
    Now += seconds(2);
  }
}

// Guards against refusals while the server has room for all.
TEST_CASE_FIXTURE(load_fixture, "a hot point is served while there is room") {
  std::vector<stream> Streams = {others(10), {FirstOwned + 700, 1, 35}};
  run(Streams, seconds(5));
  CHECK(Streams[1].Outcome.share() == 1);
  IsFull = false;
  Streams[1].Rate = 200;
  run(Streams, seconds(5));
  CHECK(Streams[1].Outcome.share() == 1);
}

// Guards against a limit that outlasts its load.
TEST_CASE_FIXTURE(load_fixture,
                  "the limit ends soon after a point cools down") {
  std::vector<stream> Streams = {others(30), {FirstOwned + 700, 1, 150}};
  run(Streams, seconds(3));
  REQUIRE(Points.limitOf(FirstOwned + 700));
  Streams[1].Rate = 5;
  run(Streams, milliseconds(1500));
  run(Streams, seconds(3));
  CHECK(!Points.limitOf(FirstOwned + 700));
  CHECK(Streams[1].Outcome.share() == 1);
}

// Guards against callers that retry a hot key together and in vain.
TEST_CASE_FIXTURE(load_fixture, "refused requests are told different times") {
  std::vector<stream> Streams = {others(30), {FirstOwned + 700, 1, 150}};
  run(Streams, seconds(1));
  Retries.clear();
  run(Streams, seconds(2));
  REQUIRE(Retries.size() > 20);
  size_t Soon = std::count_if(Retries.begin(), Retries.end(),
                              [&](time_point At) { return At < Now; });
  // No more than the limit in the time that has passed.
  CHECK(static_cast<double>(Soon) <= ServerRate * 2);
}
