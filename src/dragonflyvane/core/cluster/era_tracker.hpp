/// What a host may still do after the store has come back from an older copy.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_ERA_TRACKER_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_ERA_TRACKER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/cluster/cluster_view.hpp"
#include "dragonflyvane/core/store.hpp"

#include <optional>

namespace dragonflyvane {

/// The era of the store as this host knows it, and whether the host has kept
/// its lease through the latest return.
class era_tracker {
public:
  /// Makes the era of the first version known; has no effect later.
  void start(row_version FirstVersion, time_point Now);
  /// Returns whether a version shows that the store has come back.
  bool isNew(row_version Version) const { return eraOf(Version) > current(); }
  /// Returns whether a version is of an earlier era than the known one.
  bool isOutdated(row_version Version) const {
    return eraOf(Version) < current();
  }
  /// Begins the era of a version. `GrantsEnd` is the time until which this host
  /// may have granted keys in the era before.
  void beginEra(row_version Version, time_point GrantsEnd, time_point Now);

  /// Returns the known era; 0 before the first response.
  store_era current() const { return Era.value_or(0); }
  /// Returns whether all grants have ended that hosts may have made because of
  /// rows that the return has lost. Until then no map is made or settled.
  bool isQuarantineOver(time_point Now) const;
  /// Whether a map may be changed: it is settled, in the known era.
  bool isSettled(const known_map &Map) const;

  /// Whether this host has to write the map again in the known era: the store
  /// has lost it, or has it from an earlier era, while this host has kept its
  /// lease. Without that write the grants under the map would have to end with
  /// the leases from before the return.
  bool mustRestore(const known_map &Map) const;

  /// Whether the host has held its lease without a gap since before the return,
  /// so that nobody can have taken over its ranges.
  bool hasKeptLease() const { return HasKeptLease; }
  /// Called when the lease was lost, or may have been.
  void onLeaseLost() { HasKeptLease = false; }
  /// Called when a renewal was committed. Returns whether it is the first one
  /// of the era.
  bool onRenewed();
  /// Whether a renewal was committed in the known era.
  bool wasRenewed() const { return RenewedEra == current(); }
  /// Returns the time at which grants under a map must end, if the lease ends
  /// at `LeaseEnd`. Under a map that is not settled only hosts that have kept
  /// their leases grant keys, and those whose map the store does not have only
  /// for as long as their earlier grants last.
  time_point grantDeadline(const known_map &Map, time_point LeaseEnd) const;

private:
  std::optional<store_era> Era;
  time_point SeenAt{};
  store_era RenewedEra = 0;
  bool HasKeptLease = false;
  time_point InheritedGrantsEnd{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_ERA_TRACKER_HPP
