/// The lease of a host, as its holder and as others see it.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/store.hpp"

#include <map>
#include <set>
#include <string>

namespace dragonflyvane {

/// How long a renewal lasts, from its sending.
inline constexpr std::chrono::milliseconds LeaseLength{5000};
/// How often a holder renews.
inline constexpr std::chrono::milliseconds LeaseRenewalPeriod{1500};
/// What others wait beyond `LeaseLength`, since clocks drift.
inline constexpr std::chrono::milliseconds LeaseMargin{300};
/// After the store was away, holders get so long to renew.
inline constexpr std::chrono::milliseconds LeaseReturnGrace{2000};

/// What a takeover writes in place of the holder's value.
inline constexpr const char *TakenOverLease = "{}";

/// The holder's view.
class host_lease {
public:
  /// The store committed a renewal that was sent at this moment.
  void renewed(time_point SentAt) { Until = SentAt + LeaseLength; }
  /// Somebody else changed the row: the lease is over.
  void lost() { Until = time_point{}; }
  time_point until() const { return Until; }
  bool isHeld(time_point Now) const { return Now < Until; }

private:
  time_point Until{};
};

/// The view of one who may take over: a lease has lapsed when its row did not
/// change for the whole length and margin, by the store's own clock.
class lease_watch {
public:
  /// The lease rows as the store showed them.
  void observe(const row_batch &Batch);
  std::set<std::string> lapsed() const;
  /// Whether the host may be given keys: its lease has not lapsed, and it has
  /// renewed it since it was last taken over.
  bool isInOffice(const std::string &Holder) const;
  /// A takeover has begun; until the holder renews again it is out.
  void onTakeOver(const std::string &Holder);
  /// The version that a takeover has to name as its condition.
  row_version versionOf(const std::string &Holder) const;
  void clear() { Seen.clear(); }

private:
  struct seen {
    row_version Version = 0;
    std::chrono::milliseconds Since{0};
    bool IsTakenOver = false;
  };
  bool hasLapsed(const seen &Row) const;

  std::map<std::string, seen> Seen;
  std::chrono::milliseconds StoreTime{0};
  /// No lease counts as lapsed before this moment of the store's clock.
  std::chrono::milliseconds GraceUntil{0};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_HOST_LEASE_HPP
