#include "dragonflyvane/core/admission/capacity_estimator.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <queue>
#include <random>
#include <utility>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint32_t Slots = 9;
constexpr duration LookupTime = milliseconds(140);
constexpr duration OrderTime = milliseconds(280);

/// A server with arrivals at random times and a queue before it, whose limit is
/// that of the estimator.
struct loaded_server {
  /// Moves the time on, with `Rate` arrivals per second.
  void run(duration Span, double Rate) {
    time_point End = Clock.now() + Span;
    while (Clock.now() < End) {
      step(Rate);
      LowestLimit = std::min(LowestLimit, limit());
    }
  }

  void step(double Rate) {
    Clock.advance(milliseconds(1));
    time_point Now = Clock.now();
    if (std::uniform_real_distribution<>(0, 1000)(Random) < Rate)
      Waiting = std::min<uint32_t>(Waiting + 1, 4 * Slots);
    while (!Running.empty() && Running.top().End <= Now) {
      ++Completed;
      Estimator.observe(Running.top().Response, Now);
      Running.pop();
    }
    for (; Waiting > 0 && Running.size() < limit(); --Waiting)
      send();
  }

  void send() {
    auto InFlight = static_cast<uint32_t>(Running.size()) + 1;
    bool IsOrder = std::uniform_real_distribution<>(0, 1)(Random) < OrderShare;
    double Work = std::uniform_real_distribution<>(0.7, 1.3)(Random);
    duration Usual = IsOrder ? OrderTime : LookupTime;
    auto Time =
        std::chrono::duration_cast<duration>(Usual * Work * Slowness(InFlight));
    Running.push(
        {Clock.now() + Time, {IsOrder ? "order" : "lookup", Time, InFlight}});
  }

  /// The slowness of a server in bursts of 400 ms, a fifth of the time.
  double burst() {
    auto Slice = Clock.now().time_since_epoch() / milliseconds(400);
    if (std::exchange(BurstSlice, Slice) != Slice)
      IsBurst = std::uniform_real_distribution<>(0, 1)(Random) < 0.2;
    return IsBurst ? 3 : 1;
  }

  uint32_t limit() const { return Estimator.concurrencyLimit(Clock.now()); }

  struct running {
    time_point End;
    server_response Response;
    bool operator<(const running &Other) const { return End > Other.End; }
  };

  loaded_server() {
    Estimator.setSlots(Slots);
    // Lower quartiles of the work that `send` draws.
    Estimator.setServiceTimes(
        {{"lookup", milliseconds(119)}, {"order", milliseconds(238)}});
  }

  manual_clock Clock;
  capacity_estimator Estimator;
  std::mt19937 Random{7};
  std::priority_queue<running> Running;
  uint32_t Waiting = 0;
  uint64_t Completed = 0;
  uint32_t LowestLimit = Slots;
  double OrderShare = 0;
  std::function<double(uint32_t)> Slowness = [](uint32_t) { return 1.0; };
  int64_t BurstSlice = 0;
  bool IsBurst = false;
};

} // namespace

// Guards against a wrong guess before anything is known. Pattern: new server.
TEST_CASE("a server that nothing is known of has speed 1 and all its slots") {
  capacity_estimator Estimator;
  Estimator.setSlots(Slots);
  CHECK(Estimator.speed() == 1);
  CHECK(Estimator.concurrencyLimit(time_point{}) == Slots);
  CHECK(Estimator.usualTimes(time_point{}).empty());
}

// Guards against a limit that wastes the slots of a server which is slow at any
// number in flight. Pattern: a slow server among fast ones, at half load, near
// its capacity and overloaded.
TEST_CASE("a slow server keeps its slots and shows its speed") {
  for (double Rate : {18.0, 34.0, 60.0}) {
    loaded_server Server;
    Server.Slowness = [](uint32_t) { return 1 / 0.6; };
    Server.run(seconds(60), Rate);
    CHECK(Server.LowestLimit == Slots);
    CHECK(Server.Estimator.speed() > 0.5);
    CHECK(Server.Estimator.speed() < 0.7);
  }
}

// Guards against requests that only wait at the server. Pattern: a server whose
// throughput stops growing at 4 in flight, with a load that goes up and down
// around it.
TEST_CASE("a server that slows before it is full gets a limit, at no loss of "
          "throughput") {
  loaded_server Server;
  Server.Slowness = [](uint32_t InFlight) {
    return std::max(1.0, InFlight / 4.0);
  };
  for (int I = 0; I < 12; ++I) {
    Server.run(seconds(3), 10);
    Server.run(seconds(3), 30);
  }
  CHECK(Server.LowestLimit <= 6);
  CHECK(Server.LowestLimit >= 4);
  Server.run(seconds(2), 60);
  uint64_t Before = Server.Completed;
  Server.run(seconds(10), 60);
  CHECK(static_cast<double>(Server.Completed - Before) / 10 >= 0.85 * 4 / 0.14);
}

