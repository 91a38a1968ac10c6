/// Ownership of keys on one host: connects the rows of the store, the local
/// backend server and the coordinator role. Communicates only through the
/// store, in responses to heartbeats and in calls that grant and release keys.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_OWNERSHIP_MANAGER_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_OWNERSHIP_MANAGER_HPP

#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/node/cluster/cluster_coordinator.hpp"
#include "dragonflyvane/node/cluster/cluster_sync.hpp"
#include "dragonflyvane/node/cluster/rollout_manager.hpp"
#include "dragonflyvane/node/serving/local_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace dragonflyvane {

/// Calls the backend server at an address to grant or release keys. The result
/// is passed to the callback later.
using key_call_sender =
    std::function<void(const endpoint &Server, const key_call &Call,
                       std::function<void(const key_call_result &)>)>;

/// Decides which keys the local backend server may hold. Not thread-safe; used
/// on the scheduler's thread.
class ownership_manager {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    const settings &Settings;
    scheduler &Loop;
    const clock_source &Clock;
    store &Store;
    operator_state &OperatorState;
    /// Called after a change of the operator state, the hosts, the maps or the
    /// lease.
    std::function<void()> OnChange;
    /// Whether this host makes store calls for other hosts.
    std::function<bool()> IsRelay;
    /// Makes the calls to the local backend server.
    key_call_sender SendKeyCall;
    /// Called when a call has granted keys to the local backend server.
    std::function<void()> OnGranted;
    /// Encodes what operators read about a rollout.
    rollout_status_encoder EncodeRolloutStatus = {};
    /// Called when this host may miss changes of the operators' rows.
    std::function<void()> OnStoreLost = [] {};
  };

  explicit ownership_manager(dependencies Dependencies);

  /// Starts synchronizing with the store.
  void start();
  /// Handles a heartbeat of the local backend server. Returns the grant to
  /// respond with, if any. Throws `step_error` if the heartbeat cannot come
  /// from that server.
  std::optional<grant> onHeartbeat(const heartbeat &Heartbeat);
  /// Handles the announcement of the local backend server that it is leaving.
  /// Throws `step_error` if it cannot come from that server.
  void onLeave(const leave_notice &Notice);
  /// Handles the condition that the latest response of the local backend server
  /// shows.
  void onServerCondition(const server_condition &Condition);
  /// Handles the condition of the local backend server that a peer knows.
  void onReportedCondition(const condition_report &Report);
  /// Handles a connection that the local backend server refused.
  void onRefusedConnection();
  /// Handles a request that the local backend server refused because it does
  /// not hold the key point.
  void onKeyRefused(key_point Point);

  /// Returns the hosts, maps and coordinator as last seen in the store.
  const cluster_view &view() const { return Sync.view(); }
  /// Returns the synchronization with the store.
  const cluster_sync &sync() const { return Sync; }
  /// Returns the state of the local backend server.
  const local_server &server() const { return Server; }
  /// Handles the information that a peer has seen a cluster row of this
  /// version.
  void onClusterVersion(row_version Version) { Sync.onClusterVersion(Version); }
  /// Applies the operators' rows of a peer that knows a newer version.
  void onOperatorRowsOfPeer(const row_batch &Batch) {
    Sync.onOperatorRowsOfPeer(Batch);
  }
  /// Returns the coordinator role of this host; active only while this host is
  /// elected and holds its lease.
  cluster_coordinator &coordinator() { return Coordinator; }
  /// Records a load report of a host, this one included.
  void onReport(const std::string &Host, const load_report &Report) {
    Coordinator.onReport(Host, Report);
    Rollouts.onReport(Host, Report);
  }
  const cluster_coordinator &coordinator() const { return Coordinator; }
  /// Whether the map assigns a point to the current incarnation of the local
  /// backend server.
  bool isOwner(const std::string &Service, key_point Point) const;

private:
  grant_context grantContextOf(const std::string &Service) const;
  void onClusterChange();
  void publishHostInfo();
  /// Takes up from the host's row that the server is leaving, which an earlier
  /// run of the daemon learned.
  void recallLeaving();
  /// Logs a notable change of the condition.
  void logCondition(const server_condition &Condition);
  void releaseRanges();
  /// Makes the calls to the local backend server that are due.
  void makeDueCalls();
  void onKeyCallResult(const key_call &Call, const key_call_result &Result);
  /// Logs a call, except for renewals of a grant.
  void logKeyCall(const key_call &Call, const key_call_result &Result);
  bool applyReleases(ownership_map &Map, uint64_t Token);
  void transferRange(owned_range &Range, const std::string &Handover,
                     uint64_t Token) const;
  void tick();

  dependencies Deps;
  cluster_sync Sync;
  local_server Server;
  cluster_coordinator Coordinator;
  rollout_manager Rollouts;
  /// Content of the host's row as last passed to `Sync`.
  std::optional<host_info> PublishedInfo;
  /// The rate limit of the local backend server in its latest log line.
  std::optional<double> LoggedRateLimit;
  time_point StartedAt{};
  /// The highest token that a call has granted.
  uint64_t HighestGrantedToken = 0;
  timer TickTimer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_OWNERSHIP_MANAGER_HPP
