#include "fake_store.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds NoAnswer{1500};
constexpr std::chrono::milliseconds LatestWrite{6000};
/// Until the owner of a silent watch gives it up.
constexpr std::chrono::seconds StalledWatchTimeout{20};

} // namespace

bool fake_store::chance(double Part) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Part;
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
  row_batch Batch{Revision, storeTime(), {}};
  for (const auto &[Id, Row] : Rows)
    if (Id.Kind == Kind && Row.Value)
      Batch.Rows.push_back(Row);
  return Batch;
}

void fake_store::write(const row_id &Id, std::optional<std::string> Value) {
  Rows[Id] = {Id, Revision, std::move(Value)};
}

void fake_store::put(const row_id &Id, std::string Value) {
  ++Revision;
  write(Id, std::move(Value));
  answerWatches();
}

void fake_store::erase(const row_id &Id) {
  ++Revision;
  write(Id, std::nullopt);
  answerWatches();
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

transaction_result fake_store::apply(const store_transaction &Transaction) {
  transaction_result Result;
  Result.StoreTime = storeTime();
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
  answerWatches();
  return Result;
}

void fake_store::answerWatches() {
  std::vector<watch> Pending = std::move(Watches);
  Watches.clear();
  for (watch &Watch : Pending) {
    row_batch Batch{Revision, storeTime(), {}};
    for (const auto &[Id, Row] : Rows)
      if (Id.Kind == Watch.Kind && Row.Version > Watch.After)
        Batch.Rows.push_back(Row);
    if (Batch.Rows.empty() && Loop.now() < Watch.End)
      Watches.push_back(std::move(Watch));
    else
      Watch.Answer({read_outcome::Succeeded, Batch, ""});
  }
}

void fake_store_client::setFrozen(bool Value) {
  Frozen = Value;
  if (Frozen)
    return;
  for (auto &Work : std::exchange(Held, {}))
    Work();
}

template <typename Result>
std::function<void(Result)>
fake_store_client::once(std::function<void(Result)> Callback, Result Default) {
  auto Pending = std::make_shared<std::function<void(Result)>>(Callback);
  auto Answer = [this, Pending](const Result &End) {
    if (!*Pending)
      return;
    deliver(
        [Function = std::exchange(*Pending, nullptr), End] { Function(End); });
  };
  Store.Loop.later(NoAnswer, [Answer, Default, Alive = Alive] {
    if (*Alive)
      Answer(Default);
  });
  return Answer;
}

void fake_store_client::deliver(std::function<void()> Work) {
  Store.Loop.post([this, Alive = Alive, Work = std::move(Work)] {
    if (!*Alive)
      return;
    if (Frozen)
      Held.push_back(Work);
    else
      Work();
  });
}

void fake_store_client::read(row_kind Kind, read_callback Callback) {
  auto Once = once<read_result>(std::move(Callback), {});
  if (!reaches())
    return;
  Store.Loop.later(Store.delay(), [this, Kind, Once, Alive = Alive] {
    if (*Alive && reaches())
      Once({read_outcome::Succeeded, Store.snapshot(Kind), ""});
  });
}

void fake_store_client::watch(row_kind Kind, row_version After,
                              std::chrono::milliseconds Wait,
                              read_callback Callback) {
  auto Answer = [this, Alive = Alive, Callback](const read_result &Result) {
    if (!*Alive)
      return;
    // A watch that is cut hears nothing, and ends by its own time.
    read_result Seen = reaches() && !WatchesStalled ? Result : read_result{};
    if (WatchesStalled)
      return Store.Loop.later(StalledWatchTimeout, [this, Alive, Callback] {
        if (*Alive)
          deliver([Callback] { Callback({}); });
      });
    Store.Loop.later(Store.delay(), [this, Alive, Callback, Seen] {
      if (*Alive)
        deliver([Seen, Callback] { Callback(Seen); });
    });
  };
  if (!reaches())
    return Answer({});
  if (After < Store.OldestKnown)
    return Answer({read_outcome::HistoryCompacted, {}, ""});
  Store.Watches.push_back({Kind, After, Store.Loop.now() + Wait, Answer});
  Store.Loop.later(Wait, [Shared = &Store] { Shared->answerWatches(); });
  Store.answerWatches();
}

void fake_store_client::transact(const store_transaction &Transaction,
                                 transaction_callback Callback) {
  transaction_result Unknown;
  Unknown.Error = "no answer";
  auto Once = once<transaction_result>(std::move(Callback), Unknown);
  if (!reaches())
    return;
  bool IsLost = Store.chance(Store.LossPart);
  duration Delay = Store.delay();
  if (IsLost && Store.LossIsLate)
    Delay = std::chrono::duration_cast<duration>(
        LatestWrite *
        std::uniform_real_distribution<double>(0.1, 1)(Store.Random));
  // The write happens whether or not its sender lives to hear of it.
  Store.Loop.later(
      Delay, [this, Shared = &Store, Transaction, Once, IsLost, Alive = Alive] {
        if (Shared->isDown())
          return;
        transaction_result Result = Shared->apply(Transaction);
        if (*Alive && !IsLost && !Disconnected)
          Once(Result);
      });
}

} // namespace dragonflyvane
