#include "dragonflyvane/node/cluster_sync.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <random>

namespace dragonflyvane {

namespace {

/// How long one watch waits for a change.
constexpr std::chrono::milliseconds WatchWait{20'000};
constexpr std::chrono::milliseconds ReadRetry{250};
/// What a peer has seen, or this daemon has written, should have come by the
/// watch too within this.
constexpr std::chrono::milliseconds NewsPatience{800};
constexpr std::chrono::milliseconds RenewalRetry{250};
constexpr std::chrono::milliseconds HostRowRetry{400};
/// How long a routine renewal may wait for those of other hosts.
constexpr std::chrono::milliseconds RenewalPatience{400};
/// A collector renews more often: a way to the store that is broken is to be
/// noticed before its neighbours miss a change.
constexpr std::chrono::milliseconds CollectorRenewalPeriod{800};
constexpr std::chrono::milliseconds CollectorPatience{5};
/// A longer one means that the store was out of reach.
constexpr std::chrono::milliseconds LongestRenewalGap{3000};
/// Renewals are spread by this part of their period.
constexpr double RenewalSpread = 0.15;
/// After so many conflicts in a row a change is left to the next occasion.
constexpr int MostConflicts = 5;

std::string randomRunId() {
  std::random_device Device;
  uint64_t Number = (uint64_t{Device()} << 32) | Device();
  return std::to_string(Number);
}

} // namespace

cluster_sync::cluster_sync(dependencies P)
    : Deps(std::move(P)), RunId(randomRunId()),
      Random(std::hash<std::string>{}(Deps.Host)) {}

void cluster_sync::start() {
  readAll(OperatorFeed);
  readAll(ClusterFeed);
  renew(std::chrono::milliseconds(0));
}

time_point cluster_sync::grantDeadline() const {
  return MapIsFresh ? Lease.expiresAt() : time_point{};
}

// Reading and watching.

void cluster_sync::readAll(feed &Feed) {
  Feed.IsRead = false;
  Feed.Next.cancel();
  time_point SentAt = Deps.Clock.now();
  uint64_t Round = ++Feed.Round;
  Deps.Store.read(Feed.Kind,
                  [this, &Feed, SentAt, Round](const read_result &Result) {
                    if (Round == Feed.Round)
                      onReadAll(Feed, SentAt, Result);
                  });
}

void cluster_sync::onReadAll(feed &Feed, time_point SentAt,
                             const read_result &Result) {
  if (Result.Outcome != read_outcome::Succeeded)
    return retryRead(Feed, Result.Error);
  noteAnswer(Feed);
  Feed.Revision = Result.Batch.Revision;
  Feed.IsRead = true;
  if (Feed.Kind == row_kind::Operator) {
    Deps.OperatorState.applyAll(Result.Batch);
    if (Deps.OperatorState.config())
      Deps.OperatorState.confirm(SentAt);
  } else {
    View.keepOnly(Result.Batch);
    noteWatched(Result.Batch);
    for (const stored_row &Row : Result.Batch.Rows)
      applyRow(Row);
  }
  Deps.OnChange();
  writeHostRow();
  watch(Feed);
}

void cluster_sync::watch(feed &Feed) {
  Deps.Store.watch(
      Feed.Kind, Feed.Revision, WatchWait,
      [this, &Feed, Round = Feed.Round](const read_result &Result) {
        if (Round == Feed.Round)
          onWatched(Feed, Result);
      });
}

void cluster_sync::onClusterVersion(row_version Version) {
  if (Version <= Watched || CheckingNews || !ClusterFeed.IsRead)
    return;
  CheckingNews = true;
  NewsCheck = Deps.Loop.after(NewsPatience, [this, Version] {
    CheckingNews = false;
    if (Version <= Watched || !ClusterFeed.IsRead)
      return;
    writeLog(log_level::Warning, "watch has gone silent, reading all rows",
             {{"step", "watch"}, {"seen", Watched}, {"newest", Version}});
    readAll(ClusterFeed);
  });
}

void cluster_sync::onWatched(feed &Feed, const read_result &Result) {
  if (Result.Outcome == read_outcome::HistoryCompacted) {
    writeLog(log_level::Info, "history is gone, reading all rows",
             {{"step", "watch"}, {"revision", Feed.Revision}});
    return readAll(Feed);
  }
  if (Result.Outcome != read_outcome::Succeeded)
    return retryRead(Feed, Result.Error);
  noteAnswer(Feed);
  Feed.Revision = std::max(Feed.Revision, Result.Batch.Revision);
  if (Feed.Kind == row_kind::Cluster)
    noteWatched(Result.Batch);
  applyRows(Result.Batch.Rows);
  watch(Feed);
}

void cluster_sync::retryRead(feed &Feed, const std::string &Why) {
  if (!Feed.WasLost)
    writeLog(log_level::Warning, "store lost",
             {{"step", Feed.Kind == row_kind::Operator ? "orders" : "cluster"},
              {"peer", "store"},
              {"reason", Why}});
  Feed.WasLost = true;
  bool Known = Feed.IsRead;
  Feed.Next = Deps.Loop.after(ReadRetry, [this, &Feed, Known] {
    if (Known)
      watch(Feed);
    else
      readAll(Feed);
  });
}

void cluster_sync::noteAnswer(feed &Feed) {
  if (Feed.WasLost)
    writeLog(log_level::Info, "store regained",
             {{"step", Feed.Kind == row_kind::Operator ? "orders" : "cluster"},
              {"peer", "store"}});
  Feed.WasLost = false;
}

void cluster_sync::noteWatched(const row_batch &Batch) {
  for (const stored_row &Row : Batch.Rows)
    Watched = std::max(Watched, Row.Version);
}

bool cluster_sync::applyRow(const stored_row &Row) {
  if (Row.Id.Kind == row_kind::Operator)
    return Deps.OperatorState.apply(Row);
  if (Row.Id.Kind != row_kind::Cluster)
    return false;
  NewestVersion = std::max(NewestVersion, Row.Version);
  try {
    return View.apply(Row);
  } catch (const step_error &Error) {
    writeLog(log_level::Warning, "row ignored",
             {{"step", Error.step()},
              {"row", Row.Id.Key},
              {"reason", Error.what()}});
    return false;
  }
}

void cluster_sync::applyRows(const std::vector<stored_row> &Rows) {
  bool Changed = false;
  for (const stored_row &Row : Rows)
    Changed |= applyRow(Row);
  if (!Changed)
    return;
  Deps.OnChange();
  writeHostRow();
}

// The lease.

void cluster_sync::renew(std::chrono::milliseconds MaxBatchDelay) {
  ++RenewalCount;
  store_transaction Transaction;
  Transaction.Conditions = Deps.OperatorState.conditions();
  Transaction.Conditions.push_back({leaseRow(Deps.Host), LeaseVersion});
  time_point SentAt = Deps.Clock.now();
  Transaction.Writes.push_back(
      {leaseRow(Deps.Host),
       encodeLease({RunId, RenewalCount, StoreClock.upperBound(SentAt)})});
  Transaction.MaxBatchDelay = MaxBatchDelay;
  Deps.Store.transact(Transaction,
                      [this, SentAt](const transaction_result &Result) {
                        onRenewed(SentAt, Result);
                      });
}

void cluster_sync::onRenewed(time_point SentAt,
                             const transaction_result &Result) {
  time_point Now = Deps.Clock.now();
  if (Result.StoreTime.count() > 0)
    StoreClock.onResponse(Result.StoreTime, SentAt, Now);
  if (Result.Outcome == transaction_outcome::Conflict) {
    onLeaseConflict(Result);
    // At once, since one round of conflicts brings everything up to date.
    Renewal = Deps.Loop.after(duration{0},
                              [this] { renew(std::chrono::milliseconds(0)); });
    return;
  }
  if (Result.Outcome != transaction_outcome::Committed) {
    Renewal = Deps.Loop.after(RenewalRetry,
                              [this] { renew(std::chrono::milliseconds(0)); });
    return;
  }
  LeaseVersion = Result.Revision;
  Lease.onRenewed(SentAt);
  if (Now - LastRenewed > LongestRenewalGap)
    SteadySince = Now;
  LastRenewed = Now;
  Deps.OperatorState.confirm(SentAt);
  if (!IsClaimed) {
    IsClaimed = true;
    writeLog(log_level::Info, "lease claimed",
             {{"step", "lease"}, {"version", LeaseVersion}});
    readMapAfterClaim(LeaseVersion);
  }
  renewLater();
}

void cluster_sync::renewLater() {
  if (Deps.IsRelay()) {
    Renewal = Deps.Loop.after(CollectorRenewalPeriod,
                              [this] { renew(CollectorPatience); });
    return;
  }
  // Spread, so that the collector hears of the store all the time.
  double Factor = std::uniform_real_distribution<double>(
      1 - RenewalSpread, 1 + RenewalSpread)(Random);
  Renewal = Deps.Loop.after(
      std::chrono::duration_cast<duration>(LeaseRenewalPeriod * Factor),
      [this] { renew(RenewalPatience); });
}

void cluster_sync::onLeaseConflict(const transaction_result &Result) {
  for (const stored_row &Row : Result.Current) {
    if (Row.Id != leaseRow(Deps.Host) || Row.Version == LeaseVersion)
      continue;
    std::string Holder = decodeLease(Row.Value).RunId;
    LeaseVersion = Row.Version;
    // An own renewal whose answer was lost changes nothing.
    if (Holder == RunId)
      continue;
    if (IsClaimed)
      writeLog(log_level::Warning, "lease lost",
               {{"step", "lease"}, {"holder", Holder}});
    IsClaimed = false;
    MapIsFresh = false;
    Lease.onLost();
    Deps.OnChange();
  }
  applyRows(Result.Current);
}

void cluster_sync::readMapAfterClaim(row_version ClaimedAt) {
  Deps.Store.read(row_kind::Cluster,
                  [this, ClaimedAt](const read_result &Result) {
                    if (!IsClaimed)
                      return;
                    if (Result.Outcome != read_outcome::Succeeded ||
                        Result.Batch.Revision < ClaimedAt) {
                      MapRetry = Deps.Loop.after(ReadRetry, [this, ClaimedAt] {
                        readMapAfterClaim(ClaimedAt);
                      });
                      return;
                    }
                    for (const stored_row &Row : Result.Batch.Rows)
                      applyRow(Row);
                    MapIsFresh = true;
                    Deps.OnChange();
                    writeHostRow();
                  });
}

bool cluster_sync::isStoreStable() const {
  time_point Now = Deps.Clock.now();
  return Now - LastRenewed <= LongestRenewalGap &&
         Now - SteadySince >= StoreRecoveryGrace;
}

void cluster_sync::readLeases(store::read_callback Callback) {
  Deps.Store.read(row_kind::Lease, std::move(Callback));
}

// Writing.

void cluster_sync::announce(const host_info &Info) {
  Wanted = Info;
  writeHostRow();
}

void cluster_sync::writeHostRow() {
  if (!Wanted || WritingHost || !ClusterFeed.IsRead)
    return;
  auto Known = View.hosts().find(Deps.Host);
  bool Exists = Known != View.hosts().end();
  if (Exists && Known->second.Content == *Wanted)
    return;
  WritingHost = true;
  store_transaction Transaction;
  Transaction.Conditions.push_back(
      {hostRow(Deps.Host), Exists ? Known->second.Version : 0});
  Transaction.Writes.push_back({hostRow(Deps.Host), encodeHost(*Wanted)});
  transact(Transaction, [this](const transaction_result &Result) {
    WritingHost = false;
    if (Result.Outcome == transaction_outcome::Committed ||
        Result.Outcome == transaction_outcome::Conflict)
      return writeHostRow();
    HostRetry = Deps.Loop.after(HostRowRetry, [this] { writeHostRow(); });
  });
}

void cluster_sync::transact(const store_transaction &Transaction,
                            store::transaction_callback Done) {
  Deps.Store.transact(Transaction, [this, Transaction, Done = std::move(Done)](
                                       const transaction_result &Result) {
    if (Result.Outcome == transaction_outcome::Committed) {
      std::vector<stored_row> Written;
      for (const row_write &Write : Transaction.Writes)
        Written.push_back({Write.Id, Result.Revision, Write.Value});
      applyRows(Written);
      if (Transaction.Writes.front().Id.Kind == row_kind::Cluster)
        onClusterVersion(Result.Revision);
    } else if (Result.Outcome == transaction_outcome::Conflict) {
      applyRows(Result.Current);
    }
    Done(Result);
  });
}

void cluster_sync::change(const map_change &Change) {
  if (Changing[Change.Service] || !ClusterFeed.IsRead)
    return;
  runChange(Change, 0);
}

void cluster_sync::runChange(const map_change &Change, int Tries) {
  const versioned<ownership_map> *Known = View.map(Change.Service);
  versioned<ownership_map> Map = Known ? *Known : versioned<ownership_map>{};
  if (!Change.Edit(Map.Content, nextToken(Map.Version)))
    return;
  Changing[Change.Service] = true;
  store_transaction Transaction = Change.Also;
  Transaction.Conditions.push_back({mapRow(Change.Service), Map.Version});
  if (Change.UnderLease)
    Transaction.Conditions.push_back({leaseRow(Deps.Host), LeaseVersion});
  Transaction.Writes.push_back(
      {mapRow(Change.Service), encodeMap(Map.Content)});
  transact(Transaction,
           [this, Change, Tries](const transaction_result &Result) {
             Changing[Change.Service] = false;
             if (Result.Outcome == transaction_outcome::Conflict &&
                 Tries < MostConflicts && knowsLease(Result))
               runChange(Change, Tries + 1);
           });
}

/// False if a conflict shows a newer lease than is known: a renewal is on its
/// way, or another run holds it; either will be told.
bool cluster_sync::knowsLease(const transaction_result &Result) const {
  return std::none_of(
      Result.Current.begin(), Result.Current.end(), [&](const stored_row &Row) {
        return Row.Id == leaseRow(Deps.Host) && Row.Version != LeaseVersion;
      });
}

} // namespace dragonflyvane
