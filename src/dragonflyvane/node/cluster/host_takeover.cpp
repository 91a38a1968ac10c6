#include "dragonflyvane/node/cluster/host_takeover.hpp"

#include "dragonflyvane/core/cluster/transaction_batch.hpp"
#include "dragonflyvane/core/ownership/assignment.hpp"
#include "dragonflyvane/core/transaction_size.hpp"
#include "dragonflyvane/net/log.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Returns the size of the operations that every part has beside those of its
/// hosts: condition and write of the map, with room for the largest map.
transaction_size mapOperationsSize() {
  row_id LongestRow{row_kind::Cluster, std::string(MaxRowKeyBytes, ' ')};
  store_transaction Transaction;
  Transaction.Conditions.push_back({LongestRow, 0});
  Transaction.Writes.push_back({LongestRow, std::string(MaxRowBytes, ' ')});
  return sizeOf(Transaction);
}

/// Adds the operations that take over one host.
void addFence(store_transaction &Transaction, const std::string &Host,
              row_version LeaseVersion) {
  Transaction.Conditions.push_back({leaseRow(Host), LeaseVersion});
  // Overwriting the lease row makes a late renewal of the expired host fail.
  Transaction.Writes.push_back({leaseRow(Host), TakeoverMarker});
}

std::string nameOf(transaction_outcome Outcome) {
  switch (Outcome) {
  case transaction_outcome::Committed:
    return "committed";
  case transaction_outcome::Conflict:
    return "conflict";
  case transaction_outcome::NotCommitted:
    return "not committed";
  case transaction_outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

void host_takeover::onLeasesObserved() {
  FailedServices.clear();
  takeOverRanges();
  removeHosts();
}

void host_takeover::takeOverRanges() {
  for (const auto &[Service, Map] : Deps.Sync.view().maps())
    if (!FailedServices.contains(Service) && !chooseOwners(Map.Content).empty())
      takeOverService(Service);
}

void host_takeover::takeOverService(const std::string &Service) {
  auto Part = std::make_shared<std::set<std::string>>();
  map_update Update;
  Update.Service = Service;
  Update.Edit = [this, Part](ownership_map &Map, uint64_t) {
    *Part = chooseOwners(Map);
    return unassignRanges(Map, *Part);
  };
  Update.ExtraOperations = [this, Part] { return fence(*Part); };
  Update.OnResult = [this, Service, Part, Watch = std::weak_ptr<bool>(Alive)](
                        const store_transaction &Transaction,
                        const transaction_result &Result) {
    if (!Watch.expired())
      onPartResult(Service, Part, Transaction, Result);
  };
  Deps.Sync.maps().update(Update);
}

std::set<std::string> host_takeover::expiredHosts() const {
  std::set<std::string> Expired = Deps.Leases.expired();
  Expired.erase(Deps.Host);
  return Expired;
}

/// Returns the expired owners of a map, as many as fit in one transaction.
std::set<std::string>
host_takeover::chooseOwners(const ownership_map &Map) const {
  const std::set<std::string> Expired = expiredHosts();
  std::set<std::string> Owners;
  transaction_size Size = mapOperationsSize();
  for (const owned_range &Range : Map.Ranges) {
    if (!Expired.contains(Range.Owner) || Owners.contains(Range.Owner))
      continue;
    Size += sizeOf(fence({Range.Owner}));
    if (!Size.fitsIn(maxTransactionSize()))
      break;
    Owners.insert(Range.Owner);
  }
  return Owners;
}

store_transaction
host_takeover::fence(const std::set<std::string> &Owners) const {
  store_transaction Transaction;
  for (const std::string &Owner : Owners)
    addFence(Transaction, Owner, Deps.Leases.versionOf(Owner));
  return Transaction;
}

void host_takeover::onPartResult(const std::string &Service, const part &Part,
                                 const store_transaction &Transaction,
                                 const transaction_result &Result) {
  if (Result.Outcome == transaction_outcome::Conflict)
    return observeLeases(Result);
  if (Result.Outcome != transaction_outcome::Committed)
    return noteFailure(Service, Part, Transaction, Result);
  noteCommit(Service, Part, Result);
  takeOverRanges();
}

/// The hosts that have renewed meanwhile, or that another coordinator has taken
/// over, are seen by their rows in the conflict.
void host_takeover::observeLeases(const transaction_result &Result) {
  for (const stored_row &Row : Result.Current)
    if (Row.Id.Kind == row_kind::Lease)
      Deps.Leases.observeRow(Row);
}

void host_takeover::noteCommit(const std::string &Service, const part &Part,
                               const transaction_result &Result) {
  ++Counts.Transactions;
  Counts.Hosts += Part->size();
  for (const std::string &Owner : *Part) {
    writeLog(log_level::Warning,
             "took over ranges of a host with an expired lease",
             {{"step", "steward"},
              {"peer", Owner},
              {"service", Service},
              {"lease_version", Deps.Leases.versionOf(Owner)}});
    Deps.Leases.onTakeover(Owner, Result.Revision);
  }
}

void host_takeover::noteFailure(const std::string &Service, const part &Part,
                                const store_transaction &Transaction,
                                const transaction_result &Result) {
  FailedServices.insert(Service);
  ++Counts.FailedTransactions;
  transaction_size Size = sizeOf(Transaction);
  writeLog(log_level::Error, "takeover of expired hosts failed",
           {{"step", "steward"},
            {"service", Service},
            {"hosts", Part->size()},
            {"entries", Size.Entries},
            {"bytes", Size.Bytes},
            {"outcome", nameOf(Result.Outcome)},
            {"reason", Result.Error}});
}

// Removal of hosts.

std::set<std::string> host_takeover::owners() const {
  std::set<std::string> Owners;
  for (const auto &[Service, Map] : Deps.Sync.view().maps())
    for (const owned_range &Range : Map.Content.Ranges)
      Owners.insert(Range.Owner);
  return Owners;
}

/// Removes the rows of as many hosts as fit in one transaction. The others
/// follow when it is done, so that lease renewals never wait behind more than
/// one of them.
void host_takeover::removeHosts() {
  if (IsRemovalInFlight)
    return;
  const std::set<std::string> Owners = owners();
  transaction_batch Batch;
  for (const std::string &Host : Deps.Leases.unchanged()) {
    row_version Version = Deps.Sync.view().hostVersion(Host);
    if (Host == Deps.Host || Version == 0 || Owners.contains(Host))
      continue;
    store_transaction Removal;
    Removal.Conditions.push_back({hostRow(Host), Version});
    Removal.Writes.push_back({hostRow(Host), std::nullopt});
    addFence(Removal, Host, Deps.Leases.versionOf(Host));
    if (!Batch.add(Removal))
      break;
  }
  if (!Batch.isEmpty())
    removeBatch(Batch.joinedTransaction());
}

void host_takeover::removeBatch(const store_transaction &Batch) {
  IsRemovalInFlight = true;
  Deps.Sync.transact(Batch, [this, Batch, Watch = std::weak_ptr<bool>(Alive)](
                                const transaction_result &Result) {
    if (Watch.expired())
      return;
    IsRemovalInFlight = false;
    if (Result.Outcome == transaction_outcome::Conflict)
      observeLeases(Result);
    if (Result.Outcome != transaction_outcome::Committed)
      return;
    for (const row_write &Write : Batch.Writes)
      if (Write.Id.Kind == row_kind::Lease)
        Deps.Leases.onTakeover(Write.Id.Key, Result.Revision);
    removeHosts();
  });
}

} // namespace dragonflyvane
