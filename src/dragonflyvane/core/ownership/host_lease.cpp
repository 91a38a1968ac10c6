#include "dragonflyvane/core/ownership/host_lease.hpp"

#include "dragonflyvane/core/json_fields.hpp"

namespace dragonflyvane {

namespace {

/// A longer time between two observations means that the store was unavailable,
/// so that the holders could not renew their leases either.
constexpr std::chrono::milliseconds MaxObservationGap{2500};
/// Far beyond any clock, and small enough to calculate with.
constexpr int64_t MaxStoreTimeMs = int64_t{1} << 52;

} // namespace

std::string encodeLease(const lease_value &Lease) {
  nlohmann::json Json = {{"run", Lease.RunId},
                         {"count", Lease.Count},
                         {"sent_by", Lease.LatestSendTime.count()}};
  if (Lease.KeptIntoEra > 0)
    Json["kept_into_era"] = Lease.KeptIntoEra;
  return Json.dump();
}

lease_value decodeLease(const std::optional<std::string> &Text) {
  try {
    nlohmann::json Json = parseJson(Text.value_or(""));
    return {requireText(Json, "run"), requireInteger<uint64_t>(Json, "count"),
            std::chrono::milliseconds(
                requireInteger<int64_t>(Json, "sent_by", 0, MaxStoreTimeMs)),
            optionalInteger<store_era>(Json, "kept_into_era", 0)};
  } catch (const std::exception &) {
    return {};
  }
}

void lease_tracker::observe(const row_batch &Batch,
                            const std::set<std::string> &KnownHosts,
                            bool IsStoreStable) {
  bool IsFirst = StoreTime.count() == 0;
  bool StoreWasUnavailable =
      IsFirst ? !IsStoreStable
              : Batch.StoreTime - StoreTime > MaxObservationGap;
  if (StoreWasUnavailable)
    GraceUntil = Batch.StoreTime + StoreRecoveryGrace;
  // The rows of a copy show renewals that were sent before it was made.
  if (!IsFirst && eraOf(Batch.Revision) != Era)
    GraceUntil = Batch.StoreTime + LeaseDuration + LeaseClockMargin;
  Era = eraOf(Batch.Revision);
  StoreTime = Batch.StoreTime;
  std::map<std::string, tracked_lease> Current;
  for (const stored_row &Row : Batch.Rows)
    Current[Row.Id.Key] = track(Row);
  for (const std::string &Host : KnownHosts)
    if (!Current.contains(Host))
      Current[Host] = trackMissing(Host);
  TrackedLeases = std::move(Current);
}

void lease_tracker::observeRow(const stored_row &Row) {
  if (Row.Value)
    TrackedLeases[Row.Id.Key] = track(Row);
  else
    TrackedLeases[Row.Id.Key] = trackMissing(Row.Id.Key);
}

lease_tracker::tracked_lease lease_tracker::track(const stored_row &Row) const {
  auto Known = TrackedLeases.find(Row.Id.Key);
  bool IsKnown = Known != TrackedLeases.end();
  // A read may have been sent before a takeover that is known already.
  if (IsKnown && Known->second.Version >= Row.Version)
    return Known->second;
  lease_value Lease = decodeLease(Row.Value);
  tracked_lease Entry;
  Entry.Version = Row.Version;
  Entry.Since = StoreTime;
  Entry.LatestSendTime = Lease.LatestSendTime;
  Entry.WasTakenOver = Lease.RunId.empty();
  Entry.HasTakeoverMarker = Row.Value == TakeoverMarker;
  Entry.KeptIntoEra =
      std::max(IsKnown ? Known->second.KeptIntoEra : 0, Lease.KeptIntoEra);
  return Entry;
}

lease_tracker::tracked_lease
lease_tracker::trackMissing(const std::string &Holder) const {
  auto Known = TrackedLeases.find(Holder);
  if (Known != TrackedLeases.end() && Known->second.Version == 0)
    return Known->second;
  tracked_lease Entry;
  Entry.Since = StoreTime;
  return Entry;
}

bool lease_tracker::isUnchanged(const tracked_lease &Lease) const {
  auto Age = StoreTime - Lease.Since;
  if (Lease.LatestSendTime.count() > 0)
    Age = std::max(Age, StoreTime - Lease.LatestSendTime);
  return StoreTime >= GraceUntil && Age >= LeaseDuration + LeaseClockMargin;
}

bool lease_tracker::hasExpired(const tracked_lease &Lease) const {
  bool IsFenced = Lease.HasTakeoverMarker && StoreTime >= GraceUntil;
  return IsFenced || isUnchanged(Lease);
}

std::set<std::string> lease_tracker::expired() const {
  std::set<std::string> Expired;
  for (const auto &[Holder, Lease] : TrackedLeases)
    if (hasExpired(Lease))
      Expired.insert(Holder);
  return Expired;
}

std::set<std::string> lease_tracker::unchanged() const {
  std::set<std::string> Unchanged;
  for (const auto &[Holder, Lease] : TrackedLeases)
    if (isUnchanged(Lease))
      Unchanged.insert(Holder);
  return Unchanged;
}

bool lease_tracker::isEligible(const std::string &Holder) const {
  auto Found = TrackedLeases.find(Holder);
  if (Found == TrackedLeases.end())
    return true;
  return !Found->second.WasTakenOver && !hasExpired(Found->second);
}

bool lease_tracker::hasKeptLease(const std::string &Holder,
                                 store_era Era) const {
  auto Found = TrackedLeases.find(Holder);
  return Found != TrackedLeases.end() && Found->second.KeptIntoEra == Era;
}

void lease_tracker::onTakeover(const std::string &Holder, row_version Version) {
  observeRow({{row_kind::Lease, Holder}, Version, TakeoverMarker});
}

row_version lease_tracker::versionOf(const std::string &Holder) const {
  auto Found = TrackedLeases.find(Holder);
  return Found == TrackedLeases.end() ? 0 : Found->second.Version;
}

} // namespace dragonflyvane
