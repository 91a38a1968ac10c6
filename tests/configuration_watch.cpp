#include "configuration_watch.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace dragonflyvane {

configuration_watch::configuration_watch(ownership_simulation &Simulation,
                                         int HostCount, bounds Bounds)
    : Simulation(Simulation), Bounds(Bounds),
      FirstVersion(Simulation.newestConfig()),
      Hosts(static_cast<size_t>(HostCount)) {}

void configuration_watch::change() {
  Simulation.changeConfiguration();
  ChangedAt.push_back(Simulation.now());
}

void configuration_watch::onDisturbed(int Host) {
  Hosts[Host].DisturbedUntil = Simulation.now();
}

size_t configuration_watch::changesUntil(time_point Time) const {
  auto End = std::upper_bound(ChangedAt.begin(), ChangedAt.end(), Time);
  return static_cast<size_t>(End - ChangedAt.begin());
}

void configuration_watch::check() {
  time_point Now = Simulation.now();
  uint64_t Due = FirstVersion + changesUntil(Now - Bounds.MaxDelay);
  for (size_t I = 0; I < Hosts.size(); ++I) {
    host_state &Host = Hosts[I];
    int Number = static_cast<int>(I);
    uint64_t InForce = Simulation.configInForce(Number);
    bool IsUndisturbed = Now >= Host.DisturbedUntil + Bounds.UndisturbedTime;
    if (!IsUndisturbed || InForce >= Simulation.newestConfig())
      continue;
    if (InForce >= FirstVersion)
      LongestDelay =
          std::max(LongestDelay, Now - ChangedAt[InForce - FirstVersion]);
    if (InForce >= Due || Host.LastLate >= Due)
      continue;
    Host.LastLate = Due;
    ++Late;
    MESSAGE(
        "at " << std::chrono::duration<double>(Now.time_since_epoch()).count()
              << " s " << Simulation.nameOf(Number) << " has version "
              << InForce << ", due is " << Due);
  }
}

} // namespace dragonflyvane
