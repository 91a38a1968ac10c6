/// Access to the store that a host shares with the hosts that use it as relay:
/// equal reads and watches are coalesced, and renewals of several hosts are
/// batched into one transaction.
#ifndef DRAGONFLYVANE_NODE_CLUSTER_COALESCING_STORE_HPP
#define DRAGONFLYVANE_NODE_CLUSTER_COALESCING_STORE_HPP

#include "dragonflyvane/core/cluster/transaction_batch.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <vector>

namespace dragonflyvane {

/// Coalesces and batches calls to another store. The result of a coalesced call
/// goes to the callbacks of all requests. Not thread-safe; used on the
/// scheduler's thread.
class coalescing_store final : public store {
public:
  /// `Direct` gets the coalesced and batched calls.
  coalescing_store(store &Direct, scheduler &Loop, const clock_source &Clock)
      : Direct(Direct), Loop(Loop), Clock(Clock) {}

  /// Joins a queued read of the same kind, but never one in flight: the result
  /// is never older than the request.
  void read(row_kind Kind, read_callback Callback) override;
  /// Serves all watches of a kind by one call to the store. A watch from a
  /// revision before the recorded changes is sent separately.
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  /// Batches transactions that have a `MaxBatchDelay`; sends others without
  /// delay. While the store has not responded to a batch, further ones wait and
  /// grow, for about twice the usual latency: the slower the store, the fewer
  /// calls.
  /// If the store responds neither to a transaction in time nor to any
  /// later call, all watches fail too, since the connection to the store is
  /// probably broken. A transaction alone may only be waiting behind others.
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;
  /// Called when the store has come back from an older copy: watches that wait
  /// for changes of the earlier era fail.
  void onReturn() { failWatches("store came back from an older copy"); }

private:
  struct coalesced_read {
    bool IsInFlight = false;
    /// Callbacks of the next read, which is sent when the current one ends.
    std::vector<read_callback> Queued;
  };
  struct watcher {
    row_version After = 0;
    read_callback Callback;
  };
  struct coalesced_watch {
    /// `RecentRows` has the newest version of each row that changed after this
    /// revision, up to `ReceivedRevision`; 0 before the first watch.
    row_version HistoryStart = 0;
    /// All changes up to this revision have been received.
    row_version ReceivedRevision = 0;
    std::map<row_id, stored_row> RecentRows;
    std::vector<watcher> Watchers;
    std::chrono::milliseconds Wait{0};
    /// A call is in flight, or `CoalescingTimer` runs before the next one.
    bool IsInFlight = false;
    /// Incremented by each call; results of earlier calls are ignored.
    uint64_t Generation = 0;
    timer CoalescingTimer;
    timer DeliveryTimer;
    timer StallTimer;
    bool IsStallCheckPending = false;
  };
  struct pending_transaction {
    store_transaction Transaction;
    transaction_callback Callback;
  };
  using transaction_group = std::vector<pending_transaction>;

  void sendRead(row_kind Kind);
  void sendWatch(row_kind Kind);
  void watchSeparately(row_kind Kind, row_version After,
                       std::chrono::milliseconds Wait, read_callback Callback);
  void onWatchResult(row_kind Kind, const read_result &Result);
  void scheduleNextWatch(row_kind Kind);
  void deliver(row_kind Kind);
  static row_batch rowsAfter(const coalesced_watch &Watch, row_version After);
  static void notifyWatchers(coalesced_watch &Watch, const read_result &Result);
  void failWatches(const std::string &Reason);
  void expectVersion(row_kind Kind, row_version Version);
  void expectResultVersions(const store_transaction &Transaction,
                            const transaction_result &Result);
  /// Sends what is pending, unless it can wait for the batches in flight.
  void flushWhenIdle();
  void flushPending();
  void sendGroup(transaction_batch Batch, transaction_group Members);
  void onGroupResult(const transaction_batch &Batch,
                     const transaction_group &Members,
                     const transaction_result &Result);
  void send(const store_transaction &Transaction,
            transaction_callback Callback);
  /// Notes that the store has responded to a call.
  void noteResponse() { LastResponseAt = Clock.now(); }
  void noteTransactionResult(const transaction_result &Result,
                             time_point SentAt);
  void onStalled(time_point SentAt);

  store &Direct;
  scheduler &Loop;
  const clock_source &Clock;
  std::map<row_kind, coalesced_read> Reads;
  std::map<row_kind, coalesced_watch> Watches;
  /// The watches that have a call of their own, by call ID.
  std::map<uint64_t, read_callback> SeparateWatches;
  transaction_group Pending;
  timer FlushTimer;
  /// Pending transactions have reached their maximum delay.
  bool IsFlushDue = false;
  timer MaxWaitTimer;
  size_t BatchesInFlight = 0;
  /// A moving average of the time that the store takes for a transaction.
  duration UsualLatency{0};
  /// When the store last responded to any call.
  time_point LastResponseAt{};
  /// For each transaction in flight, by call ID, the timer that fails all
  /// watches if no response arrives.
  std::map<uint64_t, timer> ResponseTimers;
  uint64_t LastCallId = 0;
  time_point FlushAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_CLUSTER_COALESCING_STORE_HPP
