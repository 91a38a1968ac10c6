/// Counts of what became of a service's requests at servers of each version.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_VERSION_OUTCOMES_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_VERSION_OUTCOMES_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonflyvane {

/// The responses of servers to requests of one route.
struct response_counts {
  uint64_t Responses = 0;
  /// Responses that say that the server failed.
  uint64_t Failures = 0;
  /// The sum of the natural logarithms of the times at the server in ms. Its
  /// mean changes little with the few requests that take many times longer.
  double LogTimeSum = 0;

  response_counts &operator+=(const response_counts &Other) {
    Responses += Other.Responses;
    Failures += Other.Failures;
    LogTimeSum += Other.LogTimeSum;
    return *this;
  }
};

/// The counts of one version and route, as hosts report them.
struct version_outcomes {
  std::string Service;
  std::string Version;
  std::string Route;
  response_counts Counts;
};

/// Counts the responses of the backend server of one host between two reports.
class outcome_counter {
public:
  /// Counts a response that took `Elapsed` at the server.
  void count(const std::string &Version, const std::string &Route,
             bool HasFailed, duration Elapsed);
  /// Returns the counts since the last call.
  std::vector<version_outcomes> take(const std::string &Service);

private:
  std::map<std::pair<std::string, std::string>, response_counts> Counts;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_VERSION_OUTCOMES_HPP
