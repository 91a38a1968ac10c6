/// Finds requests that bring down the backend servers that run them.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_CRASH_ATTRIBUTION_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_CRASH_ATTRIBUTION_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// The same for each repetition of a request, whoever sends it where.
using request_fingerprint = uint64_t;

request_fingerprint fingerprintOf(const http_request &Request,
                                  const std::string &Workspace);

/// 16 hexadecimal digits, as logs and operators write it.
std::string formatFingerprint(request_fingerprint Request);
/// Nothing if the text is no fingerprint.
std::optional<request_fingerprint> parseFingerprint(const std::string &Text);

/// A backend server that died while it ran a request.
struct crash {
  request_fingerprint Request = 0;
  server_incarnation Incarnation;
  /// How many requests it ran when it died; any of them may be the cause.
  uint32_t Suspects = 1;
  /// Seconds ago, when it was reported.
  std::chrono::seconds Age{0};
};

/// What the door of one backend server has seen.
class crash_recorder {
public:
  /// The connection broke while a life ran the request.
  void onConnectionLost(request_fingerprint Request,
                        const server_incarnation &Incarnation, time_point Now);
  /// The life has ended without notice.
  void onServerCrashed(const server_incarnation &Incarnation, time_point Now);
  /// A server ran the request to its end: it is not the cause.
  void onAnswered(request_fingerprint Request, time_point Now);
  /// Crashes that are not forgotten yet.
  std::vector<crash> crashes(time_point Now);
  /// Requests in question that were answered, as long as that is remembered.
  std::vector<request_fingerprint> answered(time_point Now);

private:
  struct lost_request {
    request_fingerprint Request = 0;
    server_incarnation Incarnation;
    time_point At;
  };
  struct seen_crash {
    crash Crash;
    time_point At;
  };

  std::deque<lost_request> Lost;
  std::deque<seen_crash> Crashes;
  std::map<request_fingerprint, time_point> Answered;
};

/// What all doors have seen, as the steward knows it.
class crash_correlator {
public:
  /// A host tells all crashes that it remembers, and which requests its server
  /// has answered since.
  void onReport(const std::vector<crash> &Crashes,
                const std::vector<request_fingerprint> &Answered,
                time_point Now);
  /// Requests in question; doors are to tell when one of them is answered.
  std::set<request_fingerprint> suspects(time_point Now) const;
  /// Requests that are not to run any more.
  std::set<request_fingerprint> quarantined(time_point Now) const;

private:
  struct cause {
    /// Each death counts once, by one part for each request that may have
    /// caused it.
    std::map<server_incarnation, double> Weights;
    time_point Newest{};
  };

  std::map<request_fingerprint, cause> Causes;
  /// Requests that a server has run to the end; never suspected again.
  std::map<request_fingerprint, time_point> Innocent;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_CRASH_ATTRIBUTION_HPP
