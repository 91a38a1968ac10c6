#include "dragonflyvane/core/cluster/era_tracker.hpp"

#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

void era_tracker::start(row_version FirstVersion, time_point Now) {
  if (Era)
    return;
  Era = eraOf(FirstVersion);
  SeenAt = Now;
}

void era_tracker::beginEra(row_version Version, time_point GrantsEnd,
                           time_point Now) {
  Era = eraOf(Version);
  SeenAt = Now;
  HasKeptLease = GrantsEnd > Now;
  InheritedGrantsEnd = GrantsEnd;
}

bool era_tracker::isQuarantineOver(time_point Now) const {
  if (!Era)
    return false;
  bool HasNeverReturned = *Era == 0;
  return HasNeverReturned || Now - SeenAt >= LeaseDuration + LeaseClockMargin;
}

bool era_tracker::isSettled(const known_map &Map) const {
  return Map.isSettled() && eraOf(Map.Version) == current();
}

bool era_tracker::mustRestore(const known_map &Map) const {
  bool IsOfEarlierEra = HasKeptLease && Map.Content.Era != current();
  return Map.isStoreBehind() || IsOfEarlierEra;
}

bool era_tracker::onRenewed() {
  return std::exchange(RenewedEra, current()) != current();
}

time_point era_tracker::grantDeadline(const known_map &Map,
                                      time_point LeaseEnd) const {
  if (isSettled(Map))
    return LeaseEnd;
  if (!HasKeptLease)
    return {};
  bool IsInStore = !Map.isStoreBehind() && Map.Content.Era == current();
  return IsInStore ? LeaseEnd : std::min(LeaseEnd, InheritedGrantsEnd);
}

} // namespace dragonflyvane