// Guards against a limit that stays after its reason is gone. Pattern: a server
// that slowed before it was full, and then does not any more.
TEST_CASE("a limit ends after the server handles all its slots again") {
  loaded_server Server;
  Server.Slowness = [](uint32_t InFlight) {
    return std::max(1.0, InFlight / 4.0);
  };
  for (int I = 0; I < 12; ++I) {
    Server.run(seconds(3), 10);
    Server.run(seconds(3), 30);
  }
  REQUIRE(Server.LowestLimit <= 6);
  Server.Slowness = [](uint32_t) { return 1.0; };
  Server.run(seconds(60), 60);
  Server.LowestLimit = Slots;
  Server.run(seconds(20), 60);
  CHECK(Server.LowestLimit == Slots);
}

// Guards against load that stays at a server which has become slow, or away
// from one that has recovered. Pattern: capacity cut to a third and back.
TEST_CASE("the speed follows a lasting change within 3 s, the limit stays") {
  loaded_server Server;
  Server.run(seconds(20), 30);
  CHECK(Server.Estimator.speed() > 0.85);
  Server.Slowness = [](uint32_t) { return 3.0; };
  Server.run(seconds(3), 30);
  CHECK(Server.Estimator.speed() < 0.45);
  Server.run(seconds(20), 30);
  Server.Slowness = [](uint32_t) { return 1.0; };
  Server.run(seconds(3), 30);
  CHECK(Server.Estimator.speed() > 0.75);
  CHECK(Server.LowestLimit == Slots);
}

// Guards against load that moves with each short slowdown. Pattern: three times
// slower for 400 ms at random, a fifth of the time, at several loads.
TEST_CASE("random bursts of slowness change neither limit nor speed for long") {
  for (double Rate : {15.0, 30.0, 45.0, 70.0}) {
    loaded_server Server;
    Server.Slowness = [&Server](uint32_t) { return Server.burst(); };
    Server.run(seconds(5), Rate);
    int Slow = 0;
    constexpr int Checks = 1200;
    for (int I = 0; I < Checks; ++I) {
      Server.run(milliseconds(100), Rate);
      Slow += Server.Estimator.speed() < 0.6 ? 1 : 0;
    }
    CAPTURE(Rate);
    CHECK(Server.LowestLimit == Slots);
    CHECK(Slow < Checks / 20);
  }
}

// Guards against a server that is judged by its start for long. Pattern: a cold
// server that works three times slower for 3 s.
TEST_CASE("a server that returns cold is as fast as usual soon after") {
  loaded_server Server;
  Server.Slowness = [](uint32_t) { return 3.0; };
  Server.run(seconds(3), 20);
  CHECK(Server.Estimator.speed() < 0.45);
  Server.Slowness = [](uint32_t) { return 1.0; };
  Server.run(seconds(3), 20);
  CHECK(Server.Estimator.speed() > 0.75);
  CHECK(Server.LowestLimit == Slots);
}

// Guards against conclusions from a few responses. Pattern: a request every
// five seconds, each of them slow.
TEST_CASE("too few responses change nothing") {
  loaded_server Server;
  Server.Slowness = [](uint32_t) { return 3.0; };
  Server.run(seconds(60), 0.2);
  CHECK(Server.Estimator.speed() == 1);
  CHECK(Server.LowestLimit == Slots);
}

// Guards against a speed that follows single slow responses. Pattern: two
// requests per second at a server with random bursts of slowness.
TEST_CASE("bursts at little load change neither limit nor speed for long") {
  loaded_server Server;
  Server.Slowness = [&Server](uint32_t) { return Server.burst(); };
  Server.run(seconds(10), 2);
  int Slow = 0;
  constexpr int Checks = 1200;
  for (int I = 0; I < Checks; ++I) {
    Server.run(milliseconds(100), 2);
    Slow += Server.Estimator.speed() < 0.6 ? 1 : 0;
  }
  CHECK(Server.LowestLimit == Slots);
  CHECK(Slow < Checks / 20);
}

// Guards against a server that looks slow since it gets the expensive requests.
// Pattern: a change from few to nearly all expensive requests.
TEST_CASE("a change of the mix of routes changes neither limit nor speed") {
  loaded_server Server;
  for (double OrderShare : {0.1, 0.9, 0.1}) {
    Server.OrderShare = OrderShare;
    Server.run(seconds(20), 25);
    CHECK(Server.Estimator.speed() > 0.85);
    CHECK(Server.Estimator.speed() < 1.15);
  }
  CHECK(Server.LowestLimit == Slots);
}
