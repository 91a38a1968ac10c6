#include "configuration_watch.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds StartupTime{6};
/// The time until a change must be in force.
constexpr milliseconds MaxDelay{2500};
constexpr milliseconds Step{20};

/// Random faults of single hosts, beside configuration changes in quick
/// succession, and a check of the time that changes take.
class configuration_delays {
public:
  configuration_delays(uint64_t Seed, int HostCount)
      : HostCount(HostCount), Random(Seed), Simulation(Seed, HostCount),
        Watch(Simulation, HostCount, {MaxDelay, milliseconds(3000)}),
        Faults(static_cast<size_t>(HostCount)) {
    Simulation.runFor(StartupTime);
  }

  void run(duration Span) {
    time_point End = Simulation.now() + Span;
    while (Simulation.now() < End) {
      if (Simulation.now() >= NextChangeAt)
        change();
      if (Simulation.now() >= NextFaultAt)
        beginFault();
      endFaults();
      Simulation.runFor(Step);
      Watch.check();
    }
  }

  int lateChanges() const { return Watch.lateChanges(); }

private:
  /// A fault of a host, if any.
  struct host_fault {
    std::function<void()> End;
    time_point EndsAt{};
  };

  milliseconds randomTime(milliseconds Min, milliseconds Max) {
    return Min + milliseconds(Random() % (Max - Min).count());
  }

  void change() {
    Watch.change();
    NextChangeAt =
        Simulation.now() + randomTime(milliseconds(200), milliseconds(1500));
  }

  void beginFault() {
    NextFaultAt =
        Simulation.now() + randomTime(milliseconds(50), milliseconds(1000));
    int I = static_cast<int>(Random() % HostCount);
    host_fault &Fault = Faults[I];
    if (Fault.End)
      return;
    Fault.EndsAt =
        Simulation.now() + randomTime(milliseconds(300), milliseconds(7000));
    switch (Random() % 5) {
    case 0:
      Simulation.killDaemon(I);
      Fault.End = [this, I] { Simulation.startDaemon(I); };
      break;
    case 1:
      Simulation.freeze(I, true);
      Fault.End = [this, I] { Simulation.freeze(I, false); };
      break;
    case 2:
      Simulation.isolate(I, true);
      Fault.End = [this, I] { Simulation.isolate(I, false); };
      break;
    case 3:
      Simulation.disconnectStore(I, true);
      Fault.End = [this, I] { Simulation.disconnectStore(I, false); };
      break;
    default:
      Simulation.silenceStore(I, true);
      Fault.End = [this, I] { Simulation.silenceStore(I, false); };
    }
  }

  void endFaults() {
    for (int I = 0; I < HostCount; ++I) {
      host_fault &Fault = Faults[I];
      if (!Fault.End)
        continue;
      Watch.onDisturbed(I);
      if (Simulation.now() >= Fault.EndsAt)
        std::exchange(Fault.End, nullptr)();
    }
  }

  int HostCount;
  std::mt19937_64 Random;
  ownership_simulation Simulation;
  configuration_watch Watch;
  std::vector<host_fault> Faults;
  time_point NextChangeAt{};
  time_point NextFaultAt{};
};

uint64_t environmentNumber(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

// Guards against requests that are handled by an old configuration, longer
// after its replacement than a change may take, at hosts that run undisturbed.
TEST_CASE("a change of the configuration is in force in time at undisturbed "
          "hosts, beside faults of others") {
  uint64_t First = environmentNumber("DRAGONFLYVANE_FIRST_SEED", 1);
  uint64_t Count = environmentNumber("DRAGONFLYVANE_SEEDS", 10);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    CAPTURE(Seed);
    configuration_delays Delays(Seed, 40);
    Delays.run(seconds(40));
    CHECK(Delays.lateChanges() == 0);
  }
}

// Guards against hosts that follow no changes, without a fault of their own,
// while all relays of their failure domain have lost the store.
TEST_CASE("hosts whose relays are turned away by the store learn a change from "
          "their peers") {
  constexpr int HostCount = 40;
  for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CAPTURE(Seed);
    ownership_simulation Simulation(Seed, HostCount);
    Simulation.runFor(StartupTime);
    // All hosts with an even number are in one failure domain; the first by
    // name are its relays.
    for (int Host : {0, 10, 12, 14, 16})
      Simulation.silenceStore(Host, true);
    for (int Change = 0; Change < 6; ++Change) {
      Simulation.changeConfiguration();
      Simulation.runFor(MaxDelay);
      for (int Host = 0; Host < HostCount; ++Host)
        CHECK(Simulation.configInForce(Host) == Simulation.newestConfig());
    }
  }
}
