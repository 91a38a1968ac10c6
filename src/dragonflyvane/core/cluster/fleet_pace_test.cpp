#include "dragonflyvane/core/cluster/fleet_pace.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds DelayPerHost{20};

/// Counts the calls of a fleet in which each host makes a call as soon as it
/// may.
int callsOf(size_t HostCount, duration Span) {
  manual_clock Clock;
  std::mt19937_64 Random(1);
  std::vector<fleet_pace> Hosts(HostCount, fleet_pace(DelayPerHost));
  int Calls = 0;
  for (duration Passed{0}; Passed < Span; Passed += milliseconds(5)) {
    for (fleet_pace &Host : Hosts) {
      Host.onNeeded(HostCount, Random, Clock.now());
      if (!Host.admits(Clock.now()))
        continue;
      Host.onSent(HostCount, Random, Clock.now());
      ++Calls;
    }
    Clock.advance(milliseconds(5));
  }
  return Calls;
}

} // namespace

// Guards against calls that all hosts make at the moment at which a common
// dependency fails, and in proportion to the number of hosts from then on.
TEST_CASE("a paced fleet makes as many calls, whatever its size") {
  for (size_t HostCount : {10, 100, 1000}) {
    CAPTURE(HostCount);
    int Calls = callsOf(HostCount, seconds(30));
    // One in each `DelayPerHost`, and an excess of a fifth.
    CHECK(Calls > 1200);
    CHECK(Calls < 1800);
  }
}

TEST_CASE("a host that needs paced calls anew waits for a random time") {
  manual_clock Clock;
  std::mt19937_64 Random(1);
  int Early = 0;
  for (int Host = 0; Host < 100; ++Host) {
    fleet_pace Pace(DelayPerHost);
    Pace.onNeeded(100, Random, Clock.now());
    Early += Pace.admits(Clock.now() + milliseconds(500)) ? 1 : 0;
  }
  CHECK(Early > 10);
  CHECK(Early < 50);
}
