#include "dragonflyvane/node/cluster/cluster_sync.hpp"

#include "dragonflyvane/core/cluster/era_row.hpp"
#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <random>

namespace dragonflyvane {

namespace {

/// Maximum time for which one watch waits for a change.
constexpr std::chrono::milliseconds WatchWait{20'000};
constexpr std::chrono::milliseconds ReadRetryDelay{250};
/// At the first start of a fleet no relay is known. Hosts then wait for a
/// random time of up to this, divided by their CPU share, so that a few strong
/// hosts write their rows first and relay for the others.
constexpr std::chrono::milliseconds FirstStartSpread{100};
constexpr std::chrono::milliseconds MaxFirstStartDelay{1000};
/// Maximum delay of the first writes of a host, in which the relay batches them
/// with those of other hosts.
constexpr std::chrono::milliseconds StartBatchDelay{40};
/// The watch has stalled if it has not delivered a version this long after a
/// peer reported that version or this daemon wrote it.
constexpr std::chrono::milliseconds MaxWatchLag{800};
constexpr std::chrono::milliseconds RenewalRetryDelay{250};
/// A renewal without a result for this long, beyond its delay for batching, is
/// overdue: its path to the store may be lost.
constexpr std::chrono::milliseconds RenewalOverdueTime{600};
/// Maximum delay of a repeated claim or renewal. After a restart of a fleet the
/// claims of all hosts conflict, and are batched again.
constexpr std::chrono::milliseconds RetryBatchDelay{30};
constexpr std::chrono::milliseconds HostRowRetryDelay{400};
constexpr std::chrono::milliseconds HostRowBatchDelay{20};
/// Maximum delay of a routine renewal, in which the relay batches it with those
/// of other hosts.
constexpr std::chrono::milliseconds RenewalBatchDelay{400};
/// A relay renews more often, to notice a broken connection to the store before
/// the hosts that it serves miss a change.
constexpr std::chrono::milliseconds RelayRenewalPeriod{800};
constexpr std::chrono::milliseconds RelayRenewalBatchDelay{5};
/// The longest time between the sending of a renewal and that of the next one:
/// if the store takes as long for each of them, the lease still holds.
constexpr std::chrono::milliseconds MaxRenewalInterval{2300};
/// A longer gap between renewals means that the store was unreachable.
constexpr std::chrono::milliseconds MaxRenewalGap{3000};
/// Maximum jitter of a renewal, as a fraction of the renewal period.
constexpr double RenewalJitter = 0.15;
/// After a return of the store, operators write their rows again within this
/// time.
constexpr std::chrono::milliseconds SettlingTime{2000};
bool writesClusterRow(const store_transaction &Transaction) {
  return std::any_of(Transaction.Writes.begin(), Transaction.Writes.end(),
                     [](const row_write &Write) {
                       return Write.Id.Kind == row_kind::Cluster;
                     });
}

std::string randomRunId() {
  std::random_device Device;
  uint64_t Number = (uint64_t{Device()} << 32) | Device();
  return std::to_string(Number);
}

} // namespace

cluster_sync::cluster_sync(dependencies Dependencies)
    : Deps(std::move(Dependencies)), RunId(randomRunId()),
      Random(std::hash<std::string>{}(Deps.Host)),
      Maps({Deps.Host, Deps.Loop, Deps.Clock, View, Eras, Random,
            [this] { return ClusterSubscription.IsLoaded; },
            [this] {
              return row_condition{leaseRow(Deps.Host), LeaseVersion};
            },
            [this](const store_transaction &Transaction,
                   store::transaction_callback OnDone) {
              transact(Transaction, std::move(OnDone));
            }}) {}

void cluster_sync::start() { readAll(ClusterSubscription); }

void cluster_sync::continueStart() {
  if (hasRelay() || Stage == start_stage::AwaitingRelay)
    return joinCluster();
  Stage = start_stage::AwaitingRelay;
  double Fraction = std::uniform_real_distribution<double>(0, 1)(Random);
  auto Spread = std::chrono::duration_cast<duration>(
      FirstStartSpread / std::max(Deps.CpuShare, 0.01));
  duration Delay = std::chrono::duration_cast<duration>(
      std::min<duration>(Spread, MaxFirstStartDelay) * Fraction);
  StartTimer = Deps.Loop.after(Delay, [this] { readAll(ClusterSubscription); });
}

bool cluster_sync::hasRelay() const {
  return !relayCandidatesOf(View, Deps.FailureDomain).empty();
}

void cluster_sync::joinCluster() {
  Stage = start_stage::Joining;
  readAll(OperatorSubscription);
  writeHostRow();
  watch(ClusterSubscription);
}

void cluster_sync::claimLease() {
  Stage = start_stage::Renewing;
  renew(StartBatchDelay);
}

time_point cluster_sync::grantDeadline() const {
  return IsMapReadSinceClaim ? Lease.expiresAt() : time_point{};
}

time_point cluster_sync::grantDeadlineOf(const std::string &Service) const {
  const known_map *Map = View.map(Service);
  return Map ? Eras.grantDeadline(*Map, grantDeadline()) : grantDeadline();
}

// Returns of the store.

bool cluster_sync::acceptEra(row_version Version) {
  Eras.start(Version, Deps.Clock.now());
  if (Eras.isNew(Version))
    onReturn(Version);
  return !Eras.isOutdated(Version);
}

void cluster_sync::observeEra(const transaction_result &Result) {
  if (Result.Era)
    acceptEra(versionIn(*Result.Era, 0));
}

void cluster_sync::endSettling() {
  // Nothing has confirmed the configuration yet.
  bool MustRead =
      Deps.OperatorState.awaitsNewest() && OperatorSubscription.IsLoaded;
  Deps.OperatorState.endAwaiting();
  if (MustRead)
    readAll(OperatorSubscription);
  if (Deps.OperatorState.setSettling(false))
    Deps.OnChange();
}

void cluster_sync::checkForReturn(const row_batch &Batch) {
  return_age Age = returnAge(Batch, SettlingTime);
  if (Age.SettlingLeft.count() == 0)
    return;
  writeLog(log_level::Warning, "started beside a return of the store",
           {{"step", "store"},
            {"era", eraOf(Batch.Revision)},
            {"settling_ms", Age.SettlingLeft.count()}});
  Deps.OperatorState.awaitNewest(Age.NotedVersion);
  SettlingTimer = Deps.Loop.after(Age.SettlingLeft, [this] { endSettling(); });
}

void cluster_sync::onReturn(row_version Version) {
  Eras.beginEra(Version, grantDeadlineOf(Deps.Service), Deps.Clock.now());
  writeLog(log_level::Warning, "reconciling with a store of a new era",
           {{"step", "store"},
            {"era", Eras.current()},
            {"lease", Eras.hasKeptLease() ? "kept" : "not kept"}});
  if (!Eras.hasKeptLease())
    dropClaim();
  Deps.OperatorState.setSettling(true);
  SettlingTimer = Deps.Loop.after(SettlingTime, [this] { endSettling(); });
  for (subscription *Subscription :
       {&OperatorSubscription, &ClusterSubscription})
    if (Subscription->IsLoaded)
      readAll(*Subscription);
}

void cluster_sync::dropClaim() {
  Eras.onLeaseLost();
  IsClaimed = false;
  IsMapReadSinceClaim = false;
  Lease.onLost();
}

// Reads and watches.

void cluster_sync::readAll(subscription &Subscription) {
  Subscription.IsLoaded = false;
  Subscription.RetryTimer.cancel();
  time_point SentAt = Deps.Clock.now();
  uint64_t Generation = ++Subscription.Generation;
  Deps.Store.read(Subscription.Kind, [this, &Subscription, SentAt,
                                      Generation](const read_result &Result) {
    if (Generation == Subscription.Generation)
      onReadResult(Subscription, SentAt, Result);
  });
}

void cluster_sync::onReadResult(subscription &Subscription, time_point SentAt,
                                const read_result &Result) {
  bool IsOperatorRead = Subscription.Kind == row_kind::Operator;
  // The claim depends on the versions of the operators' rows, but does not wait
  // for them if they cannot be read.
  if (IsOperatorRead && Stage == start_stage::Joining)
    StartTimer = Deps.Loop.after(duration{0}, [this] { claimLease(); });
  if (Result.Outcome != read_outcome::Succeeded)
    return retryRead(Subscription, Result.Error);
  if (!acceptEra(Result.Batch.Revision))
    return retryRead(Subscription, "rows of an earlier era");
  onStoreResponse(Subscription);
  Subscription.Revision = Result.Batch.Revision;
  Subscription.IsLoaded = true;
  if (IsOperatorRead) {
    Deps.OperatorState.applyAll(Result.Batch);
    if (Deps.OperatorState.config())
      Deps.OperatorState.confirm(SentAt);
  } else {
    if (Stage == start_stage::ReadingCluster)
      checkForReturn(Result.Batch);
    View.removeMissing(Result.Batch);
    recordWatchedVersions(Result.Batch);
    for (const stored_row &Row : Result.Batch.Rows)
      applyRow(Row);
  }
  Maps.scheduleRestore();
  Deps.OnChange();
  bool IsStarting = Stage == start_stage::ReadingCluster ||
                    Stage == start_stage::AwaitingRelay;
  if (!IsOperatorRead && IsStarting)
    return continueStart();
  writeHostRow();
  watch(Subscription);
}

void cluster_sync::watch(subscription &Subscription) {
  Deps.Store.watch(Subscription.Kind, Subscription.Revision, WatchWait,
                   [this, &Subscription, Generation = Subscription.Generation](
                       const read_result &Result) {
                     if (Generation == Subscription.Generation)
                       onWatchResult(Subscription, Result);
                   });
}

void cluster_sync::onClusterVersion(row_version Version) {
  if (Version <= WatchedVersion || IsWatchLagCheckPending ||
      !ClusterSubscription.IsLoaded)
    return;
  IsWatchLagCheckPending = true;
  WatchLagTimer = Deps.Loop.after(MaxWatchLag, [this, Version] {
    IsWatchLagCheckPending = false;
    if (Version <= WatchedVersion || !ClusterSubscription.IsLoaded)
      return;
    writeLog(
        log_level::Warning, "watch stalled, reading all rows",
        {{"step", "watch"}, {"seen", WatchedVersion}, {"newest", Version}});
    readAll(ClusterSubscription);
  });
}

void cluster_sync::onWatchResult(subscription &Subscription,
                                 const read_result &Result) {
  if (Result.Outcome == read_outcome::HistoryCompacted) {
    writeLog(log_level::Info, "store history compacted, reading all rows",
             {{"step", "watch"}, {"revision", Subscription.Revision}});
    return readAll(Subscription);
  }
  if (Result.Outcome != read_outcome::Succeeded)
    return retryRead(Subscription, Result.Error);
  uint64_t Generation = Subscription.Generation;
  if (!acceptEra(Result.Batch.Revision))
    return retryRead(Subscription, "rows of an earlier era");
  if (Generation != Subscription.Generation)
    return;
  onStoreResponse(Subscription);
  Subscription.Revision =
      std::max(Subscription.Revision, Result.Batch.Revision);
  if (Subscription.Kind == row_kind::Cluster)
    recordWatchedVersions(Result.Batch);
  applyRows(Result.Batch.Rows);
  watch(Subscription);
}

void cluster_sync::retryRead(subscription &Subscription,
                             const std::string &Reason) {
  if (!Subscription.IsFailing)
    writeLog(log_level::Warning, "store unreachable",
             {{"step",
               Subscription.Kind == row_kind::Operator ? "orders" : "cluster"},
              {"peer", "store"},
              {"reason", Reason}});
  Subscription.IsFailing = true;
  Deps.OnStoreLost();
  bool WasLoaded = Subscription.IsLoaded;
  Subscription.RetryTimer =
      Deps.Loop.after(ReadRetryDelay, [this, &Subscription, WasLoaded] {
        if (WasLoaded)
          watch(Subscription);
        else
          readAll(Subscription);
      });
}

void cluster_sync::onStoreResponse(subscription &Subscription) {
  if (Subscription.IsFailing)
    writeLog(log_level::Info, "store reachable again",
             {{"step",
               Subscription.Kind == row_kind::Operator ? "orders" : "cluster"},
              {"peer", "store"}});
  Subscription.IsFailing = false;
}

void cluster_sync::onOperatorRowsOfPeer(const row_batch &Batch) {
  // Which rows hold after a return of the store, only the store shows.
  if (eraOf(Batch.Revision) != Eras.current() ||
      !Deps.OperatorState.applyRowsOfPeer(Batch))
    return;
  writeLog(log_level::Info, "operators' rows of a peer applied",
           {{"step", "orders"}, {"revision", Batch.Revision}});
  Deps.OnChange();
}

void cluster_sync::recordWatchedVersions(const row_batch &Batch) {
  for (const stored_row &Row : Batch.Rows)
    WatchedVersion = std::max(WatchedVersion, Row.Version);
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
    // This host writes its own row again.
    return Row.Id == hostRow(Deps.Host);
  }
}

void cluster_sync::applyRows(const std::vector<stored_row> &Rows) {
  bool Changed = false;
  for (const stored_row &Row : Rows)
    Changed |= applyRow(Row);
  if (!Changed)
    return;
  Maps.scheduleRestore();
  Deps.OnChange();
  writeHostRow();
}

// Lease.

void cluster_sync::renew(std::chrono::milliseconds MaxBatchDelay) {
  ++RenewalCount;
  store_transaction Transaction;
  Transaction.Conditions = Deps.OperatorState.conditions();
  Transaction.Conditions.push_back({leaseRow(Deps.Host), LeaseVersion});
  // A coordinator that was replaced must not go on until its watch shows that.
  const versioned<std::string> &Role = View.coordinatorHost();
  if (Role.Content == Deps.Host)
    Transaction.Conditions.push_back({coordinatorRow(), Role.Version});
  time_point SentAt = Deps.Clock.now();
  Transaction.Writes.push_back(
      {leaseRow(Deps.Host),
       encodeLease({RunId, RenewalCount, StoreClock.upperBound(SentAt),
                    Eras.hasKeptLease() ? Eras.current() : 0})});
  Transaction.MaxBatchDelay = MaxBatchDelay;
  OverdueTimer = Deps.Loop.after(MaxBatchDelay + RenewalOverdueTime, [this] {
    IsRenewalOverdue = true;
    Deps.OnStoreLost();
  });
  Deps.Store.transact(Transaction, [this, SentAt, Transaction](
                                       const transaction_result &Result) {
    observeEra(Result);
    removeMissingRows(Transaction, Result);
    onRenewed(SentAt, Result);
  });
}

void cluster_sync::onRenewed(time_point SentAt,
                             const transaction_result &Result) {
  time_point Now = Deps.Clock.now();
  OverdueTimer.cancel();
  IsRenewalOverdue = false;
  if (Result.StoreTime.count() > 0)
    StoreClock.onResponse(Result.StoreTime, SentAt, Now);
  if (Result.Outcome == transaction_outcome::Conflict) {
    onLeaseConflict(Result);
    // Retried without delay: the conflict has delivered the current versions of
    // all rows that the renewal depends on.
    RenewalTimer =
        Deps.Loop.after(duration{0}, [this] { renew(RetryBatchDelay); });
    return;
  }
  if (Result.Outcome != transaction_outcome::Committed ||
      !acceptEra(Result.Revision)) {
    noteFailedRenewal(Result);
    confirmByRead();
    RenewalTimer = Deps.Loop.after(jittered(RenewalRetryDelay),
                                   [this] { renew(RetryBatchDelay); });
    return;
  }
  noteRenewal();
  LeaseVersion = Result.Revision;
  bool IsFirstOfEra = Eras.onRenewed();
  // Others may have taken over this lease, in rows that the store has lost.
  if (IsFirstOfEra && !Lease.isHeld(Now))
    dropClaim();
  Lease.onRenewed(SentAt);
  if (Now - LastRenewedAt > MaxRenewalGap)
    StableSince = Now;
  LastRenewedAt = Now;
  Deps.OperatorState.confirm(SentAt);
  if (!IsClaimed) {
    IsClaimed = true;
    writeLog(log_level::Info, "lease acquired",
             {{"step", "lease"}, {"version", LeaseVersion}});
    readMapAfterClaim(LeaseVersion);
  }
  scheduleRenewal(Now - SentAt);
}

/// Neither renewals nor the watch can be relied on after a gap: writes may wait
/// behind others, and the watch may hang on a lost connection.
void cluster_sync::confirmByRead() {
  duration Age = Deps.OperatorState.confirmationAge(Deps.Clock.now());
  if (Age > MaxRenewalGap && OperatorSubscription.IsLoaded)
    readAll(OperatorSubscription);
}

void cluster_sync::noteFailedRenewal(const transaction_result &Result) {
  ++FailedRenewals;
  if (FailedRenewals == 1)
    writeLog(log_level::Warning, "renewal failed",
             {{"step", "lease"}, {"reason", Result.Error}});
  Deps.OnStoreLost();
}

void cluster_sync::noteRenewal() {
  if (FailedRenewals > 0)
    writeLog(log_level::Info, "renewed after failures",
             {{"step", "lease"}, {"failed", FailedRenewals}});
  FailedRenewals = 0;
}

void cluster_sync::scheduleRenewal(duration Latency) {
  duration LatestDelay =
      std::max<duration>(duration{0}, MaxRenewalInterval - Latency);
  if (Deps.IsRelay()) {
    RenewalTimer =
        Deps.Loop.after(std::min<duration>(RelayRenewalPeriod, LatestDelay),
                        [this] { renew(RelayRenewalBatchDelay); });
    return;
  }
  // With jitter, the renewals of different hosts reach the relay at different
  // times, so that it keeps calling the store and notices a failure early.
  RenewalTimer =
      Deps.Loop.after(std::min(jittered(LeaseRenewalPeriod), LatestDelay),
                      [this] { renew(RenewalBatchDelay); });
}

duration cluster_sync::jittered(duration Mean) {
  double Factor = std::uniform_real_distribution<double>(
      1 - RenewalJitter, 1 + RenewalJitter)(Random);
  return std::chrono::duration_cast<duration>(Mean * Factor);
}

void cluster_sync::onLeaseConflict(const transaction_result &Result) {
  for (const stored_row &Row : Result.Current) {
    if (Row.Id != leaseRow(Deps.Host) || Row.Version == LeaseVersion)
      continue;
    if (Row.Version > 0 && !acceptEra(Row.Version))
      continue;
    std::string HolderRunId = decodeLease(Row.Value).RunId;
    LeaseVersion = Row.Version;
    // A renewal of this run whose response was lost; the lease is still held.
    if (HolderRunId == RunId)
      continue;
    // A row of the copy from which the store has come back. Nobody can have
    // taken over a lease that has not expired.
    if (!Eras.wasRenewed() && Eras.hasKeptLease() &&
        Lease.isHeld(Deps.Clock.now()))
      continue;
    if (IsClaimed)
      writeLog(log_level::Warning, "lease lost",
               {{"step", "lease"}, {"holder", HolderRunId}});
    dropClaim();
    Deps.OnChange();
  }
  applyRows(Result.Current);
}

void cluster_sync::readMapAfterClaim(row_version ClaimedAt) {
  Deps.Store.read(
      row_kind::Cluster, [this, ClaimedAt](const read_result &Result) {
        if (!IsClaimed)
          return;
        if (Result.Outcome != read_outcome::Succeeded ||
            !acceptEra(Result.Batch.Revision) ||
            Result.Batch.Revision < ClaimedAt) {
          MapRetryTimer = Deps.Loop.after(ReadRetryDelay, [this, ClaimedAt] {
            readMapAfterClaim(ClaimedAt);
          });
          return;
        }
        for (const stored_row &Row : Result.Batch.Rows)
          applyRow(Row);
        IsMapReadSinceClaim = true;
        Deps.OnChange();
        writeHostRow();
      });
}

bool cluster_sync::isStoreStable() const {
  time_point Now = Deps.Clock.now();
  return Now - LastRenewedAt <= MaxRenewalGap &&
         Now - StableSince >= StoreRecoveryGrace;
}

void cluster_sync::readLeases(store::read_callback Callback) {
  Deps.Store.read(row_kind::Lease, std::move(Callback));
}

// Writes.

void cluster_sync::publishHostInfo(const host_info &Info) {
  DesiredHostInfo = Info;
  IsHostInfoProvisional = false;
  writeHostRow();
}

void cluster_sync::publishProvisionalHostInfo(const host_info &Info) {
  DesiredHostInfo = Info;
  IsHostInfoProvisional = true;
  writeHostRow();
}

void cluster_sync::writeHostRow() {
  bool HasJoined =
      Stage == start_stage::Joining || Stage == start_stage::Renewing;
  if (!DesiredHostInfo || IsHostWriteInFlight || !HasJoined ||
      !ClusterSubscription.IsLoaded)
    return;
  auto Row = View.hosts().find(Deps.Host);
  bool Exists = Row != View.hosts().end();
  bool IsReadable = View.isReadable(hostRow(Deps.Host));
  if (Exists && IsReadable && Row->second.Content == *DesiredHostInfo)
    return;
  if (IsHostInfoProvisional && (Exists || hasRelay()))
    return;
  IsHostWriteInFlight = true;
  HasSentHostRow = true;
  store_transaction Transaction;
  Transaction.Conditions.push_back(
      {hostRow(Deps.Host), View.hostVersion(Deps.Host)});
  Transaction.Writes.push_back(
      {hostRow(Deps.Host), encodeHost(*DesiredHostInfo)});
  Transaction.MaxBatchDelay = HostRowBatchDelay;
  transact(Transaction, [this](const transaction_result &Result) {
    IsHostWriteInFlight = false;
    if (Result.Outcome == transaction_outcome::Committed ||
        Result.Outcome == transaction_outcome::Conflict)
      return writeHostRow();
    HostRetryTimer =
        Deps.Loop.after(HostRowRetryDelay, [this] { writeHostRow(); });
  });
}

void cluster_sync::transact(const store_transaction &Transaction,
                            store::transaction_callback OnDone) {
  Deps.Store.transact(
      Transaction, [this, Transaction, OnDone = std::move(OnDone)](
                       const transaction_result &Result) {
        observeEra(Result);
        if (Result.Outcome == transaction_outcome::Committed) {
          std::vector<stored_row> Written;
          for (const row_write &Write : Transaction.Writes)
            Written.push_back({Write.Id, Result.Revision, Write.Value});
          applyRows(Written);
          if (writesClusterRow(Transaction))
            onClusterVersion(Result.Revision);
        } else if (Result.Outcome == transaction_outcome::Conflict) {
          removeMissingRows(Transaction, Result);
          applyRows(Result.Current);
        }
        OnDone(Result);
      });
}

void cluster_sync::removeMissingRows(const store_transaction &Transaction,
                                     const transaction_result &Result) {
  for (const stored_row &Row : Result.Current)
    for (const row_condition &Condition : Transaction.Conditions)
      if (!Row.Value && Row.Id == Condition.Id)
        View.removeMissingRow(Condition);
}

} // namespace dragonflyvane
