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
    seen &Next = Now[Row.Id.Key];
    Next = Unchanged ? Before->second : seen{Row.Version, StoreTime, false};
    Next.IsTakenOver |= Row.Value == TakenOverLease;
  }
  Seen = std::move(Now);
}

bool lease_watch::hasLapsed(const seen &Row) const {
  return StoreTime >= GraceUntil &&
         StoreTime - Row.Since >= LeaseLength + LeaseMargin;
}

std::set<std::string> lease_watch::lapsed() const {
  std::set<std::string> Lapsed;
  for (const auto &[Holder, Row] : Seen)
    if (hasLapsed(Row))
      Lapsed.insert(Holder);
  return Lapsed;
}

bool lease_watch::isInOffice(const std::string &Holder) const {
  auto Found = Seen.find(Holder);
  if (Found == Seen.end())
    return true;
  return !Found->second.IsTakenOver && !hasLapsed(Found->second);
}

void lease_watch::onTakeOver(const std::string &Holder) {
  Seen[Holder].IsTakenOver = true;
}

row_version lease_watch::versionOf(const std::string &Holder) const {
  auto Found = Seen.find(Holder);
  return Found == Seen.end() ? 0 : Found->second.Version;
}

} // namespace dragonflyvane
