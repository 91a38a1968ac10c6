/// Synchronization of a daemon with the store: reads and watches rows, renews
/// the host's lease, and writes the host's row and the ownership maps.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_SYNC_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_SYNC_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/cluster/era_tracker.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/ownership/store_clock.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/node/cluster/map_writer.hpp"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Reads and writes the rows for one host. Not thread-safe; used on the
/// scheduler's thread.
class cluster_sync {
public:
  /// Constructor arguments; the references must outlive the object.
  struct dependencies {
    std::string Host;
    std::string FailureDomain;
    /// The service of the local backend server.
    std::string Service;
    /// CPU time that the daemon may use, in processor cores.
    double CpuShare = 1;
    scheduler &Loop;
    const clock_source &Clock;
    store &Store;
    operator_state &OperatorState;
    /// Called after a change of the operator state, the hosts or the maps, and
    /// after the lease was acquired or lost.
    std::function<void()> OnChange;
    /// Whether this host makes store calls for other hosts.
    std::function<bool()> IsRelay;
    /// Called when a watch or a renewal has failed, or a renewal is overdue.
    /// This host may then miss changes of the operators' rows.
    std::function<void()> OnStoreLost = [] {};
  };

  explicit cluster_sync(dependencies Dependencies);

  /// Starts reading, watching and renewing the lease.
  void start();

  /// Returns the hosts, maps and coordinator as last seen in the store.
  const cluster_view &view() const { return View; }
  /// Returns the time at which grants to the local backend server must end: the
  /// expiry of the lease, if the map has been read since the lease was claimed,
  /// else a time in the past.
  time_point grantDeadline() const;
  /// Returns the time at which grants of keys of a service must end. It may be
  /// earlier while the map of the service is not settled after the store came
  /// back from an older copy.
  time_point grantDeadlineOf(const std::string &Service) const;
  /// Whether the host holds its lease and has read the map since it claimed the
  /// lease.
  bool holdsLease() const { return grantDeadline() > Deps.Clock.now(); }

  /// Sets the content of the host's row; the write is retried until the store
  /// has it.
  void publishHostInfo(const host_info &Info);
  /// Sets the content of the host's row until `publishHostInfo` is called. It
  /// is written only if there is no row of this host, and no host yet that
  /// relays for its failure domain.
  void publishProvisionalHostInfo(const host_info &Info);
  /// Whether this run of the daemon may have written the host's row. Until then
  /// the row is that of an earlier run.
  bool hasSentHostRow() const { return HasSentHostRow; }
  /// Returns the writer of the ownership maps.
  map_writer &maps() { return Maps; }
  /// Sends a transaction. `OnDone` gets the result after the view has been
  /// updated with it.
  void transact(const store_transaction &Transaction,
                store::transaction_callback OnDone);
  /// Reads the lease rows of all hosts.
  void readLeases(store::read_callback Callback);
  /// Whether this host watches the operators' rows, its last renewal confirmed
  /// them, and the next one is not overdue.
  bool isFollowingStore() const {
    return OperatorSubscription.IsLoaded && !OperatorSubscription.IsFailing &&
           FailedRenewals == 0 && !IsRenewalOverdue;
  }
  /// Applies the operators' rows of a peer that knows a newer version.
  void onOperatorRowsOfPeer(const row_batch &Batch);
  /// Whether renewals have succeeded without a gap for at least
  /// `StoreRecoveryGrace`.
  bool isStoreStable() const;

  /// Returns the latest time that the store's clock can show now; zero before
  /// the first renewal.
  std::chrono::milliseconds storeTime() const {
    return StoreClock.upperBound(Deps.Clock.now());
  }
  /// Returns the version of the newest cluster row that this daemon has seen.
  row_version newestVersion() const { return NewestVersion; }
  /// Handles the information that a cluster row of this version exists. If the
  /// watch does not deliver that version in time, the watch has stalled and all
  /// rows are read again.
  void onClusterVersion(row_version Version);

private:
  /// State of reading and watching the rows of one kind.
  struct subscription {
    row_kind Kind;
    row_version Revision = 0;
    /// All rows have been read; false while they are being read again.
    bool IsLoaded = false;
    /// The last call failed, and a warning has been logged.
    bool IsFailing = false;
    /// Incremented by each read of all rows; results of earlier reads and
    /// watches are ignored.
    uint64_t Generation = 0;
    timer RetryTimer;
  };

