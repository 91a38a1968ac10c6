/// The witness of other hosts' leases: it answers renewals, and certifies a
/// lapse when it has heard nothing for long enough.
#ifndef DRAGONFLYVANE_CORE_WITNESS_HPP
#define DRAGONFLYVANE_CORE_WITNESS_HPP

#include "dragonflyvane/core/messages.hpp"
#include "dragonflyvane/core/ownership_settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a witness keeps: when it last heard each holder, and what it promised.
/// It remembers nothing over a restart; its new incarnation bars the old
/// renewals instead.
class witness {
public:
  witness(std::string Host, incarnation Incarnation, time_point Start,
          const ownership_timing &Timing, const safety_rules &Rules);

  lease_answer onRenewal(const lease_renewal &Renewal, time_point Now);

  /// The holder gave its lease up itself.
  lapse_certificate onResignation(const host_ref &Holder);

  /// Certifies if the lease has lapsed; otherwise begins to watch the holder.
  std::optional<lapse_certificate> onQuery(const host_ref &Holder,
                                           time_point Now);

  /// The holder's row, read from the table by this daemon itself.
  void onHostRow(const host_record &Record, time_point Now);

  /// New certificates for the leases that have lapsed by now.
  std::vector<lapse_certificate> tick(time_point Now);

  /// How many leases it watches.
  size_t watched() const { return Watches.size(); }

private:
  struct watch {
    time_point LastHeard;
    /// The oldest set version that this process knows of.
    uint64_t OldestSet = 0;
    /// The newest set version that it has read from the table.
    uint64_t KnownSet = 0;
    uint64_t SupersededBelow = 0;
    /// The set of which this process is a member is known.
    bool KnowsSet = false;
  };

  bool isOver(const host_ref &Holder) const;
  watch &watchOf(const host_ref &Holder, time_point Now);
  bool hasLapsed(const watch &Watch, time_point Now) const;
  lapse_certificate certify(const host_ref &Holder);

  std::string Host;
  incarnation Incarnation;
  /// The last tick, and when ticks resumed after a pause of this process.
  time_point LastTick;
  time_point Resumed;
  ownership_timing Timing;
  safety_rules Rules;
  std::map<host_ref, watch> Watches;
  std::map<host_ref, lapse_certificate> Certified;
  /// By host, from rows: generations below it are over.
  std::map<std::string, uint64_t> NewestGeneration;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_WITNESS_HPP
