/// Protects the local backend server from requests that crash backend servers:
/// records crashes, reports them to the coordinator and applies the quarantine
/// that the coordinator decides on.
#ifndef DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP
#define DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/node/cluster/peer_messages.hpp"
#include "dragonflyvane/node/serving/local_server.hpp"

#include <set>

namespace dragonflyvane {

/// Records the crashes of the local backend server and, on the coordinator,
/// correlates the crash reports of all hosts. All functions run on the thread
/// of the event loop.
class crash_guard {
public:
  explicit crash_guard(const clock_source &Clock) : Clock(Clock) {}

  // Called by the dispatcher.

  /// Whether the request must be refused.
  bool isQuarantined(const http_request &Request,
                     const std::string &Workspace) const;
  /// Records a connection that was lost while an incarnation of the server ran
  /// the request.
  void onConnectionLost(const http_request &Request,
                        const std::string &Workspace,
                        const server_incarnation &Incarnation);
  /// Called when the server has responded to the request. A suspect request is
  /// recorded as cleared; other requests are ignored.
  void onResponse(const http_request &Request, const std::string &Workspace);
  /// Records a crash of the last known incarnation if it is down or a new
  /// incarnation has replaced it, and it lost connections shortly before.
  /// Returns whether it is down or was replaced.
  bool checkForCrash(const local_server &Server);

  // Called with messages between hosts.

  /// Adds the crashes and cleared requests of this host to its report.
  void addCrashReport(report_message &Message);
  /// Processes the report of a host. The result is used only on the
  /// coordinator.
  void onReport(const report_message &Message);
  /// Adds the suspect and quarantined requests to the response of the
  /// coordinator.
  void addQuarantine(report_response &Response) const;
  /// Replaces the suspect and quarantined requests by those of the coordinator.
  void onReportResponse(const report_response &Response);

  // Called by the administration API.

  /// Requests that are refused on all hosts.
  const std::set<request_fingerprint> &quarantined() const {
    return Quarantined;
  }
  /// Requests that may have crashed a server; includes the quarantined ones.
  const std::set<request_fingerprint> &suspects() const { return Suspects; }
  /// Lets a request run again: at once on this host, on the others within some
  /// seconds, once the coordinator has processed the next report.
  void release(request_fingerprint Request);

private:
  const clock_source &Clock;
  crash_recorder Recorder;
  crash_correlator Correlator;
  /// The incarnation at the last check for a crash.
  server_incarnation KnownIncarnation;
  std::set<request_fingerprint> Suspects;
  std::set<request_fingerprint> Quarantined;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP
