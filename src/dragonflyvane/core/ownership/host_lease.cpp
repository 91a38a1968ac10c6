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

void lease_tracker::observe(const row_batch &Batch, bool IsStoreStable) {
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
  for (const stored_row &Row : Batch.Rows) {
    auto Known = TrackedLeases.find(Row.Id.Key);
    bool IsUnchanged =
        Known != TrackedLeases.end() && Known->second.Version == Row.Version;
    tracked_lease &Entry = Current[Row.Id.Key];
    lease_value Lease = decodeLease(Row.Value);
    Entry = IsUnchanged ? Known->second
                        : tracked_lease{Row.Version, StoreTime,
                                        Lease.LatestSendTime, false, 0};
    Entry.WasTakenOver |= Lease.RunId.empty();
    store_era KnownEra =
        Known == TrackedLeases.end() ? 0 : Known->second.KeptIntoEra;
    Entry.KeptIntoEra = std::max(KnownEra, Lease.KeptIntoEra);
  }
  TrackedLeases = std::move(Current);
}

bool lease_tracker::hasExpired(const tracked_lease &Lease) const {
  auto Age = StoreTime - Lease.Since;
  if (Lease.LatestSendTime.count() > 0)
    Age = std::max(Age, StoreTime - Lease.LatestSendTime);
  return StoreTime >= GraceUntil && Age >= LeaseDuration + LeaseClockMargin;
}

std::set<std::string> lease_tracker::expired() const {
  std::set<std::string> Expired;
  for (const auto &[Holder, Lease] : TrackedLeases)
    if (hasExpired(Lease))
      Expired.insert(Holder);
  return Expired;
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

void lease_tracker::onTakeover(const std::string &Holder) {
  TrackedLeases[Holder].WasTakenOver = true;
}

row_version lease_tracker::versionOf(const std::string &Holder) const {
  auto Found = TrackedLeases.find(Holder);
  return Found == TrackedLeases.end() ? 0 : Found->second.Version;
}

} // namespace dragonflyvane
