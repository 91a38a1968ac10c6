#include "dragonflyvane/node/coalescing_store.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Changes that come within this are brought by one answer.
constexpr std::chrono::milliseconds GatherTime{60};
/// A change that is known otherwise should have come by the watch within this.
constexpr std::chrono::milliseconds SilenceLimit{600};

row_version newestOf(const row_batch &Batch) {
  row_version NewestVersion = 0;
  for (const stored_row &Row : Batch.Rows)
    NewestVersion = std::max(NewestVersion, Row.Version);
  return NewestVersion;
}

} // namespace

// Reads.

void coalescing_store::read(row_kind Kind, read_callback Callback) {
  shared_read &Read = Reads[Kind];
  Read.Next.push_back(std::move(Callback));
  if (!Read.IsUnderWay)
    sendRead(Kind);
}

void coalescing_store::sendRead(row_kind Kind) {
  shared_read &Read = Reads[Kind];
  Read.IsUnderWay = true;
  Direct.read(Kind, [this, Kind, Asked = std::exchange(Read.Next, {})](
                        const read_result &Result) {
    Reads[Kind].IsUnderWay = false;
    if (Result.Outcome == read_outcome::Succeeded)
      expect(Kind, newestOf(Result.Batch));
    for (const read_callback &Callback : Asked)
      Callback(Result);
    shared_read &Read = Reads[Kind];
    if (!Read.IsUnderWay && !Read.Next.empty())
      sendRead(Kind);
  });
}

// Watches.

void coalescing_store::watch(row_kind Kind, row_version After,
                             std::chrono::milliseconds Wait,
                             read_callback Callback) {
  shared_watch &Watch = Watches[Kind];
  if (Watch.Base == 0)
    Watch.Base = Watch.Head = After;
  if (After < Watch.Base)
    return Direct.watch(Kind, After, Wait, std::move(Callback));
  Watch.Wait = Wait;
  bool IsBehind = !recentAfter(Watch, After).Rows.empty();
  Watch.Watchers.push_back({After, std::move(Callback)});
  if (IsBehind)
    Watch.Delivery = Loop.after(duration{0}, [this, Kind] { deliver(Kind); });
  else if (!Watch.IsUnderWay)
    ask(Kind);
}

void coalescing_store::ask(row_kind Kind) {
  shared_watch &Watch = Watches[Kind];
  Watch.IsUnderWay = true;
  Direct.watch(Kind, Watch.Head, Watch.Wait,
               [this, Kind, Round = ++Watch.Round](const read_result &Result) {
                 if (Round == Watches[Kind].Round)
                   onWatched(Kind, Result);
               });
}

void coalescing_store::onWatched(row_kind Kind, const read_result &Result) {
  shared_watch &Watch = Watches[Kind];
  if (Result.Outcome == read_outcome::HistoryCompacted) {
    Watch.Base = Watch.Head = 0;
    Watch.Recent.clear();
  }
  bool HasNews = !Result.Batch.Rows.empty();
  if (Result.Outcome != read_outcome::Succeeded || !HasNews) {
    Watch.Head = std::max(Watch.Head, Result.Batch.Revision);
    Watch.IsUnderWay = false;
    return tellAll(Watch, Result);
  }
  Watch.Head = std::max(Watch.Head, Result.Batch.Revision);
  for (const stored_row &Row : Result.Batch.Rows)
    Watch.Recent[Row.Id] = Row;
  pauseWatch(Kind);
  deliver(Kind);
}

/// Tells those who watch what is new to them.
void coalescing_store::deliver(row_kind Kind) {
  shared_watch &Watch = Watches[Kind];
  for (watcher &Watcher : std::exchange(Watch.Watchers, {})) {
    row_batch News = recentAfter(Watch, Watcher.After);
    if (News.Rows.empty())
      Watch.Watchers.push_back(std::move(Watcher));
    else
      Watcher.Callback({read_outcome::Succeeded, std::move(News), ""});
  }
}

void coalescing_store::pauseWatch(row_kind Kind) {
  Watches[Kind].Pause = Loop.after(GatherTime, [this, Kind] {
    shared_watch &Watch = Watches[Kind];
    Watch.IsUnderWay = false;
    if (!Watch.Watchers.empty())
      ask(Kind);
  });
}

row_batch coalescing_store::recentAfter(const shared_watch &Watch,
                                        row_version After) {
  row_batch Batch;
  Batch.Revision = Watch.Head;
  for (const auto &[Id, Row] : Watch.Recent)
    if (Row.Version > After)
      Batch.Rows.push_back(Row);
  return Batch;
}

