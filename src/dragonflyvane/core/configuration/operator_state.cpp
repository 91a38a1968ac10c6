#include "dragonflyvane/core/configuration/operator_state.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

bool operator_state::apply(const stored_row &Row) {
  if (Row.Id.Kind != row_kind::Operator)
    return false;
  known_row &Known = KnownRows[Row.Id];
  bool IsFirstSight = !std::exchange(Known.IsSeen, true);
  bool IsDeleted = !Row.Value;
  // A deletion may come without a version, which is then not known.
  bool HasVersion = Row.Version > 0 || !IsDeleted;
  bool IsStale = HasVersion && Row.Version <= Known.Version;
  if (IsStale || (IsDeleted && !Known.Exists))
    return false;
  Known.Version = std::max(Known.Version, Row.Version);
  Known.Exists = !IsDeleted;
  if (isConfirmed(Row.Id)) {
    NewestVersion = std::max(NewestVersion, Row.Version);
    if (IsDeleted)
      Values.erase(Row.Id);
    else
      Values[Row.Id] = *Row.Value;
  }
  if (IsDeleted) {
    if (Row.Id == ConfigRow)
      StoredConfigVersion = 0;
    FoundEvacuated.erase(DomainOfRow[Row.Id]);
    DomainOfRow.erase(Row.Id);
    RolloutOfRow.erase(Row.Id);
    return updateOrders();
  }
  std::optional<operator_row> OperatorRow = Decode(Row);
  if (!OperatorRow)
    return false;
  bool Changed = false;
  if (OperatorRow->Configuration) {
    ConfigRow = Row.Id;
    StoredConfigVersion = OperatorRow->Configuration->Version;
    Changed = applyConfiguration(OperatorRow->Configuration, *Row.Value);
    if (NotedVersion > 0 && Row.Version > NotedVersion)
      AwaitsNewest = false;
  }
  if (!OperatorRow->EvacuatedFailureDomain.empty())
    applyEvacuation(Row.Id, OperatorRow->EvacuatedFailureDomain, IsFirstSight);
  if (OperatorRow->Rollout) {
    rollout_order &Order = RolloutOfRow[Row.Id];
    Order = *OperatorRow->Rollout;
    Order.RowVersion = Row.Version;
  }
  return updateOrders() || Changed;
}

void operator_state::applyEvacuation(const row_id &Row,
                                     const std::string &Domain,
                                     bool IsFirstSight) {
  DomainOfRow[Row] = Domain;
  if (IsFirstSight)
    FoundEvacuated.insert(Domain);
}

bool operator_state::applyConfiguration(
    const std::shared_ptr<const configuration> &Latest,
    const std::string &Value) {
  if (Config && Latest->Version < Config->Version)
    return false;
  Config = Latest;
  ConfigValue = Value;
  return true;
}

// A start beside a return of the store.

void operator_state::awaitNewest(row_version Noted) {
  AwaitsNewest = true;
  NotedVersion = Noted;
}

void operator_state::endAwaiting() {
  AwaitsNewest = false;
  IsAdopted = false;
}

bool operator_state::adopt(const known_configuration &Known, time_point Now) {
  std::optional<operator_row> Decoded = Decode(Known.Row);
  if (!AwaitsNewest || !Decoded || !Decoded->Configuration || !Known.Row.Value)
    return false;
  AwaitsNewest = false;
  IsAdopted = true;
  ConfirmedAt = std::max(ConfirmedAt, Now - Known.ConfirmationAge);
  return applyConfiguration(Decoded->Configuration, *Known.Row.Value);
}

std::optional<known_configuration>
operator_state::knownConfiguration(time_point Now) const {
  if (!Config || !ConfigRow || AwaitsNewest)
    return std::nullopt;
  auto Age = std::chrono::ceil<std::chrono::milliseconds>(confirmationAge(Now));
  return known_configuration{{*ConfigRow, 0, ConfigValue}, Age};
}

bool operator_state::updateOrders() {
  if (IsSettling)
    return false;
  std::map<std::string, rollout_order> Ordered;
  for (const auto &[Row, Order] : RolloutOfRow)
    Ordered[Order.Service] = Order;
  bool Changed = std::exchange(Rollouts, Ordered) != Ordered;
  std::set<std::string> Wanted;
  for (const auto &[Row, Domain] : DomainOfRow)
    Wanted.insert(Domain);
  return std::exchange(Evacuated, Wanted) != Wanted || Changed;
}

bool operator_state::setSettling(bool Value) {
  IsSettling = Value;
  return updateOrders();
}

std::set<row_id> operator_state::knownRows() const {
  std::set<row_id> Known(Rows.begin(), Rows.end());
  for (const auto &[Row, Order] : RolloutOfRow)
    Known.insert(Row);
  return Known;
}

bool operator_state::applyAll(const row_batch &Batch) {
  bool Changed = false;
  for (const row_id &Id : knownRows()) {
    bool Exists =
        std::any_of(Batch.Rows.begin(), Batch.Rows.end(),
                    [&](const stored_row &Row) { return Row.Id == Id; });
    if (!Exists)
      Changed |= apply({Id, Batch.Revision, std::nullopt});
  }
  for (const stored_row &Row : Batch.Rows)
    Changed |= apply(Row);
  return Changed;
}

// Exchange of rows with peers.

bool operator_state::isConfirmed(const row_id &Id) const {
  return std::find(Rows.begin(), Rows.end(), Id) != Rows.end();
}

row_batch operator_state::confirmedRows() const {
  row_batch Batch;
  Batch.Revision = NewestVersion;
  Batch.Era = eraOf(NewestVersion);
  for (const auto &[Id, Value] : Values)
    Batch.Rows.push_back({Id, KnownRows.at(Id).Version, Value});
  return Batch;
}

bool operator_state::applyRowsOfPeer(const row_batch &Batch) {
  // An older state may have rows that were deleted since, and lack newer ones.
  if (Batch.Revision <= NewestVersion)
    return false;
  for (const row_id &Id : Rows) {
    auto Row = std::find_if(
        Batch.Rows.begin(), Batch.Rows.end(),
        [&](const stored_row &Candidate) { return Candidate.Id == Id; });
    apply(Row != Batch.Rows.end() ? *Row : stored_row{Id, Batch.Revision, {}});
  }
  NewestVersion = Batch.Revision;
  return true;
}

void operator_state::confirm(time_point SentAt) {
  bool MayBeBehind = IsSettling || IsAdopted;
  if (AwaitsNewest ||
      (MayBeBehind && Config && StoredConfigVersion < Config->Version))
    return;
  ConfirmedAt = std::max(ConfirmedAt, SentAt);
}

std::vector<row_condition> operator_state::conditions() const {
  std::vector<row_condition> Conditions;
  for (const row_id &Id : Rows) {
    auto Known = KnownRows.find(Id);
    bool Exists = Known != KnownRows.end() && Known->second.Exists;
    Conditions.push_back({Id, Exists ? Known->second.Version : 0});
  }
  return Conditions;
}

} // namespace dragonflyvane
