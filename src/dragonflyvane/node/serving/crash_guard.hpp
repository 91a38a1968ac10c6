/// Protects the local backend server from requests that crash backend servers:
/// records crashes, reports them to the coordinator and applies the quarantine
/// that the coordinator decides on.
#ifndef DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP
#define DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP

#include "dragonflyvane/core/admission/crash_attribution.hpp"
#include "dragonflyvane/node/cluster/peer_messages.hpp"
#include "dragonflyvane/node/serving/local_server.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Records the crashes of the local backend server and, on the coordinator,
/// correlates the crash reports of all hosts. All functions run on the thread
/// of the event loop.
class crash_guard {
public:
  /// `Host` is the name of this host.
  crash_guard(const clock_source &Clock, std::string Host)
      : Clock(Clock), Host(std::move(Host)) {}

  // Called by the dispatcher.

  /// Returns nothing if the request may run, and otherwise the time after which
  /// it may. Lets a quarantined request run once for each trial at this host.
  std::optional<std::chrono::milliseconds>
  refusalDelay(request_fingerprint Request);
  /// Records a connection that was lost while an incarnation of the server ran
  /// the request.
  void onConnectionLost(request_fingerprint Request,
                        const server_incarnation &Incarnation);
  /// Called when the server has run the request and responded. A suspect
  /// request is recorded as cleared; other requests are ignored.
  void onResponse(request_fingerprint Request);
  /// Whether any request is suspected or quarantined. If not, no request needs
  /// a fingerprint before its connection is lost.
  bool hasSuspects() const { return !Suspects.empty() || !Quarantined.empty(); }

  // Called by the request router.

  /// Returns the host that has an open trial of the request, if there is one.
  std::optional<std::string> trialHost(request_fingerprint Request) const;

  /// Records a crash of the last known incarnation if it is down or a new
  /// incarnation has replaced it, and it lost connections shortly before
  /// without having announced that it leaves. Returns whether it is down or was
  /// replaced.
  bool checkForCrash(const local_server &Server);

  // Called with messages between hosts.

  /// Adds the crashes and cleared requests of this host to its report.
  void addCrashReport(report_message &Message);
  /// Processes the report of a host. The result is used only on the
  /// coordinator. `OtherServers` is the number of ready servers of the host's
  /// service on other hosts.
  void onReport(const report_message &Message, size_t OtherServers);
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
  std::string Host;
  crash_recorder Recorder;
  crash_correlator Correlator;
  /// The incarnation at the last check for a crash.
  server_incarnation KnownIncarnation;
  /// Whether that incarnation had announced that it leaves.
  bool HasAnnouncedLeaving = false;
  std::set<request_fingerprint> Suspects;
  std::set<request_fingerprint> Quarantined;
  std::map<request_fingerprint, request_trial> Trials;
  /// When `Trials` was received.
  time_point TrialsReceivedAt{};
  /// The numbers of the latest trials that have begun at this host.
  std::map<request_fingerprint, uint64_t> BegunTrials;
  /// Quarantined requests that were refused since the last report.
  std::set<request_fingerprint> Refused;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_CRASH_GUARD_HPP
