/// The leases of hosts: the holder's view of its own lease, and the view of the
/// coordinator, which takes over the ranges of hosts whose leases have expired.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dragonflyvane {

/// How long a renewal is valid, counted from the time it was sent.
inline constexpr std::chrono::milliseconds LeaseDuration{5000};
/// The time between the renewals of a holder.
inline constexpr std::chrono::milliseconds LeaseRenewalPeriod{1500};
/// How long other hosts wait beyond `LeaseDuration` before they treat a lease
/// as expired, since clocks drift.
inline constexpr std::chrono::milliseconds LeaseClockMargin{300};
/// How long holders have to renew once the store is available again. No lease
/// is treated as expired in this time.
inline constexpr std::chrono::milliseconds StoreRecoveryGrace{2000};

/// The value that a takeover writes to the lease row in place of the holder's
/// value.
inline constexpr const char *TakeoverMarker = "{}";

/// The value of a lease row.
struct lease_value {
  /// Identifies the run of the daemon that holds the lease; empty after a
  /// takeover.
  std::string RunId;
  /// The number of the renewal, so that each renewal of a run changes the row.
  uint64_t Count = 0;
  /// The latest time that the store's clock can have shown when the renewal was
  /// sent; zero if the holder had no estimate of the store's clock.
  std::chrono::milliseconds LatestSendTime{0};
  /// The era of the store into which the holder has kept its lease from the era
  /// before; 0 if it has not.
  store_era KeptIntoEra = 0;
};

/// Encodes the value of a lease row.
std::string encodeLease(const lease_value &Lease);
/// Decodes the value of a lease row. A missing or invalid value counts as taken
/// over.
lease_value decodeLease(const std::optional<std::string> &Text);

/// The lease of this host, as its holder sees it.
class host_lease {
public:
  /// Extends the lease: the store committed a renewal that was sent at
  /// `SentAt`.
  void onRenewed(time_point SentAt) { ExpiresAt = SentAt + LeaseDuration; }
  /// Ends the lease, since another host changed its row.
  void onLost() { ExpiresAt = time_point{}; }
  /// Returns the time until which the lease is held.
  time_point expiresAt() const { return ExpiresAt; }
  /// Returns whether the lease is held at `Now`.
  bool isHeld(time_point Now) const { return Now < ExpiresAt; }

private:
  time_point ExpiresAt{};
};

/// The leases of all hosts, as the coordinator observes them. A lease has
/// expired when its row has not changed for `LeaseDuration` and
/// `LeaseClockMargin` together, or when its last renewal was sent longer ago
/// than that, by the store's clock. A known host without a row is treated as if
/// its row had changed when the coordinator first missed it: it may hold a
/// lease from before a return of the store, but none that was renewed since.
class lease_tracker {
public:
  /// Processes all lease rows. `KnownHosts` are the hosts that may have a
  /// lease. `IsStoreStable` says whether the store was available continuously
  /// before the coordinator's first call; later calls ignore it.
  void observe(const row_batch &Batch, const std::set<std::string> &KnownHosts,
               bool IsStoreStable);
  /// Processes a single lease row that a conflict has shown.
  void observeRow(const stored_row &Row);
  /// Returns the hosts whose ranges may be taken over: those whose leases have
  /// expired, and those that have not renewed since a takeover.
  std::set<std::string> expired() const;
  /// Returns the hosts whose lease rows have been unchanged for the duration of
  /// a lease; a takeover is such a change.
  std::set<std::string> unchanged() const;
  /// Returns whether keys may be assigned to the host: its lease has not
  /// expired and was renewed since the last takeover. A host that is not
  /// tracked yet is eligible.
  bool isEligible(const std::string &Holder) const;
  /// Returns whether the leases were observed in this era of the store.
  bool wasObservedIn(store_era Latest) const {
    return StoreTime.count() > 0 && Era == Latest;
  }
  /// Returns whether the holder has kept its lease from the era before into
  /// this one, so that nobody can have taken over its ranges.
  bool hasKeptLease(const std::string &Holder, store_era Era) const;
  /// Records a takeover that was committed under a version. The holder is not
  /// eligible until it renews its lease.
  void onTakeover(const std::string &Holder, row_version Version);
  /// Returns the version of the lease row, which is the precondition of a
  /// takeover; zero if there is no row.
  row_version versionOf(const std::string &Holder) const;
  /// Removes all leases; the next observation counts as the first.
  void clear() { *this = {}; }

private:
  struct tracked_lease {
    row_version Version = 0;
    /// When this version was first observed, by the store's clock.
    std::chrono::milliseconds Since{0};
    /// As in `lease_value`.
    std::chrono::milliseconds LatestSendTime{0};
    bool WasTakenOver = false;
    /// The row has the value of a takeover. An unreadable row has not: its
    /// holder may still rely on the lease.
    bool HasTakeoverMarker = false;
    /// The latest era of `lease_value::KeptIntoEra`, over all runs.
    store_era KeptIntoEra = 0;
  };
  /// Returns the entry of a row, given the entry of its holder so far.
  tracked_lease track(const stored_row &Row) const;
  /// Returns the entry of a host without a row.
  tracked_lease trackMissing(const std::string &Holder) const;
  bool isUnchanged(const tracked_lease &Lease) const;
  bool hasExpired(const tracked_lease &Lease) const;

  std::map<std::string, tracked_lease> TrackedLeases;
  /// The store's clock at the latest observation; zero before the first.
  std::chrono::milliseconds StoreTime{0};
  /// The era of the store at the latest observation.
  store_era Era = 0;
  /// No lease is treated as expired before this time of the store's clock.
  std::chrono::milliseconds GraceUntil{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
