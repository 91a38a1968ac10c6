/// Keeps requests that bring backend servers down away from the local one: a
/// witness at its door, and what the steward has made of all that was seen.
#ifndef DRAGONFLYVANE_NODE_CRASH_GUARD_HPP
#define DRAGONFLYVANE_NODE_CRASH_GUARD_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/node/local_server.hpp"
#include "dragonflyvane/node/peer_messages.hpp"

#include <set>

namespace dragonflyvane {

/// Used on the event loop's thread.
class crash_guard {
public:
  explicit crash_guard(const clock_source &Clock) : Clock(Clock) {}

  // At the door.
  bool isQuarantined(const http_request &Request,
                     const std::string &Workspace) const;
  /// The connection broke while a life ran the request.
  void onConnectionLost(const http_request &Request,
                        const std::string &Workspace,
                        const server_incarnation &Incarnation);
  void onAnswered(const http_request &Request, const std::string &Workspace);
  /// Looks whether the server has ended without notice.
  void checkForCrash(const local_server &Server);

  // Between hosts.
  void addCrashReport(report_message &Message);
  /// A host reported; only the steward's records matter.
  void onReport(const report_message &Message);
  void addQuarantine(report_response &Answer) const;
  void onReportResponse(const report_response &Answer);

  // For operators.
  const std::set<request_fingerprint> &quarantined() const {
    return Quarantined;
  }
  const std::set<request_fingerprint> &suspects() const { return Suspects; }
  /// Lets a request run again, on all hosts within some seconds.
  void release(request_fingerprint Request);

private:
  const clock_source &Clock;
  crash_recorder Recorder;
  crash_correlator Correlator;
  server_incarnation KnownIncarnation;
  std::set<request_fingerprint> Suspects;
  std::set<request_fingerprint> Quarantined;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CRASH_GUARD_HPP
