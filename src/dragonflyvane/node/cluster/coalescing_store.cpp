#include "dragonflyvane/node/cluster/coalescing_store.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Delay between a watch result and the next call; changes within this time are
/// received together.
constexpr std::chrono::milliseconds CoalescingWindow{60};
/// A watch has stalled if it has not delivered a version this long after the
/// result of another call showed that version. All watches fail if a
/// transaction gets no response for this long.
constexpr std::chrono::milliseconds StallTimeout{600};

/// Bounds on the wait of pending transactions for batches in flight.
constexpr std::chrono::milliseconds MinBatchWait{50};
constexpr std::chrono::milliseconds MaxBatchWait{1000};
/// The wait in units of the usual latency. A batch that takes longer may be
/// lost.
constexpr int BatchWaitFactor = 2;

row_version newestVersionOf(const row_batch &Batch) {
  row_version NewestVersion = 0;
  for (const stored_row &Row : Batch.Rows)
    NewestVersion = std::max(NewestVersion, Row.Version);
  return NewestVersion;
}

} // namespace

// Reads.

void coalescing_store::read(row_kind Kind, read_callback Callback) {
  coalesced_read &Read = Reads[Kind];
  Read.Queued.push_back(std::move(Callback));
  if (!Read.IsInFlight)
    sendRead(Kind);
}

void coalescing_store::sendRead(row_kind Kind) {
  coalesced_read &Read = Reads[Kind];
  Read.IsInFlight = true;
  Direct.read(Kind, [this, Kind, Callbacks = std::exchange(Read.Queued, {})](
                        const read_result &Result) {
    Reads[Kind].IsInFlight = false;
    if (Result.Outcome != read_outcome::Failed)
      noteResponse();
    if (Result.Outcome == read_outcome::Succeeded)
      expectVersion(Kind, newestVersionOf(Result.Batch));
    for (const read_callback &Callback : Callbacks)
      Callback(Result);
    coalesced_read &Read = Reads[Kind];
    if (!Read.IsInFlight && !Read.Queued.empty())
      sendRead(Kind);
  });
}

// Watches.

void coalescing_store::watch(row_kind Kind, row_version After,
                             std::chrono::milliseconds Wait,
                             read_callback Callback) {
  coalesced_watch &Watch = Watches[Kind];
  if (Watch.HistoryStart == 0)
    Watch.HistoryStart = Watch.ReceivedRevision = After;
  if (After < Watch.HistoryStart)
    return watchSeparately(Kind, After, Wait, std::move(Callback));
  Watch.Wait = Wait;
  bool IsBehind = !rowsAfter(Watch, After).Rows.empty();
  Watch.Watchers.push_back({After, std::move(Callback)});
  if (IsBehind)
    Watch.DeliveryTimer =
        Loop.after(duration{0}, [this, Kind] { deliver(Kind); });
  else if (!Watch.IsInFlight)
    sendWatch(Kind);
}

void coalescing_store::watchSeparately(row_kind Kind, row_version After,
                                       std::chrono::milliseconds Wait,
                                       read_callback Callback) {
  uint64_t CallId = ++LastCallId;
  SeparateWatches[CallId] = std::move(Callback);
  Direct.watch(Kind, After, Wait, [this, CallId](const read_result &Result) {
    auto Watch = SeparateWatches.extract(CallId);
    if (!Watch.empty())
      Watch.mapped()(Result);
  });
}

void coalescing_store::sendWatch(row_kind Kind) {
  coalesced_watch &Watch = Watches[Kind];
  Watch.IsInFlight = true;
  Direct.watch(
      Kind, Watch.ReceivedRevision, Watch.Wait,
      [this, Kind, Generation = ++Watch.Generation](const read_result &Result) {
        if (Generation == Watches[Kind].Generation)
          onWatchResult(Kind, Result);
      });
}

