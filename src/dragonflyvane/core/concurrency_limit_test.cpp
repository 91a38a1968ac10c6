#include "dragonflyvane/core/concurrency_limit.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using namespace std::chrono_literals;

namespace {

/// A server that answers in 4 ms up to its capacity, and above it in
/// proportion; it is always asked for more than it is given.
struct fake_server {
  concurrency_limit Limit{20};
  time_point Now{1h};
  uint32_t Capacity = 20;
  uint32_t MostOverCapacity = 0;

  void run(std::chrono::milliseconds Length) {
    for (time_point End = Now + Length; Now < End; Now += 5ms) {
      uint32_t Given = Limit.current();
      if (Given > Capacity)
        MostOverCapacity = std::max(MostOverCapacity, Given - Capacity);
      Limit.noteSaturated();
      duration Latency = 4ms * std::max(1U, (Given + Capacity - 1) / Capacity);
      bool Sheds = Given > 4 * Capacity;
      Limit.onEnd(Sheds ? request_end::Overloaded : request_end::Good, Latency,
                  Now);
    }
  }
};

} // namespace

TEST_CASE("a server begins with a share of its slots and gets all of them") {
  fake_server Server;
  CHECK(Server.Limit.current() == 4);
  Server.run(100ms);
  CHECK(Server.Limit.current() == 6);
  Server.run(3s);
  CHECK(Server.Limit.current() == 20);
}

TEST_CASE("a server that turns cold without warning is given little work") {
  fake_server Server;
  Server.run(3s);
  Server.Capacity = 3;
  Server.run(1500ms);
  CHECK(Server.Limit.current() <= 6);
  Server.Capacity = 20;
  Server.run(6s);
  CHECK(Server.Limit.current() == 20);
}

TEST_CASE("shedding brings the limit down to one") {
  concurrency_limit Limit(20);
  time_point Now{1h};
  for (int I = 0; I < 10; ++I, Now += 300ms)
    Limit.onEnd(request_end::Overloaded, 0ms, Now);
  CHECK(Limit.current() == 1);
}

TEST_CASE("without demand the limit does not grow") {
  concurrency_limit Limit(20);
  time_point Now{1h};
  for (int I = 0; I < 100; ++I, Now += 100ms)
    Limit.onEnd(request_end::Good, 4ms, Now);
  CHECK(Limit.current() == 4);
}
