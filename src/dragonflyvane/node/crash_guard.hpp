/// Protects the local backend server from requests that crash backend servers:
/// records crashes, reports them to the coordinator and applies the quarantine
/// that the coordinator decides on.
#ifndef DRAGONFLYVANE_NODE_CRASH_GUARD_HPP
#define DRAGONFLYVANE_NODE_CRASH_GUARD_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/node/local_server.hpp"
#include "dragonflyvane/node/peer_messages.hpp"

#include <set>

namespace dragonflyvane {

/// Connects the crash records of this host with those of all hosts. All
/// functions run on the thread of the event loop.
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
  /// Records that the server responded to the request, so that a suspect
  /// request is cleared.
  void onAnswered(const http_request &Request, const std::string &Workspace);
  /// Records a crash if the server has ended without announcing it.
  void checkForCrash(const local_server &Server);

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

#endif // DRAGONFLYVANE_NODE_CRASH_GUARD_HPP
