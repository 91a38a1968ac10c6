/// The local backend server: its heartbeats, its availability and its grants.
#ifndef DRAGONFLYVANE_NODE_SERVING_LOCAL_SERVER_HPP
#define DRAGONFLYVANE_NODE_SERVING_LOCAL_SERVER_HPP

#include "dragonflyvane/core/admission/server_condition.hpp"
#include "dragonflyvane/core/backend_server.hpp"
#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/endpoint.hpp"
#include "dragonflyvane/core/ownership/call_grants.hpp"
#include "dragonflyvane/core/ownership/heartbeat_grants.hpp"
#include "dragonflyvane/core/ownership/incarnation_tracker.hpp"
#include "dragonflyvane/node/serving/condition_report.hpp"
#include "dragonflyvane/node/settings.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace dragonflyvane {

/// The state of the cluster from which the grants of the server follow.
struct grant_context {
  /// The ownership map of the service of the server; null while unknown.
  const ownership_map *Map = nullptr;
  /// Whether the failure domain of this host is evacuated.
  bool IsEvacuated = false;
  /// Nothing is granted beyond this time, the end of the lease of this host.
  time_point LeaseEnd{};
  /// How the service grants keys; none while its configuration is unknown.
  std::optional<grant_way> GrantWay;
  /// Whether the heartbeats of the service have to list the held ranges.
  bool ReportsKeys = false;
  /// Whether the failure domain was evacuated already when this daemon first
  /// learned of it.
  bool WasFoundEvacuated = false;
};

/// Tracks the backend server of this host over all of its incarnations.
class local_server {
public:
  /// Starts without a server, in availability `None`.
  local_server(const settings &Settings, const clock_source &Clock);

  /// Processes a heartbeat and returns the grant for the response, if the
  /// service grants keys by heartbeat. Late heartbeats and those of earlier
  /// incarnations change nothing. Throws `step_error`, and changes nothing, if
  /// the heartbeat cannot come from the server of this host.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat,
                                   const grant_context &Context);
  /// Returns the calls that grant or release keys now; none unless the service
  /// grants keys by call. The caller has to make them and report each result.
  std::vector<key_call> takeDueCalls(const grant_context &Context);
  /// Called with the result of a call that `takeDueCalls` returned.
  void onKeyCallResult(const key_call &Call, const key_call_result &Result);
  /// Called when the server refused a request because it does not hold its key
  /// point.
  void onKeyRefused(key_point Point);
  /// Called with the condition that a response of the current incarnation
  /// shows.
  void onCondition(const server_condition &Condition);
  /// Called with the condition that a peer knows. The limit counts only until
  /// this daemon has seen a response of the incarnation itself. Of several
  /// times since when the server leaves, the earliest counts: a run of the
  /// daemon that has ended may have told the peer. Returns whether the report
  /// has changed what this daemon knows of the current incarnation.
  bool onReportedCondition(const condition_report &Report);
  /// Called when the server announces that it leaves, or when it becomes known
  /// that it has been leaving since `Since`. An announcement of an incarnation
  /// that has sent no heartbeat to this daemon yet counts from its first
  /// heartbeat on. Returns whether this changes what is known of the current
  /// incarnation; an earlier time does.
  bool onLeave(const server_incarnation &Incarnation, time_point Since);
  /// Called when it becomes known that the server leaves, but not since when.
  /// An earlier run of the daemon may have known it for any time, so the drain
  /// timeout counts as over.
  void onLeaveAtUnknownTime(const server_incarnation &Incarnation);
  /// Called when the server refused a connection. Marks a ready server as down
  /// and ends its grants if it has refused connections for more than a
  /// heartbeat interval without sending a heartbeat.
  void onRefusedConnection();
  /// Marks the server as down if its heartbeats have stopped. Called
  /// periodically.
  void tick();

  server_availability availability() const { return Availability; }
  /// The announced service; empty until the first heartbeat.
  const std::string &service() const { return Service; }
  /// The newest incarnation that sent a heartbeat.
  const server_incarnation &incarnation() const {
    return Incarnations.current();
  }
  /// What the current incarnation has said about itself in its responses.
  const server_condition &condition() const { return Condition; }
  /// Whether this daemon has seen a response of the current incarnation.
  bool hasResponded() const { return HasResponded; }
  /// The condition to report to peers; none if the server has neither a limit
  /// nor leaves.
  std::optional<condition_report> conditionReport(time_point Now) const;
  /// How long the server has been leaving, as far as this daemon counts it; 0
  /// if it does not leave.
  std::chrono::milliseconds leavingFor(time_point Now) const;
  /// Where the server accepts requests.
  const endpoint &address() const { return Address; }
  /// Number of requests that the server runs at the same time.
  uint32_t slots() const { return Slots; }
  /// The version that the latest heartbeat names; empty if none.
  const std::string &version() const { return Version; }
  /// Whether the server is still warming up and takes a limited rate.
  bool isCold(time_point Now) const { return Now < ColdUntil; }
  /// Whether new requests may be sent to the server: it is ready or started to
  /// leave a short time ago, and its failure domain is not evacuated or has
  /// been for a short time only.
  bool acceptsRequests(time_point Now) const;
  /// Whether a grant for the key point is in force at the server.
  bool holds(key_point Point, time_point Now) const {
    return std::visit(
        [&](const auto &Method) { return Method.holds(Point, Now); }, Grants);
  }
  /// Applies a change of the ownership map or of an evacuation.
  void updateOwnership(const grant_context &Context);
  /// Ranges of this host that must move or belong to an earlier incarnation,
  /// and that certainly no server holds any more.
  std::vector<releasable_range>
  releasableRanges(const grant_context &Context) const;
  /// Called before the store is asked to make the range unowned. Whatever the
  /// result of that write, the range is not granted again under its current
  /// token.
  void relinquish(const owned_range &Range) { Policy.relinquish(Range); }
  /// Writes service, availability, incarnation, slots and version of the server
  /// into the row of the host.
  void writeTo(host_info &Info) const;

