#include "dragonflyvane/core/rate_home.hpp"
#include "dragonflyvane/core/token_cache.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace dragonflyvane;
using namespace std::chrono_literals;

namespace {

/// The naive model: one bucket that sees every use in order. It is overdrawn
/// exactly when some window saw more than burst + rate × time.
struct naive_bucket {
  double Rate;
  double Burst;
  double Level = Burst;
  time_point Last{};
  double Lowest = 0;

  void use(time_point Now) {
    if (Last != time_point{})
      Level = std::min(
          Burst,
          Level + Rate * std::chrono::duration<double>(Now - Last).count());
    Last = Now;
    Level -= 1;
    Lowest = std::min(Lowest, Level);
  }
};

/// Entrances ask homes over a lossy, slow network; homes change.
class rate_trial {
public:
  rate_trial(uint64_t Seed, workspace Settings, bool NewHomeWaits)
      : Random(Seed), Settings(Settings),
        NewHomeWaits(NewHomeWaits), Naive{Settings.Rate, Settings.Burst} {
    for (int I = 0; I < 4; ++I)
      Caches.push_back(std::make_unique<token_cache>(0));
    becomeHome();
  }

  void run(std::chrono::milliseconds Length, double Demand, double Loss,
           double HomeChanges) {
    for (time_point End = Now + Length; Now < End; Now += 1ms) {
      deliver();
      for (size_t I = 0; I < Caches.size(); ++I)
        step(I, Demand, Loss);
      if (draw() < HomeChanges / 1000)
        becomeHome();
    }
  }

  double lowest() const { return Naive.Lowest; }
  uint64_t Used = 0;
  uint64_t Refused = 0;

private:
  struct flight {
    time_point Due;
    std::function<void()> Work;
  };

  double draw() { return std::uniform_real_distribution<double>(0, 1)(Random); }

  void becomeHome() {
    Home = std::make_unique<rate_home>();
    Home->begin("w", NewHomeWaits ? Now : Now - ChunkHold);
  }

  void step(size_t I, double Demand, double Loss) {
    double PerCache = Demand / static_cast<double>(Caches.size()) / 1000;
    for (double Due = PerCache; Due > 0; Due -= 1)
      if (draw() < Due)
        Caches[I]->take("w", Now + 300ms, Now, [this](bool Had) {
          Had ? Naive.use(Now) : void(++Refused);
          Used += Had;
        });
    Caches[I]->tick(Now);
    for (const token_ask &Ask : Caches[I]->takeAsks(Now))
      if (draw() >= Loss)
        send([this, I, Ask, Loss] { answer(I, Ask, Loss); });
  }

  void answer(size_t I, const token_ask &Ask, double Loss) {
    token_grant Grant =
        Home->grant("e" + std::to_string(I), Ask, Settings, Now);
    if (draw() >= Loss)
      send([this, I, Grant] { Caches[I]->onGrant(Grant, Now); });
  }

  void send(std::function<void()> Work) {
    Flights.push_back(
        {Now + std::chrono::milliseconds(1 + Random() % 6), std::move(Work)});
  }

  void deliver() {
    std::vector<flight> Due;
    for (flight &Flight : Flights)
      if (Flight.Due <= Now)
        Due.push_back(std::move(Flight));
    std::erase_if(Flights, [](const flight &F) { return !F.Work; });
    for (flight &Flight : Due)
      Flight.Work();
  }

  time_point Now{1h};
  std::mt19937_64 Random;
  workspace Settings;
  bool NewHomeWaits;
  naive_bucket Naive;
  std::unique_ptr<rate_home> Home;
  std::vector<std::unique_ptr<token_cache>> Caches;
  std::vector<flight> Flights;
};

constexpr double Rounding = 1e-6;

} // namespace

TEST_CASE("no window ever sees more than burst + rate x time") {
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    std::mt19937_64 Random(Seed);
    workspace Settings;
    Settings.Rate = 5.0 + static_cast<double>(Random() % 500);
    Settings.Burst = 1.0 + static_cast<double>(Random() % 100);
    double Demand = Settings.Rate * (0.5 + static_cast<double>(Random() % 4));
    double Loss = Seed % 3 == 0 ? 0.1 : 0;
    double HomeChanges = Seed % 2 == 0 ? 0.7 : 0;
    rate_trial Trial(Seed, Settings, true);
    Trial.run(6s, Demand, Loss, HomeChanges);
    CHECK(Trial.lowest() >= -Rounding);
    CHECK(Trial.Used > 0);
  }
}

TEST_CASE("the check finds a new home that does not wait") {
  double Lowest = 0;
  for (uint64_t Seed = 1; Seed <= 60; ++Seed) {
    workspace Settings;
    Settings.Rate = 100;
    Settings.Burst = 50;
    rate_trial Trial(Seed, Settings, false);
    Trial.run(6s, 400, 0, 1.0);
    Lowest = std::min(Lowest, Trial.lowest());
  }
  CHECK(Lowest < -Rounding);
}

TEST_CASE("in quiet, at most 0.1 % of requests within the rate are refused") {
  workspace Settings;
  Settings.Rate = 400;
  Settings.Burst = 80;
  rate_trial Trial(7, Settings, true);
  Trial.run(2s, 360, 0, 0);
  Trial.Used = 0;
  Trial.Refused = 0;
  Trial.run(20s, 360, 0, 0);
  CHECK(Trial.Refused * 1000 <= Trial.Used);
}

TEST_CASE("a workspace far over its rate still gets its whole rate") {
  workspace Settings;
  Settings.Rate = 200;
  Settings.Burst = 40;
  rate_trial Trial(3, Settings, true);
  Trial.run(2s, 1000, 0, 0);
  Trial.Used = 0;
  Trial.run(10s, 1000, 0, 0);
  constexpr double WholeRate = 200 * 10;
  CHECK(static_cast<double>(Trial.Used) >= 0.97 * WholeRate);
}
