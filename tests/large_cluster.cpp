#include "large_cluster.hpp"

namespace dragonflyvane {

namespace {

using std::chrono::milliseconds;

constexpr int FailureDomainCount = 5;
constexpr std::chrono::seconds StartupTime{8};
constexpr milliseconds Step{20};
constexpr milliseconds ChangePeriod{1100};
/// The store applies 200 transactions a second.
constexpr milliseconds WriteTime{5};
/// The bounds of the large deployment.
constexpr configuration_watch::bounds Bounds{milliseconds(3000),
                                             milliseconds(4000)};

} // namespace

large_cluster::large_cluster(uint64_t Seed)
    : Simulation(Seed, {HostCount, FailureDomainCount}),
      Watch(Simulation, HostCount, Bounds) {
  Simulation.runFor(StartupTime);
  Simulation.fakeStore().setWriteTime(WriteTime);
}

void large_cluster::runFor(duration Span,
                           const std::function<void()> &EachStep) {
  time_point End = Simulation.now() + Span;
  while (Simulation.now() < End) {
    if (Simulation.now() >= NextChangeAt) {
      Watch.change();
      NextChangeAt = Simulation.now() + ChangePeriod;
    }
    EachStep();
    Simulation.runFor(Step);
    Watch.check();
  }
}

} // namespace dragonflyvane