void coalescing_store::onWatchResult(row_kind Kind, const read_result &Result) {
  coalesced_watch &Watch = Watches[Kind];
  if (Result.Outcome != read_outcome::Failed)
    noteResponse();
  if (Result.Outcome == read_outcome::HistoryCompacted) {
    Watch.HistoryStart = Watch.ReceivedRevision = 0;
    Watch.RecentRows.clear();
  }
  bool HasChanges = !Result.Batch.Rows.empty();
  if (Result.Outcome != read_outcome::Succeeded || !HasChanges) {
    Watch.ReceivedRevision =
        std::max(Watch.ReceivedRevision, Result.Batch.Revision);
    Watch.IsInFlight = false;
    // Those that are behind get their rows, not the news that there are none.
    if (Result.Outcome == read_outcome::Succeeded)
      deliver(Kind);
    return notifyWatchers(Watch, Result);
  }
  Watch.ReceivedRevision =
      std::max(Watch.ReceivedRevision, Result.Batch.Revision);
  for (const stored_row &Row : Result.Batch.Rows)
    Watch.RecentRows[Row.Id] = Row;
  scheduleNextWatch(Kind);
  deliver(Kind);
}

/// Calls back the watchers for which there are new rows.
void coalescing_store::deliver(row_kind Kind) {
  coalesced_watch &Watch = Watches[Kind];
  for (watcher &Watcher : std::exchange(Watch.Watchers, {})) {
    row_batch NewRows = rowsAfter(Watch, Watcher.After);
    if (NewRows.Rows.empty())
      Watch.Watchers.push_back(std::move(Watcher));
    else
      Watcher.Callback({read_outcome::Succeeded, std::move(NewRows), ""});
  }
}

void coalescing_store::scheduleNextWatch(row_kind Kind) {
  Watches[Kind].CoalescingTimer = Loop.after(CoalescingWindow, [this, Kind] {
    coalesced_watch &Watch = Watches[Kind];
    Watch.IsInFlight = false;
    if (!Watch.Watchers.empty())
      sendWatch(Kind);
  });
}

row_batch coalescing_store::rowsAfter(const coalesced_watch &Watch,
                                      row_version After) {
  row_batch Batch;
  Batch.Revision = Watch.ReceivedRevision;
  for (const auto &[Id, Row] : Watch.RecentRows)
    if (Row.Version > After)
      Batch.Rows.push_back(Row);
  return Batch;
}

void coalescing_store::notifyWatchers(coalesced_watch &Watch,
                                      const read_result &Result) {
  for (const watcher &Watcher : std::exchange(Watch.Watchers, {}))
    Watcher.Callback(Result);
}

void coalescing_store::failWatches(const std::string &Reason) {
  read_result Failed;
  Failed.Error = Reason;
  for (auto &[Kind, Watch] : Watches) {
    ++Watch.Generation;
    Watch.IsInFlight = false;
    Watch.CoalescingTimer.cancel();
    notifyWatchers(Watch, Failed);
  }
  for (const auto &[CallId, Callback] : std::exchange(SeparateWatches, {}))
    Callback(Failed);
}

void coalescing_store::expectVersion(row_kind Kind, row_version Version) {
  coalesced_watch &Watch = Watches[Kind];
  if (Version <= Watch.ReceivedRevision || Watch.IsStallCheckPending ||
      Watch.Watchers.empty())
    return;
  Watch.IsStallCheckPending = true;
  Watch.StallTimer = Loop.after(StallTimeout, [this, Kind, Version] {
    coalesced_watch &Watch = Watches[Kind];
    Watch.IsStallCheckPending = false;
    if (Version <= Watch.ReceivedRevision || Watch.Watchers.empty())
      return;
    writeLog(log_level::Warning, "watch stalled, sending a new one",
             {{"step", "watch"},
              {"seen", Watch.ReceivedRevision},
              {"newest", Version}});
    Watch.CoalescingTimer.cancel();
    sendWatch(Kind);
  });
}

// Transactions.

void coalescing_store::transact(const store_transaction &Transaction,
                                transaction_callback Callback) {
  if (Transaction.MaxBatchDelay <= std::chrono::milliseconds(0))
    return send(Transaction, std::move(Callback));
  time_point SendAt = Clock.now() + Transaction.MaxBatchDelay;
  bool IsEarliest = Pending.empty() || SendAt < FlushAt;
  Pending.push_back({Transaction, std::move(Callback)});
  if (!IsEarliest)
    return;
  FlushAt = SendAt;
  FlushTimer =
      Loop.after(Transaction.MaxBatchDelay, [this] { flushWhenIdle(); });
}

