/// A workspace of 10 requests a second and a burst of 5 asks its bucket's home
/// for tokens every 100 ms, on a clock that moves by hand.
#include <dragonflyvane/core.hpp>

#include <iostream>

int main() {
  using namespace dragonflyvane;
  manual_clock Clock;
  workspace Ferry;
  Ferry.Rate = 10;
  Ferry.Burst = 5;
  rate_home Home;
  Home.begin("ferry", Clock.now());
  for (uint64_t Sequence = 1; Sequence <= 10; ++Sequence) {
    Clock.advance(std::chrono::milliseconds(100));
    token_ask Ask{"ferry", Sequence, 3, {}};
    token_grant Grant = Home.grant("entrance-1", Ask, Ferry, Clock.now());
    std::cout << Sequence * 100 << " ms: " << Grant.Tokens << " tokens\n";
  }
  return 0;
}