  /// Decides, once the cluster rows are read, whether the host may go on to
  /// write. Lets hosts without a relay wait at the first start of a fleet.
  void continueStart();
  /// Reads the operators' rows and then claims the lease.
  void joinCluster();
  void claimLease();

  /// Processes the era of a version that the store has sent. Returns false if
  /// the version is of an earlier era and must not be believed.
  bool acceptEra(row_version Version);
  /// Processes the era of a result, before its rows change the view.
  void observeEra(const transaction_result &Result);
  /// Lets the operator state wait for the newest configuration if the store has
  /// come back lately; called with the first cluster rows.
  void checkForReturn(const row_batch &Batch);
  void endSettling();
  /// Starts to reconcile with a store that has come back from an older copy.
  void onReturn(row_version Version);
  /// Treats the lease as lost, so that a renewal claims it anew.
  void dropClaim();

  void readAll(subscription &Subscription);
  void onReadResult(subscription &Subscription, time_point SentAt,
                    const read_result &Result);
  void watch(subscription &Subscription);
  void onWatchResult(subscription &Subscription, const read_result &Result);
  void retryRead(subscription &Subscription, const std::string &Reason);
  void onStoreResponse(subscription &Subscription);

  void renew(std::chrono::milliseconds MaxBatchDelay);
  /// Schedules the next renewal, earlier than usual if the last one took long.
  void scheduleRenewal(duration Latency);
  void onRenewed(time_point SentAt, const transaction_result &Result);
  /// Reads the operators' rows after a renewal failed, if no renewal has
  /// confirmed them for long.
  void confirmByRead();
  /// Logs the first of several failed renewals, and the renewal that ends them.
  void noteFailedRenewal(const transaction_result &Result);
  void noteRenewal();
  void onLeaseConflict(const transaction_result &Result);
  void readMapAfterClaim(row_version ClaimedAt);

  /// Removes the rows from the view that a conflict has shown to be missing.
  void removeMissingRows(const store_transaction &Transaction,
                         const transaction_result &Result);
  duration jittered(duration Mean);
  void writeHostRow();
  bool hasRelay() const;
  void recordWatchedVersions(const row_batch &Batch);
  bool applyRow(const stored_row &Row);
  void applyRows(const std::vector<stored_row> &Rows);

  dependencies Deps;
  cluster_view View;
  subscription OperatorSubscription{row_kind::Operator, 0, false, false, 0, {}};
  subscription ClusterSubscription{row_kind::Cluster, 0, false, false, 0, {}};
  row_version NewestVersion = 0;
  /// Version of the newest cluster row that `readAll` or a watch has delivered.
  row_version WatchedVersion = 0;
  /// Delays the check whether the watch has delivered a version that is known
  /// from a peer or from this host's own write.
  timer WatchLagTimer;
  bool IsWatchLagCheckPending = false;
  /// How far the start has come.
  enum class start_stage { ReadingCluster, AwaitingRelay, Joining, Renewing };
  start_stage Stage = start_stage::ReadingCluster;
  timer StartTimer;
  host_lease Lease;
  store_clock StoreClock;
  time_point LastRenewedAt{};
  /// Time of the first renewal after the last gap above `MaxRenewalGap`.
  time_point StableSince{};
  /// Identifies this run of the daemon in the lease row.
  std::string RunId;
  std::mt19937_64 Random;
  uint64_t RenewalCount = 0;
  /// Failed renewals since the last renewal.
  uint64_t FailedRenewals = 0;
  /// Version of the lease row according to the last renewal result.
  row_version LeaseVersion = 0;
  /// A renewal by this run was committed, and no conflict has since shown that
  /// another run or a takeover wrote the lease row.
  bool IsClaimed = false;
  /// Required for grants. A map from before the claim may still show ranges of
  /// this host that other hosts have taken over.
  bool IsMapReadSinceClaim = false;
  timer RenewalTimer;
  timer OverdueTimer;
  bool IsRenewalOverdue = false;
  era_tracker Eras;
  timer SettlingTimer;
  map_writer Maps;
  std::optional<host_info> DesiredHostInfo;
  bool IsHostInfoProvisional = false;
  bool IsHostWriteInFlight = false;
  bool HasSentHostRow = false;
  timer HostRetryTimer;
  timer MapRetryTimer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_CLUSTER_SYNC_HPP
