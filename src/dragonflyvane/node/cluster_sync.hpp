/// Keeps a daemon in step with the store: reads and watches rows, holds the
/// host's lease, and writes the host's row and the ownership maps.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_SYNC_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_SYNC_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/configuration/operator_state.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"
#include "dragonflyvane/core/ownership/store_clock.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A change to an ownership map. `Edit` gets a copy and the token of the
/// change, and says whether there is anything to write; it is called again
/// after a conflict.
struct map_change {
  std::string Service;
  std::function<bool(ownership_map &, uint64_t Token)> Edit;
  /// Further conditions and writes of the same transaction.
  store_transaction Also;
  /// It holds only under the lease as this run has it: a write that the store
  /// applies late must not speak for a run that has ended.
  bool UnderLease = false;
};

/// Used on the event loop's thread.
class cluster_sync {
public:
  struct dependencies {
    std::string Host;
    scheduler &Loop;
    const clock_source &Clock;
    store &Store;
    operator_state &OperatorState;
    /// Orders, hosts or maps have changed, or the lease was won or lost.
    std::function<void()> OnChange;
    /// Whether this host calls the store for others too.
    std::function<bool()> IsRelay;
  };

  explicit cluster_sync(dependencies Deps);

  /// Begins to read, watch and renew.
  void start();

  const cluster_view &view() const { return View; }
  /// Until when the local backend server may be granted anything: the end of
  /// the lease, if the map was read since it was claimed.
  time_point grantDeadline() const;
  bool holdsLease() const { return grantDeadline() > Deps.Clock.now(); }

  /// Wants the host's row to say this; written until it does.
  void announce(const host_info &Info);
  /// Begins a change, unless one of the same map is under way; whoever needs it
  /// looks again after the next change or tick.
  void change(const map_change &Change);
  /// Writes anything else; `Done` gets the result after the view has learned.
  void transact(const store_transaction &Transaction,
                store::transaction_callback Done);
  void readLeases(store::read_callback Callback);
  /// Whether renewals have succeeded without a gap for a while.
  bool isStoreStable() const;

  /// The version of the newest cluster row that this daemon has seen.
  row_version newestVersion() const { return NewestVersion; }
  /// There is a cluster row of this version. If the watch has not brought it
  /// after a moment, it has gone silent.
  void onClusterVersion(row_version Version);

private:
  /// Reading and watching the rows of one kind.
  struct feed {
    row_kind Kind;
    row_version Revision = 0;
    bool IsRead = false;
    bool WasLost = false;
    /// Answers to earlier reads and watches are ignored.
    uint64_t Round = 0;
    timer Next;
  };

  void readAll(feed &Feed);
  void onReadAll(feed &Feed, time_point SentAt, const read_result &Result);
  void watch(feed &Feed);
  void onWatched(feed &Feed, const read_result &Result);
  void retryRead(feed &Feed, const std::string &Why);
  void noteAnswer(feed &Feed);

  void renew(std::chrono::milliseconds MaxBatchDelay);
  void renewLater();
  void onRenewed(time_point SentAt, const transaction_result &Result);
  void onLeaseConflict(const transaction_result &Result);
  void readMapAfterClaim(row_version ClaimedAt);

  void runChange(const map_change &Change, int Tries);
  bool knowsLease(const transaction_result &Result) const;
  void writeHostRow();
  void noteWatched(const row_batch &Batch);
  bool applyRow(const stored_row &Row);
  void applyRows(const std::vector<stored_row> &Rows);

  dependencies Deps;
  cluster_view View;
  feed OperatorFeed{row_kind::Operator, 0, false, false, 0, {}};
  feed ClusterFeed{row_kind::Cluster, 0, false, false, 0, {}};
  row_version NewestVersion = 0;
  /// As `NewestVersion`, but only what reads and watches have brought.
  row_version Watched = 0;
  /// Checks whether news of a peer have come by the watch too.
  timer NewsCheck;
  bool CheckingNews = false;
  host_lease Lease;
  store_clock StoreClock;
  time_point LastRenewed{};
  time_point SteadySince{};
  std::string RunId;
  std::mt19937_64 Random;
  uint64_t RenewalCount = 0;
  row_version LeaseVersion = 0;
  bool IsClaimed = false;
  bool MapIsFresh = false;
  timer Renewal;
  std::map<std::string, bool> Changing;
  std::optional<host_info> Wanted;
  bool WritingHost = false;
  timer HostRetry;
  timer MapRetry;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_SYNC_HPP
