#include "dragonflyvane/core/ownership/host_lease.hpp"

namespace dragonflyvane {

namespace {

/// A longer pause between two looks means that the store was away, for the
/// holders too.
constexpr std::chrono::milliseconds LongestPause{2500};

} // namespace

void lease_watch::observe(const row_batch &Batch) {
  if (Batch.StoreTime - StoreTime > LongestPause)
    GraceUntil = Batch.StoreTime + LeaseReturnGrace;
  StoreTime = Batch.StoreTime;
  std::map<std::string, seen> Now;
  for (const stored_row &Row : Batch.Rows) {
    auto Before = Seen.find(Row.Id.Key);
    bool Unchanged =
        Before != Seen.end() && Before->second.Version == Row.Version;
    Now[Row.Id.Key] = Unchanged ? Before->second : seen{Row.Version, StoreTime};
  }
  Seen = std::move(Now);
}

std::set<std::string> lease_watch::lapsed() const {
  std::set<std::string> Lapsed;
  if (StoreTime < GraceUntil)
    return Lapsed;
  for (const auto &[Holder, Row] : Seen)
    if (StoreTime - Row.Since >= LeaseLength + LeaseMargin)
      Lapsed.insert(Holder);
  return Lapsed;
}

row_version lease_watch::versionOf(const std::string &Holder) const {
  auto Found = Seen.find(Holder);
  return Found == Seen.end() ? 0 : Found->second.Version;
}

} // namespace dragonflyvane