void coalescing_store::tellAll(shared_watch &Watch, const read_result &Result) {
  for (const watcher &Watcher : std::exchange(Watch.Watchers, {}))
    Watcher.Callback(Result);
}

void coalescing_store::endWatches(const std::string &Why) {
  read_result Failed;
  Failed.Error = Why;
  for (auto &[Kind, Watch] : Watches) {
    ++Watch.Round;
    Watch.IsUnderWay = false;
    Watch.Pause.cancel();
    tellAll(Watch, Failed);
  }
}

void coalescing_store::expect(row_kind Kind, row_version Version) {
  shared_watch &Watch = Watches[Kind];
  if (Version <= Watch.Head || Watch.IsChecking || Watch.Watchers.empty())
    return;
  Watch.IsChecking = true;
  Watch.SilenceCheck = Loop.after(SilenceLimit, [this, Kind, Version] {
    shared_watch &Watch = Watches[Kind];
    Watch.IsChecking = false;
    if (Version <= Watch.Head || Watch.Watchers.empty())
      return;
    writeLog(log_level::Warning, "watch has gone silent, asking again",
             {{"step", "watch"}, {"seen", Watch.Head}, {"newest", Version}});
    Watch.Pause.cancel();
    ask(Kind);
  });
}

// Transactions.

void coalescing_store::transact(const store_transaction &Transaction,
                                transaction_callback Callback) {
  if (Transaction.MaxBatchDelay <= std::chrono::milliseconds(0))
    return send(Transaction, std::move(Callback));
  time_point At = Clock.now() + Transaction.MaxBatchDelay;
  bool IsFirst = Waiting.empty() || At < FlushAt;
  Waiting.push_back({Transaction, std::move(Callback)});
  if (!IsFirst)
    return;
  FlushAt = At;
  Flush = Loop.after(Transaction.MaxBatchDelay, [this] { sendWaiting(); });
}

void coalescing_store::sendWaiting() {
  group Left = std::exchange(Waiting, {});
  while (!Left.empty()) {
    transaction_batch Batch;
    group Members;
    group Others;
    for (waiting_transaction &One : Left) {
      bool Fits = Batch.add(One.Transaction);
      (Fits ? Members : Others).push_back(std::move(One));
    }
    // One that fits into no batch goes alone.
    if (Members.empty()) {
      send(Others.front().Transaction, Others.front().Callback);
      Others.erase(Others.begin());
    } else {
      sendGroup(std::move(Batch), std::move(Members));
    }
    Left = std::move(Others);
  }
}

void coalescing_store::sendGroup(transaction_batch Batch, group Members) {
  store_transaction Joined = Batch.joined();
  send(Joined, [this, Batch = std::move(Batch), Members = std::move(Members)](
                   const transaction_result &Result) {
    onGroupEnded(Batch, Members, Result);
  });
}

void coalescing_store::onGroupEnded(const transaction_batch &Batch,
                                    const group &Members,
                                    const transaction_result &Result) {
  auto Results = Batch.split(Result);
  bool NobodyIsTold = std::none_of(Results.begin(), Results.end(),
                                   [](const auto &R) { return R.has_value(); });
  group Again;
  for (size_t I = 0; I < Members.size(); ++I) {
    if (Results[I] || NobodyIsTold)
      Members[I].Callback(Results[I].value_or(Result));
    else
      Again.push_back(Members[I]);
  }
  if (Again.empty())
    return;
  Waiting.insert(Waiting.end(), Again.begin(), Again.end());
  sendWaiting();
}

void coalescing_store::send(const store_transaction &Transaction,
                            transaction_callback Callback) {
  uint64_t Call = ++LastCall;
  Suspicions[Call] = Loop.after(
      SilenceLimit, [this] { endWatches("the store does not answer"); });
  Direct.transact(Transaction,
                  [this, Transaction, Call, Callback = std::move(Callback)](
                      const transaction_result &Result) {
                    Suspicions.erase(Call);
                    expectAfter(Transaction, Result);
                    Callback(Result);
                  });
}

void coalescing_store::expectAfter(const store_transaction &Transaction,
                                   const transaction_result &Result) {
  if (Result.Outcome == transaction_outcome::Committed)
    for (const row_write &Write : Transaction.Writes)
      expect(Write.Id.Kind, Result.Revision);
  for (const stored_row &Row : Result.Current)
    expect(Row.Id.Kind, Row.Version);
}

} // namespace dragonflyvane
