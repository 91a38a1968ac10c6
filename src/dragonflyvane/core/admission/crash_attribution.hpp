/// Finds the requests that crash the backend servers that run them.
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

/// Identifies a request: repetitions have the same fingerprint, whichever
/// caller sends them and whichever host receives them.
using request_fingerprint = uint64_t;

/// Hashes method, host, target, workspace, body and, if it has one, the key
/// point of a request.
request_fingerprint fingerprintOf(const http_request &Request,
                                  const std::string &Workspace,
                                  std::optional<key_point> Point);

/// Formats a fingerprint as 16 hexadecimal digits, as in logs and in the
/// operators' commands.
std::string formatFingerprint(request_fingerprint Request);
/// Parses 16 hexadecimal digits; returns nothing for any other text.
std::optional<request_fingerprint> parseFingerprint(const std::string &Text);

/// A crash of a backend server while it ran a request.
struct crash {
  /// A request that the server ran when it crashed.
  request_fingerprint Request = 0;
  /// The incarnation that crashed.
  server_incarnation Incarnation;
  /// The number of requests that the server ran when it crashed. Each of them
  /// may be the cause.
  uint32_t SuspectCount = 1;
  /// The time from the detection of the crash to the report.
  std::chrono::seconds Age{0};
  /// Whether the server ran the request as a trial.
  bool WasTrial = false;
};

/// A trial of a quarantined request: one host may run it once. A response
/// releases the request on all hosts; another crash delays the next trial.
struct request_trial {
  /// The host that may run the request; empty while no trial is open.
  std::string Host;
  /// Distinguishes the trials of a request.
  uint64_t Number = 0;
  /// The time until the next trial may begin; zero while one is open or due.
  std::chrono::milliseconds Delay{0};
};

/// Records the crashes of one backend server and the requests that were running
/// at the time.
class crash_recorder {
public:
  /// Records that the connection was lost while an incarnation ran the request.
  void onConnectionLost(request_fingerprint Request,
                        const server_incarnation &Incarnation, time_point Now);
  /// Records that an incarnation has ended. It counts as crashed if connections
  /// were lost shortly before; their requests are the suspects.
  void onServerCrashed(const server_incarnation &Incarnation, time_point Now);
  /// Records that an incarnation has ended as it had announced. That is no
  /// evidence against the requests that it ran.
  void onServerStopped(const server_incarnation &Incarnation);
  /// Records that a quarantined request is sent to the server as a trial.
  void onTrial(request_fingerprint Request,
               const server_incarnation &Incarnation);
  /// Records that a server responded to the request, which clears the request
  /// of suspicion.
  void onResponse(request_fingerprint Request, time_point Now);
  /// Returns the crashes within the retention period, with their ages.
  std::vector<crash> crashes(time_point Now);
  /// Returns the requests passed to `onResponse` within the retention period.
  std::vector<request_fingerprint> requestsWithResponse(time_point Now);

private:
  struct lost_request {
    request_fingerprint Request = 0;
    server_incarnation Incarnation;
    time_point At;
  };
  struct recorded_crash {
    crash Crash;
    time_point At;
  };

  std::deque<lost_request> LostRequests;
  std::deque<recorded_crash> Crashes;
  std::map<request_fingerprint, time_point> Answered;
  /// The incarnations that the latest trials were sent to.
  std::map<request_fingerprint, server_incarnation> Trials;
};

/// Combines the crash reports of all hosts on the coordinator and decides which
/// requests are quarantined.
class crash_correlator {
public:
  /// Processes the report of a host: the crashes that its recorder retains and
  /// the suspect requests that its server has responded to.
  void onReport(const std::vector<crash> &Crashes,
                const std::vector<request_fingerprint> &Answered,
                time_point Now);
  /// Returns the suspect requests. Hosts report when their servers respond to
  /// any of them.
  std::set<request_fingerprint> suspects(time_point Now) const;
  /// Returns the quarantined requests, which no server may run except as a
  /// trial.
  std::set<request_fingerprint> quarantined(time_point Now) const;

  /// Opens a trial at a host, of a quarantined request that it has refused, if
  /// one is due. A host has one trial at a time, and there are no more trials
  /// than `OtherServers`, the number of other servers that are ready.
  void onRefused(const std::string &Host,
                 const std::vector<request_fingerprint> &Refused,
                 size_t OtherServers, time_point Now);
  /// Returns the trial, or the time until the next one, of each quarantined
  /// request.
  std::map<request_fingerprint, request_trial> trials(time_point Now) const;

private:
  struct suspect {
    /// The weight of each crash: 1 divided by the number of its suspects.
    std::map<server_incarnation, double> Weights;
    /// The crashes among them that ended a trial.
    std::set<server_incarnation> FailedTrials;
    /// The latest trial; it is open until `TrialEndsAt`.
    request_trial Trial;
    time_point TrialEndsAt{};
    /// The time of the latest crash.
    time_point Newest{};
  };

  static bool isQuarantined(const suspect &Suspect, time_point Now);
  static time_point nextTrialAt(const suspect &Suspect);
  std::set<std::string> hostsWithTrial(time_point Now) const;

  std::map<request_fingerprint, suspect> Suspected;
  uint64_t LastTrialNumber = 0;
  /// Requests that a server has responded to, with the time of the report.
  /// Crashes do not make them suspects within the retention period.
  std::map<request_fingerprint, time_point> Cleared;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_CRASH_ATTRIBUTION_HPP
