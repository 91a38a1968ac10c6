#include "dragonflyvane/core/rollout/version_outcomes.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

/// Shorter times say nothing about a version.
constexpr double MinTimeMs = 1;

} // namespace

void outcome_counter::count(const std::string &Version,
                            const std::string &Route, bool HasFailed,
                            duration Elapsed) {
  double Ms = std::chrono::duration<double, std::milli>(Elapsed).count();
  Counts[{Version, Route}] +=
      {1, HasFailed ? 1U : 0U, std::log(std::max(Ms, MinTimeMs))};
}

std::vector<version_outcomes>
outcome_counter::take(const std::string &Service) {
  std::vector<version_outcomes> Taken;
  for (const auto &[Key, Count] : std::exchange(Counts, {}))
    Taken.push_back({Service, Key.first, Key.second, Count});
  return Taken;
}

} // namespace dragonflyvane
