/// Access to the store that a host shares with its neighbours: calls that ask
/// the same are made once, and renewals of many hosts are one transaction.
#ifndef DRAGONFLYVANE_NODE_COALESCING_STORE_HPP
#define DRAGONFLYVANE_NODE_COALESCING_STORE_HPP

#include "dragonflyvane/core/cluster/transaction_batch.hpp"
#include "dragonflyvane/core/scheduler.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <vector>

namespace dragonflyvane {

/// Used on the scheduler's thread. A call that ends is told to all who asked.
class coalescing_store final : public store {
public:
  coalescing_store(store &Direct, scheduler &Loop, const clock_source &Clock)
      : Direct(Direct), Loop(Loop), Clock(Clock) {}

  /// Joins a read that was asked for, but not sent yet: what is read is never
  /// older than the question.
  void read(row_kind Kind, read_callback Callback) override;
  /// One watch of a kind serves all.
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  /// Transactions that may wait are joined; others are sent at once. One that
  /// the store leaves without an answer for long ends the watches too, since
  /// the way to the store is likely to be broken.
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

private:
  struct shared_read {
    bool IsUnderWay = false;
    std::vector<read_callback> Next;
  };
  struct watcher {
    row_version After = 0;
    read_callback Callback;
  };
  struct shared_watch {
    /// What changed after this version is among `Recent`.
    row_version Base = 0;
    /// What changed up to this version has been brought.
    row_version Head = 0;
    std::map<row_id, stored_row> Recent;
    std::vector<watcher> Watchers;
    std::chrono::milliseconds Wait{0};
    /// The store is asked, or will be in a moment.
    bool IsUnderWay = false;
    /// Answers to earlier calls are ignored.
    uint64_t Round = 0;
    timer Pause;
    timer Delivery;
    timer SilenceCheck;
    bool IsChecking = false;
  };
  struct waiting_transaction {
    store_transaction Transaction;
    transaction_callback Callback;
  };
  using group = std::vector<waiting_transaction>;

  void sendRead(row_kind Kind);
  void ask(row_kind Kind);
  void onWatched(row_kind Kind, const read_result &Result);
  void pauseWatch(row_kind Kind);
  void deliver(row_kind Kind);
  static row_batch recentAfter(const shared_watch &Watch, row_version After);
  static void tellAll(shared_watch &Watch, const read_result &Result);
  void endWatches(const std::string &Why);
  void expect(row_kind Kind, row_version Version);
  void expectAfter(const store_transaction &Transaction,
                   const transaction_result &Result);
  void sendWaiting();
  void sendGroup(transaction_batch Batch, group Members);
  void onGroupEnded(const transaction_batch &Batch, const group &Members,
                    const transaction_result &Result);
  void send(const store_transaction &Transaction,
            transaction_callback Callback);

  store &Direct;
  scheduler &Loop;
  const clock_source &Clock;
  std::map<row_kind, shared_read> Reads;
  std::map<row_kind, shared_watch> Watches;
  group Waiting;
  timer Flush;
  /// For each transaction without an answer yet: when that looks bad.
  std::map<uint64_t, timer> Suspicions;
  uint64_t LastCall = 0;
  time_point FlushAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_COALESCING_STORE_HPP
