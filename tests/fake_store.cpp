#include "fake_store.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds ResponseTimeout{1500};
/// The longest delay of a transaction whose response is lost, if such
/// transactions are applied later than usual.
constexpr std::chrono::milliseconds MaxWriteDelay{6000};
/// The time between the response of the store and the failure of a stalled
/// watch.
constexpr std::chrono::seconds StalledWatchTimeout{20};
/// The time for which a client waits for the result of a watch, beyond the
/// longest time that the store takes for it.
constexpr std::chrono::seconds WatchTimeoutMargin{1};

} // namespace

bool fake_store::chance(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

duration fake_store::delay() {
  double Factor = std::uniform_real_distribution<double>(0.5, 2)(Random);
  return std::chrono::duration_cast<duration>(Latency * Factor);
}

std::chrono::milliseconds fake_store::storeTime() const {
  auto Time = std::chrono::duration_cast<std::chrono::milliseconds>(
      Loop.now().time_since_epoch());
  return Defect == defect::FastClock ? Time * 2 : Time;
}

row_batch fake_store::snapshot(row_kind Kind) const {
  row_batch Batch{Revision, storeTime(), {}, Era};
  for (const auto &[Id, Row] : Rows)
    if (Id.Kind == Kind && Row.Value)
      Batch.Rows.push_back(Row);
  return Batch;
}

void fake_store::write(const row_id &Id, std::optional<std::string> Value) {
  auto Known = Rows.find(Id);
  std::optional<stored_row> Before;
  if (Known != Rows.end())
    Before = Known->second;
  UndoLog.push_back({Loop.now(), Id, Before, Revision - 1});
  Rows[Id] = {Id, Revision, std::move(Value)};
}

void fake_store::restore(duration Age, duration RewriteDelay) {
  std::map<row_id, stored_row> Before = Rows;
  while (!UndoLog.empty() && UndoLog.back().At > Loop.now() - Age) {
    undo_entry Entry = UndoLog.back();
    UndoLog.pop_back();
    Rows.erase(Entry.Id);
    if (Entry.Row)
      Rows[Entry.Id] = *Entry.Row;
    Revision = Entry.Revision;
  }
  ++Era;
  CompactedRevision = std::min(CompactedRevision, Revision);
  for (watch &Watch : std::exchange(Watches, {}))
    Watch.Callback({});
  Loop.postDelayed(RewriteDelay, [this, Before, Copied = Revision] {
    rewriteOperatorRows(Before, Copied);
  });
}

void fake_store::rewriteOperatorRows(const std::map<row_id, stored_row> &Before,
                                     row_version Copied) {
  for (const auto &[Id, Row] : Before) {
    auto Found = Rows.find(Id);
    bool IsWrittenSince = Found != Rows.end() && Found->second.Version > Copied;
    bool IsLost = Found == Rows.end() || Found->second.Value != Row.Value;
    if (Id.Kind != row_kind::Operator || IsWrittenSince || !IsLost)
      continue;
    if (Row.Value)
      put(Id, *Row.Value);
    else
      erase(Id);
  }
}

void fake_store::put(const row_id &Id, std::string Value) {
  ++Revision;
  write(Id, std::move(Value));
  notifyWatches();
}

void fake_store::erase(const row_id &Id) {
  ++Revision;
  write(Id, std::nullopt);
  notifyWatches();
}

bool fake_store::ignoresCondition(const row_id &Id) const {
  return Defect == defect::IgnoresMapConditions &&
         Id.Kind == row_kind::Cluster && Id.Key.compare(0, 4, "map/") == 0;
}

bool fake_store::isRenewal(const store_transaction &Transaction) {
  return std::all_of(
      Transaction.Writes.begin(), Transaction.Writes.end(),
      [](const row_write &Write) { return Write.Id.Kind == row_kind::Lease; });
}

std::optional<transaction_result>
fake_store::refuseExcess(const store_transaction &Transaction) {
  transaction_size Size = sizeOf(Transaction);
  Largest.Entries = std::max(Largest.Entries, Size.Entries);
  Largest.Bytes = std::max(Largest.Bytes, Size.Bytes);
  transaction_result Refused;
  Refused.Outcome = transaction_outcome::NotCommitted;
  Refused.Error = describeExcess(Transaction, StoreTransactionLimit);
  if (Refused.Error.empty())
    return std::nullopt;
  ++RefusedForSize;
  return Refused;
}

transaction_result fake_store::apply(const store_transaction &Transaction) {
  transaction_result Result;
  Result.StoreTime = storeTime();
  Result.Era = Era;
  bool Holds = true;
  for (const row_condition &Condition : Transaction.Conditions) {
    auto Found = Rows.find(Condition.Id);
    bool Exists = Found != Rows.end() && Found->second.Value;
    row_version Version = Exists ? Found->second.Version : 0;
    Holds &= Version == Condition.Version || ignoresCondition(Condition.Id);
    Result.Current.push_back(
        Exists ? Found->second : stored_row{Condition.Id, 0, std::nullopt});
  }
  if (Defect == defect::RenewalsAlwaysCommit && isRenewal(Transaction))
    Holds = true;
  Result.Outcome =
      Holds ? transaction_outcome::Committed : transaction_outcome::Conflict;
  if (!Holds)
    return Result;
  Result.Current.clear();
  Result.Revision = ++Revision;
  for (const row_write &Write : Transaction.Writes)
    write(Write.Id, Write.Value);
  notifyWatches();
  return Result;
}

void fake_store::notifyWatches() {
  std::vector<watch> Pending = std::move(Watches);
  Watches.clear();
  for (watch &Watch : Pending) {
    row_batch Batch{Revision, storeTime(), {}, Era};
    for (const auto &[Id, Row] : Rows)
      if (Id.Kind == Watch.Kind && Row.Version > Watch.After)
        Batch.Rows.push_back(Row);
    if (Batch.Rows.empty() && Loop.now() < Watch.End)
      Watches.push_back(std::move(Watch));
    else
      Watch.Callback({read_outcome::Succeeded, Batch, ""});
  }
}

void fake_store_client::setSilent(bool Value) {
  if (Value && !Silent)
    ++Silences;
  Silent = Value;
}

void fake_store_client::setFrozen(bool Value) {
  Frozen = Value;
  if (Frozen)
    return;
  for (auto &Work : std::exchange(DeferredCallbacks, {}))
    Work();
}

template <typename Result>
std::function<void(Result)>
fake_store_client::once(std::function<void(Result)> Callback, Result Default) {
  auto Pending = std::make_shared<std::function<void(Result)>>(Callback);
  auto Respond = [this, Pending](const Result &End) {
    if (!*Pending)
      return;
    deliver(
        [Function = std::exchange(*Pending, nullptr), End] { Function(End); });
  };
  Store.Loop.postDelayed(ResponseTimeout, [Respond, Default, Alive = Alive] {
    if (*Alive)
      Respond(Default);
  });
  return Respond;
}

void fake_store_client::deliver(std::function<void()> Work) {
  Store.Loop.post([this, Alive = Alive, Work = std::move(Work)] {
    if (!*Alive)
      return;
    if (Frozen)
      DeferredCallbacks.push_back(Work);
    else
      Work();
  });
}

void fake_store_client::read(row_kind Kind, read_callback Callback) {
  ++Store.Calls;
  auto Once = once<read_result>(std::move(Callback), {});
  if (!canReachStore())
    return;
  Store.Loop.postDelayed(Store.delay(), [this, Kind, Once, Alive = Alive] {
    if (*Alive && canReachStore())
      Once({read_outcome::Succeeded, Store.snapshot(Kind), ""});
  });
}

void fake_store_client::watch(row_kind Kind, row_version After,
                              std::chrono::milliseconds Wait,
                              read_callback Callback) {
  ++Store.Calls;
  time_point TimesOutAt = Store.Loop.now() + Wait + WatchTimeoutMargin;
  auto Respond = [this, Alive = Alive, Callback, TimesOutAt,
                  OpenedAt = Silences](const read_result &Result) {
    if (!*Alive)
      return;
    if (Silent || Silences != OpenedAt)
      return Store.Loop.postDelayed(TimesOutAt - Store.Loop.now(),
                                    [this, Alive, Callback] {
                                      if (*Alive)
                                        deliver([Callback] { Callback({}); });
                                    });
    // The watch of a disconnected client fails when it ends.
    read_result Received =
        canReachStore() && !WatchesStalled ? Result : read_result{};
    if (WatchesStalled)
      return Store.Loop.postDelayed(StalledWatchTimeout,
                                    [this, Alive, Callback] {
                                      if (*Alive)
                                        deliver([Callback] { Callback({}); });
                                    });
    Store.Loop.postDelayed(Store.delay(), [this, Alive, Callback, Received] {
      if (*Alive)
        deliver([Received, Callback] { Callback(Received); });
    });
  };
  if (!canReachStore())
    return Respond({});
  if (After < Store.CompactedRevision || After > Store.Revision)
    return Respond(
        {read_outcome::HistoryCompacted, {0, {}, {}, Store.Era}, ""});
  Store.Watches.push_back({Kind, After, Store.Loop.now() + Wait, Respond});
  Store.Loop.postDelayed(Wait, [Shared = &Store] { Shared->notifyWatches(); });
  Store.notifyWatches();
}

void fake_store_client::transact(const store_transaction &Transaction,
                                 transaction_callback Callback) {
  ++Store.Calls;
  transaction_result Unknown;
  Unknown.Error = "no response";
  auto Once = once<transaction_result>(std::move(Callback), Unknown);
  if (!canReachStore())
    return;
  bool IsLost = Store.chance(Store.LossProbability);
  duration Delay = Store.delay();
  if (auto Refused = Store.refuseExcess(Transaction))
    return Store.Loop.postDelayed(Delay, [Once, Refused, Alive = Alive] {
      if (*Alive)
        Once(*Refused);
    });
  time_point Now = Store.Loop.now();
  duration Queued = std::max(Store.WritesDoneAt, Now) - Now;
  if (Queued > fake_store::MaxWriteQueue) {
    transaction_result Refused;
    Refused.Outcome = transaction_outcome::NotCommitted;
    Refused.Era = Store.Era;
    return Store.Loop.postDelayed(Delay, [Once, Refused, Alive = Alive] {
      if (*Alive)
        Once(Refused);
    });
  }
  Store.WritesDoneAt = Now + Queued + Store.WriteTime;
  Delay += Queued + Store.WriteTime;
  if (IsLost && Store.DelaysLostWrites)
    Delay = std::chrono::duration_cast<duration>(
        MaxWriteDelay *
        std::uniform_real_distribution<double>(0.1, 1)(Store.Random));
  // The transaction is applied even if its sender is destroyed first.
  Store.Loop.postDelayed(
      Delay, [this, Shared = &Store, Transaction, Once, IsLost, Alive = Alive] {
        if (Shared->isDown())
          return;
        transaction_result Result = Shared->apply(Transaction);
        if (*Alive && !IsLost && !Disconnected)
          Once(Result);
      });
}

} // namespace dragonflyvane