void coalescing_store::flushWhenIdle() {
  if (BatchesInFlight == 0)
    return flushPending();
  if (std::exchange(IsFlushDue, true))
    return;
  duration Wait = std::clamp<duration>(UsualLatency * BatchWaitFactor,
                                       MinBatchWait, MaxBatchWait);
  MaxWaitTimer = Loop.after(Wait, [this] { flushPending(); });
}

void coalescing_store::flushPending() {
  IsFlushDue = false;
  MaxWaitTimer.cancel();
  transaction_group Remaining = std::exchange(Pending, {});
  while (!Remaining.empty()) {
    transaction_batch Batch;
    transaction_group Members;
    transaction_group Deferred;
    for (pending_transaction &Entry : Remaining) {
      bool IsAdded = Batch.add(Entry.Transaction);
      (IsAdded ? Members : Deferred).push_back(std::move(Entry));
    }
    // A transaction that fits into no batch is sent alone.
    if (Members.empty()) {
      send(Deferred.front().Transaction, Deferred.front().Callback);
      Deferred.erase(Deferred.begin());
    } else {
      sendGroup(std::move(Batch), std::move(Members));
    }
    Remaining = std::move(Deferred);
  }
}

void coalescing_store::sendGroup(transaction_batch Batch,
                                 transaction_group Members) {
  store_transaction Joined = Batch.joinedTransaction();
  ++BatchesInFlight;
  send(Joined, [this, Batch = std::move(Batch), Members = std::move(Members)](
                   const transaction_result &Result) {
    --BatchesInFlight;
    onGroupResult(Batch, Members, Result);
    if (BatchesInFlight == 0 && IsFlushDue)
      flushPending();
  });
}

void coalescing_store::onGroupResult(const transaction_batch &Batch,
                                     const transaction_group &Members,
                                     const transaction_result &Result) {
  auto Results = Batch.split(Result);
  bool IsUndecided = std::none_of(Results.begin(), Results.end(),
                                  [](const auto &R) { return R.has_value(); });
  // A member without a result is sent again, unless no member has one: then all
  // get the result of the batch.
  transaction_group Resend;
  for (size_t I = 0; I < Members.size(); ++I) {
    if (Results[I] || IsUndecided)
      Members[I].Callback(Results[I].value_or(Result));
    else
      Resend.push_back(Members[I]);
  }
  if (Resend.empty())
    return;
  Pending.insert(Pending.end(), Resend.begin(), Resend.end());
  flushPending();
}

void coalescing_store::send(const store_transaction &Transaction,
                            transaction_callback Callback) {
  uint64_t CallId = ++LastCallId;
  ResponseTimers[CallId] = Loop.after(
      StallTimeout, [this, SentAt = Clock.now()] { onStalled(SentAt); });
  Direct.transact(Transaction, [this, Transaction, CallId, SentAt = Clock.now(),
                                Callback = std::move(Callback)](
                                   const transaction_result &Result) {
    ResponseTimers.erase(CallId);
    noteTransactionResult(Result, SentAt);
    expectResultVersions(Transaction, Result);
    Callback(Result);
  });
}

void coalescing_store::noteTransactionResult(const transaction_result &Result,
                                             time_point SentAt) {
  if (Result.Era)
    noteResponse();
  // A refusal takes less time than a transaction.
  if (Result.Outcome == transaction_outcome::Committed ||
      Result.Outcome == transaction_outcome::Conflict)
    UsualLatency = (UsualLatency + (Clock.now() - SentAt)) / 2;
}

void coalescing_store::onStalled(time_point SentAt) {
  if (LastResponseAt < SentAt)
    failWatches("no response from the store to a transaction");
}

void coalescing_store::expectResultVersions(
    const store_transaction &Transaction, const transaction_result &Result) {
  if (Result.Outcome == transaction_outcome::Committed)
    for (const row_write &Write : Transaction.Writes)
      expectVersion(Write.Id.Kind, Result.Revision);
  for (const stored_row &Row : Result.Current)
    expectVersion(Row.Id.Kind, Row.Version);
}

} // namespace dragonflyvane
