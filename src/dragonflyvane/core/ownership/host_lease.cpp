#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

namespace {

/// A longer pause between two looks means that the store was away, for the
/// holders too.
constexpr std::chrono::milliseconds LongestPause{2500};

} // namespace

std::string encodeLease(const lease_value &Lease) {
  return nlohmann::json{{"run", Lease.RunId},
                        {"count", Lease.Count},
                        {"sent_by", Lease.SentBy.count()}}
      .dump();
}

lease_value decodeLease(const std::optional<std::string> &Text) {
  auto Json = nlohmann::json::parse(Text.value_or(""), nullptr, false);
  try {
    return {Json.at("run").get<std::string>(), Json.at("count").get<uint64_t>(),
            std::chrono::milliseconds(Json.at("sent_by").get<int64_t>())};
  } catch (const nlohmann::json::exception &) {
    return {};
  }
}

void lease_tracker::observe(const row_batch &Batch, bool IsStoreStable) {
  bool IsFirst = StoreTime.count() == 0;
  bool WasAway =
      IsFirst ? !IsStoreStable : Batch.StoreTime - StoreTime > LongestPause;
  if (WasAway)
    GraceUntil = Batch.StoreTime + StoreRecoveryGrace;
  StoreTime = Batch.StoreTime;
  std::map<std::string, seen> Now;
  for (const stored_row &Row : Batch.Rows) {
    auto Before = Seen.find(Row.Id.Key);
    bool Unchanged =
        Before != Seen.end() && Before->second.Version == Row.Version;
    seen &Next = Now[Row.Id.Key];
    lease_value Lease = decodeLease(Row.Value);
    Next = Unchanged ? Before->second
                     : seen{Row.Version, StoreTime, Lease.SentBy, false};
    Next.IsTakenOver |= Lease.RunId.empty();
  }
  Seen = std::move(Now);
}

bool lease_tracker::hasExpired(const seen &Row) const {
  auto Ago = StoreTime - Row.Since;
  if (Row.SentBy.count() > 0)
    Ago = std::max(Ago, StoreTime - Row.SentBy);
  return StoreTime >= GraceUntil && Ago >= LeaseDuration + LeaseClockMargin;
}

std::set<std::string> lease_tracker::expired() const {
  std::set<std::string> Expired;
  for (const auto &[Holder, Row] : Seen)
    if (hasExpired(Row))
      Expired.insert(Holder);
  return Expired;
}

bool lease_tracker::isEligible(const std::string &Holder) const {
  auto Found = Seen.find(Holder);
  if (Found == Seen.end())
    return true;
  return !Found->second.IsTakenOver && !hasExpired(Found->second);
}

void lease_tracker::onTakeover(const std::string &Holder) {
  Seen[Holder].IsTakenOver = true;
}

row_version lease_tracker::versionOf(const std::string &Holder) const {
  auto Found = Seen.find(Holder);
  return Found == Seen.end() ? 0 : Found->second.Version;
}

} // namespace dragonflyvane
