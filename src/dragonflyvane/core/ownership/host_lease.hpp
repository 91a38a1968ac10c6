/// The lease of a host, as its holder and as others see it.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dragonflyvane {

/// How long a renewal lasts, from its sending.
inline constexpr std::chrono::milliseconds LeaseDuration{5000};
/// How often a holder renews.
inline constexpr std::chrono::milliseconds LeaseRenewalPeriod{1500};
/// What others wait beyond `LeaseDuration`, since clocks drift.
inline constexpr std::chrono::milliseconds LeaseClockMargin{300};
/// After the store was away, holders get so long to renew.
inline constexpr std::chrono::milliseconds StoreRecoveryGrace{2000};

/// What a takeover writes in place of the holder's value.
inline constexpr const char *TakeoverMarker = "{}";

/// The row of a lease.
struct lease_value {
  /// The run of the daemon that holds it; empty after a takeover.
  std::string RunId;
  /// Differs for each renewal of a run.
  uint64_t Count = 0;
  /// The latest that the store's clock can have shown when the renewal was
  /// sent; zero if the holder did not know.
  std::chrono::milliseconds SentBy{0};
};

std::string encodeLease(const lease_value &Lease);
/// A text that is no lease counts as taken over.
lease_value decodeLease(const std::optional<std::string> &Text);

/// The holder's view.
class host_lease {
public:
  /// The store committed a renewal that was sent at this moment.
  void onRenewed(time_point SentAt) { ExpiresAt = SentAt + LeaseDuration; }
  /// Somebody else changed the row: the lease is over.
  void onLost() { ExpiresAt = time_point{}; }
  time_point expiresAt() const { return ExpiresAt; }
  bool isHeld(time_point Now) const { return Now < ExpiresAt; }

private:
  time_point ExpiresAt{};
};

/// The view of one who may take over: a lease has lapsed when its row did not
/// change for the whole length and margin, or its last renewal was sent longer
/// ago than that, by the store's own clock.
class lease_tracker {
public:
  /// The lease rows as the store showed them. `IsStoreStable` tells whether the
  /// store was there for the observer all the while before a first look.
  void observe(const row_batch &Batch, bool IsStoreStable);
  std::set<std::string> expired() const;
  /// Whether the host may be given keys: its lease has not lapsed, and it has
  /// renewed it since it was last taken over.
  bool isEligible(const std::string &Holder) const;
  /// A takeover has begun; until the holder renews again it is out.
  void onTakeover(const std::string &Holder);
  /// The version that a takeover has to name as its condition.
  row_version versionOf(const std::string &Holder) const;
  void clear() { *this = {}; }

private:
  struct seen {
    row_version Version = 0;
    std::chrono::milliseconds Since{0};
    std::chrono::milliseconds SentBy{0};
    bool IsTakenOver = false;
  };
  bool hasExpired(const seen &Row) const;

  std::map<std::string, seen> Seen;
  std::chrono::milliseconds StoreTime{0};
  /// No lease counts as lapsed before this moment of the store's clock.
  std::chrono::milliseconds GraceUntil{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
