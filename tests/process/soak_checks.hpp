/// The promises that the soak checks, from what callers and servers saw.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_SOAK_CHECKS_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_SOAK_CHECKS_HPP

#include "process/local_cluster.hpp"
#include "process/soak_call.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The platform sends SIGKILL this long after SIGTERM.
constexpr std::chrono::seconds Grace{6};
/// The timeouts of routes in the soak are no shorter, so that nothing is
/// answered at its timeout sooner than this.
constexpr std::chrono::seconds ShortestRouteTimeout{8};

/// A SIGTERM and the end of its process.
struct daemon_stop {
  int Host = 0;
  time_point SignalAt;
  std::optional<time_point> EndedAt;
};

/// The time from SIGSTOP to SIGCONT.
struct daemon_pause {
  int Host = 0;
  time_point At;
  time_point End;
};

/// What servers and signals did while the callers called.
struct soak_record {
  runs_by_id Runs;
  std::vector<daemon_stop> Stops;
  std::vector<daemon_pause> Pauses;
};

/// Returns a line for each broken promise on a request:
///
/// - A request that began to run at a server ends with an answer.
/// - So does one of which a part was sent longer ago than a request may cross
///   the close of its connection.
/// - While a host stops, no answer 502 or 504 takes the place of a server's
///   success, unless the request was too long for the grace.
/// - A request that may not be repeated runs once at most, and not at all if
///   the answer says that it did not run.
/// - An answer 200 is whole and belongs to the request.
std::vector<std::string> brokenPromises(const std::vector<soak_call> &Calls,
                                        const soak_record &Record);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_SOAK_CHECKS_HPP
