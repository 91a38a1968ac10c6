/// A simulated transactional store, with faults, on a manual clock.
#ifndef DRAGONFLYVANE_TESTS_FAKE_STORE_HPP
#define DRAGONFLYVANE_TESTS_FAKE_STORE_HPP

#include "dragonflyvane/core/store.hpp"
#include "dragonflyvane/core/transaction_size.hpp"
#include "manual_scheduler.hpp"

#include <map>
#include <random>
#include <set>
#include <vector>

namespace dragonflyvane {

/// The rows of the store, shared by all its clients.
class fake_store {
public:
  /// A rule that the store breaks deliberately, to show that a simulation
  /// detects the violation.
  enum class defect {
    None,
    /// Lease renewals commit even if their conditions do not hold.
    RenewalsAlwaysCommit,
    /// Conditions on ownership maps are not checked.
    IgnoresMapConditions,
    /// The clock of the store runs at twice the real speed.
    FastClock,
  };

  fake_store(manual_scheduler &Loop, uint64_t Seed,
             defect Defect = defect::None)
      : Loop(Loop), Random(Seed), Defect(Defect) {}

  /// Writes a row on behalf of an operator.
  void put(const row_id &Id, std::string Value);
  /// Deletes a row on behalf of an operator.
  void erase(const row_id &Id);
  /// Sets whether the store is unreachable for all clients.
  void setDown(bool Value) { Down = Value; }
  /// Sets the probability that the response to a transaction is lost, and
  /// whether such a transaction is also applied later than usual.
  void setLoss(double Probability, bool Late) {
    LossProbability = Probability;
    DelaysLostWrites = Late;
  }
  /// Sets the latency of calls; the delay of each call is random, from half of
  /// the latency to twice the latency.
  void setLatency(duration Value) { Latency = Value; }
  /// Lets the store apply transactions one after another, each of them for this
  /// time. A transaction that would wait for longer than `MaxWriteQueue` is not
  /// committed.
  void setWriteTime(duration Value) { WriteTime = Value; }
  /// The longest wait of a transaction behind others.
  static constexpr std::chrono::milliseconds MaxWriteQueue{1000};
  /// Lets a transaction of another writer take its time in the queue.
  void delayTransactions(duration Span) {
    WritesDoneAt = std::max(WritesDoneAt, Loop.now()) + Span;
  }
  /// Drops pending watches; their callbacks are never called.
  void dropWatches() { Watches.clear(); }
  /// Compacts the history: new watches from older revisions end with
  /// `HistoryCompacted`.
  void compactHistory() { CompactedRevision = Revision; }
  /// Comes back from a copy of this age: all later writes are lost, versions go
  /// back, watches break, and the era rises. The operators write their rows
  /// again after `RewriteDelay`.
  void restore(duration Age, duration RewriteDelay);
  const std::map<row_id, stored_row> &rows() const { return Rows; }
  /// Returns the number of reads, watches and transactions of all clients.
  int calls() const { return Calls; }
  bool isDown() const { return Down; }
  /// Returns the largest transaction that any client has sent.
  const transaction_size &largestTransaction() const { return Largest; }
  /// Returns the number of transactions that were refused for their size.
  int refusedForSize() const { return RefusedForSize; }

private:
  friend class fake_store_client;

  row_batch snapshot(row_kind Kind) const;
  transaction_result apply(const store_transaction &Transaction);
  /// Returns the result of a transaction that exceeds the store's limits.
  std::optional<transaction_result>
  refuseExcess(const store_transaction &Transaction);
  void write(const row_id &Id, std::optional<std::string> Value);
  void notifyWatches();
  bool ignoresCondition(const row_id &Id) const;
  static bool isRenewal(const store_transaction &Transaction);
  std::chrono::milliseconds storeTime() const;
  duration delay();
  bool chance(double Probability);

  /// A row before a write, and the revision before it.
  struct undo_entry {
    time_point At;
    row_id Id;
    std::optional<stored_row> Row;
    row_version Revision = 0;
  };
  /// Writes the rows of operators as they were before a return, unless they
  /// were written since; `Copied` is the revision of the copy.
  void rewriteOperatorRows(const std::map<row_id, stored_row> &Before,
                           row_version Copied);

  struct watch {
    row_kind Kind;
    row_version After = 0;
    time_point End;
    std::function<void(read_result)> Callback;
  };

  manual_scheduler &Loop;
  std::mt19937_64 Random;
  defect Defect;
  std::map<row_id, stored_row> Rows;
  std::vector<watch> Watches;
  row_version Revision = 10;
  row_version CompactedRevision = 0;
  store_era Era = 0;
  std::vector<undo_entry> UndoLog;
  bool Down = false;
  double LossProbability = 0;
  bool DelaysLostWrites = false;
  duration Latency = std::chrono::milliseconds(5);
  duration WriteTime{0};
  /// When the store has applied all transactions that it has received.
  time_point WritesDoneAt{};
  int Calls = 0;
  transaction_size Largest;
  int RefusedForSize = 0;
};

/// The store as a single daemon accesses it. No callback runs after the client
/// is destroyed.
class fake_store_client final : public store {
public:
  explicit fake_store_client(fake_store &Store)
      : Store(Store), Alive(std::make_shared<bool>(true)) {}
  ~fake_store_client() override { *Alive = false; }

  void read(row_kind Kind, read_callback Callback) override;
  void watch(row_kind Kind, row_version After, std::chrono::milliseconds Wait,
             read_callback Callback) override;
  void transact(const store_transaction &Transaction,
                transaction_callback Callback) override;

  /// Sets whether the store is unreachable for this client.
  void setDisconnected(bool Value) { Disconnected = Value; }
  /// Sets whether the connections of this client to the store are silent. Calls
  /// then get no response. Watches that were open, or are opened meanwhile,
  /// stay without a result until they time out, also after the fault has ended.
  void setSilent(bool Value);
  /// Sets whether watches stall, that is, fail only 20 s after the store has
  /// responded. Other calls work.
  void setWatchesStalled(bool Value) { WatchesStalled = Value; }
  /// Sets whether callbacks are deferred, as for a suspended daemon; resuming
  /// runs the deferred callbacks.
  void setFrozen(bool Value);

private:
  void deliver(std::function<void()> Work);
  /// Returns a function that calls the callback with the first result only. The
  /// callback gets the default if there is no result within `ResponseTimeout`.
  template <typename Result>
  std::function<void(Result)> once(std::function<void(Result)> Callback,
                                   Result Default);
  bool canReachStore() const { return !Disconnected && !Silent && !Store.Down; }

  fake_store &Store;
  std::shared_ptr<bool> Alive;
  bool Disconnected = false;
  bool Silent = false;
  /// Watches that were opened before this many silences are without a result.
  uint64_t Silences = 0;
  bool WatchesStalled = false;
  bool Frozen = false;
  std::vector<std::function<void()>> DeferredCallbacks;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_FAKE_STORE_HPP
