#include "dragonflyvane/node/cluster/map_writer.hpp"

#include "dragonflyvane/core/cluster/map_recovery.hpp"
#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// An update is dropped when it still conflicts after this many retries; it is
/// requested again on the next change or tick.
constexpr int MaxConflictRetries = 5;
/// Maximum delay of such a retry, for each conflict so far.
constexpr std::chrono::milliseconds MaxConflictDelay{20};
/// Delay before a host writes a lost map again, for each host with a larger CPU
/// share, so that few hosts write it.
constexpr std::chrono::milliseconds MapRestoreDelayPerRank{40};
constexpr size_t MaxMapRestoreRank = 8;
/// Maximum further delay of hosts beyond that rank.
constexpr std::chrono::milliseconds MapRestoreSpread{600};
/// The delay before a map is written again whose write has failed.
constexpr std::chrono::milliseconds MapRestoreRetryDelay{250};

} // namespace

map_writer::map_writer(dependencies Dependencies)
    : Deps(std::move(Dependencies)) {}

// Maps that the store has lost.

void map_writer::scheduleRestore(duration MinDelay) {
  bool IsNeeded = std::any_of(
      Deps.View.maps().begin(), Deps.View.maps().end(),
      [this](const auto &M) { return Deps.Eras.mustRestore(M.second); });
  if (!IsNeeded || std::exchange(IsRestoreScheduled, true))
    return;
  size_t Rank = hostRank(Deps.View, Deps.Host);
  duration Delay =
      MinDelay + MapRestoreDelayPerRank * std::min(Rank, MaxMapRestoreRank);
  if (Rank >= MaxMapRestoreRank)
    Delay += std::chrono::duration_cast<duration>(
        MapRestoreSpread *
        std::uniform_real_distribution<double>(0, 1)(Deps.Random));
  RestoreTimer = Deps.Loop.after(Delay, [this] {
    IsRestoreScheduled = false;
    restoreLostMaps();
  });
}

void map_writer::restoreLostMaps() {
  for (const auto &[Service, Map] : Deps.View.maps()) {
    if (!Deps.Eras.mustRestore(Map) || !Deps.IsViewComplete())
      continue;
    writeLog(log_level::Warning,
             Map.isStoreBehind() ? "writing a map again that the store has lost"
                                 : "confirming a map in a new era",
             {{"step", "store"},
              {"service", Service},
              {"lineage", Map.Lineage},
              {"stored", Map.StoredLineage}});
    write(Service, restoredMap(Map, Deps.Eras.current()));
  }
}

void map_writer::settle(const std::string &Service,
                        const lease_tracker &Leases) {
  const known_map *Map = Deps.View.map(Service);
  bool IsDue = Map && !Deps.Eras.isSettled(*Map) &&
               Deps.Eras.isQuarantineOver(Deps.Clock.now());
  if (IsDue && Deps.IsViewComplete() &&
      Leases.wasObservedIn(Deps.Eras.current()))
    write(Service, settledMap(*Map, Deps.Eras.current(), Leases));
}

void map_writer::write(const std::string &Service, const ownership_map &Map) {
  if (!Deps.View.isReadable(mapRow(Service)) ||
      std::exchange(UpdatesInFlight[Service], true))
    return;
  store_transaction Transaction;
  Transaction.Conditions.push_back(
      {mapRow(Service), Deps.View.map(Service)->Version});
  Transaction.Writes.push_back({mapRow(Service), encodeMap(Map)});
  Deps.Transact(Transaction, [this, Service](const transaction_result &Result) {
    UpdatesInFlight[Service] = false;
    bool IsAnswered = Result.Outcome == transaction_outcome::Committed ||
                      Result.Outcome == transaction_outcome::Conflict;
    scheduleRestore(IsAnswered ? duration{0} : MapRestoreRetryDelay);
  });
}

void map_writer::update(const map_update &Update) {
  // A map that cannot be read may hold changes that this host does not know.
  if (UpdatesInFlight[Update.Service] || !Deps.IsViewComplete() ||
      !Deps.View.isReadable(mapRow(Update.Service)))
    return;
  tryUpdate(Update, 0);
}

void map_writer::tryUpdate(const map_update &Update, int Attempt) {
  const known_map *Current = Deps.View.map(Update.Service);
  bool MayChange = Current ? Deps.Eras.isSettled(*Current)
                           : Deps.Eras.isQuarantineOver(Deps.Clock.now());
  if (!MayChange)
    return;
  known_map Map = Current ? *Current : known_map{};
  if (!Update.Edit(Map.Content, nextTokenIn(Deps.Eras.current(), Map)))
    return;
  Map.Content.Era = Deps.Eras.current();
  UpdatesInFlight[Update.Service] = true;
  store_transaction Transaction =
      Update.ExtraOperations ? Update.ExtraOperations() : store_transaction{};
  Transaction.Conditions.push_back({mapRow(Update.Service), Map.Version});
  if (Update.RequiresLease)
    Transaction.Conditions.push_back(Deps.LeaseCondition());
  Transaction.Writes.push_back(
      {mapRow(Update.Service), encodeMap(Map.Content)});
  Deps.Transact(Transaction, [this, Update, Attempt,
                              Transaction](const transaction_result &Result) {
    UpdatesInFlight[Update.Service] = false;
    if (Update.OnResult)
      Update.OnResult(Transaction, Result);
    if (Result.Outcome == transaction_outcome::Conflict &&
        Attempt < MaxConflictRetries && isLeaseVersionCurrent(Result))
      retryUpdate(Update, Attempt + 1);
  });
}

/// The first conflict may be due to an old view, which the conflict has mended.
/// After further ones other hosts are writing the map, and a random delay keeps
/// them apart.
void map_writer::retryUpdate(const map_update &Update, int Attempt) {
  if (Attempt <= 1)
    return tryUpdate(Update, Attempt);
  UpdatesInFlight[Update.Service] = true;
  double Fraction = std::uniform_real_distribution<double>(0, 1)(Deps.Random);
  auto Delay = std::chrono::duration_cast<duration>(MaxConflictDelay * Attempt *
                                                    Fraction);
  RetryTimers[Update.Service] = Deps.Loop.after(Delay, [this, Update, Attempt] {
    UpdatesInFlight[Update.Service] = false;
    tryUpdate(Update, Attempt);
  });
}

/// Whether the lease row still has the known version, as far as the rows of a
/// conflict show. If not, a renewal is in flight or another run holds the
/// lease; the next renewal result shows which.
bool map_writer::isLeaseVersionCurrent(const transaction_result &Result) const {
  row_condition Lease = Deps.LeaseCondition();
  return std::none_of(
      Result.Current.begin(), Result.Current.end(), [&](const stored_row &Row) {
        return Row.Id == Lease.Id && Row.Version != Lease.Version;
      });
}

} // namespace dragonflyvane