private:
  void requireOwnServer(const heartbeat &Heartbeat,
                        const grant_context &Context) const;
  void startIncarnation();
  /// Called when a heartbeat or a response says that the server leaves. If it
  /// is the first one of its incarnation that this daemon gets, the server may
  /// have left at any earlier time.
  void onLeaveAnnounced(bool IsFirstSign);
  /// Keeps that the server leaves, by a report before its first heartbeat.
  void keepEarlyReport(const condition_report &Report);
  /// Applies an announcement that arrived before the first heartbeat of the
  /// current incarnation.
  void applyEarlyLeave();
  /// Since when all ranges must move to other hosts; nothing if they need not.
  std::optional<time_point> releaseAllSince() const;
  /// Lets no repeated grant open a connection before the next heartbeat.
  void awaitHeartbeat();
  /// Uses the way of the service from now on.
  void selectGrantWay(const grant_context &Context);

  const clock_source &Clock;
  server_identity Identity;
  std::chrono::milliseconds DrainTimeout;
  std::chrono::milliseconds HeartbeatInterval;
  /// No hold of a server lasts longer.
  duration MaxHold;
  grant_policy Policy;
  std::variant<heartbeat_grants, call_grants> Grants;
  incarnation_tracker Incarnations;
  server_availability Availability = server_availability::None;
  std::string Service;
  std::string Version;
  endpoint Address;
  uint32_t Slots = 0;
  server_condition Condition;
  bool HasResponded = false;
  time_point LastHeartbeatAt{};
  /// Whether a call since the latest heartbeat could not be sent. The daemon
  /// starts without a connection.
  bool IsConnectionMissed = true;
  /// Repeated grants may open connections until this time. It is set by a
  /// heartbeat that follows a missed connection: if the server was replaced,
  /// the earlier connections broke before this heartbeat was sent.
  time_point ReconnectUntil{};
  time_point IncarnationSince{};
  /// The first and the last refusal of the current series.
  time_point FirstRefusal{};
  time_point LastRefusal{};
  time_point LeavingSince{};
  /// The latest announcement of an incarnation that is not the current one.
  struct early_leave {
    server_incarnation Incarnation;
    time_point Since{};
  };
  std::optional<early_leave> EarlyLeave;
  std::optional<time_point> EvacuatedSince;
  time_point ColdUntil{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_LOCAL_SERVER_HPP
