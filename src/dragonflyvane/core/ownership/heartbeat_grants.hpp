/// Tracks which ranges are granted to the local backend server, and which
/// ranges it may still hold.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A range that a backend server reports as held or as still in use by
/// requests.
struct held_range {
  key_point First = 0;
  /// The last key point of the range, inclusive.
  key_point Last = 0;
  /// The fencing token under which the range was granted.
  uint64_t Token = 0;
};

/// A range that a backend server has released, with the handover for the next
/// owner.
struct released_range {
  key_point First = 0;
  key_point Last = 0;
  std::string Handover;
};

/// The ranges that a heartbeat reports.
struct held_keys {
  /// All ranges that are held or in use.
  std::vector<held_range> Held;
  /// The ranges that were released, the oldest release first.
  std::vector<released_range> Released;
};

/// A range of a grant, with the handover of the previous owner.
struct granted_range {
  key_point First = 0;
  key_point Last = 0;
  uint64_t Token = 0;
  std::string Handover;
};

/// The response to a heartbeat: all ranges that the backend server is to hold.
struct grant {
  std::vector<granted_range> Ranges;
  /// How long the server may hold the ranges, counted from the time it sent its
  /// heartbeat.
  std::chrono::milliseconds HoldDuration{0};
};

/// A range that this host owns in the map and that its backend server certainly
/// does not hold any more.
struct releasable_range {
  owned_range Range;
  std::string Handover;
};

/// Decides the grants to the current incarnation of the local backend server.
class grant_tracker {
public:
  /// The options of a tracker.
  struct options {
    /// The name of this host.
    std::string Host;
    /// The longest hold duration of a grant.
    std::chrono::milliseconds MaxHoldDuration{0};
    /// How long an outgoing range is still granted, so that the backend server
    /// of its next owner already sends heartbeats quickly when the range is
    /// released.
    std::chrono::milliseconds ReleaseDelay{0};
  };

  /// Grants of an earlier run of the daemon may be in force until
  /// `MaxHoldDuration` has passed from `Now`.
  grant_tracker(const options &Options, time_point Now)
      : Options(Options), LastHoldExpiry(Now + Options.MaxHoldDuration) {}

  /// Updates the outgoing ranges: the ranges of this host that are planned to
  /// move or, with `ReleaseAll`, all of its ranges. To be called after each
  /// change of the map and before the other functions.
  void observe(const ownership_map &Map, bool ReleaseAll, time_point Now);

  /// Processes a heartbeat of an incarnation and returns the grant to respond
  /// with. The grant ends before `Until`, the end of the host's lease; returns
  /// nothing if too little time is left.
  std::optional<grant> onHeartbeat(const server_incarnation &Incarnation,
                                   const held_keys &Keys,
                                   const ownership_map &Map, time_point Until,
                                   time_point Now);
  /// Records that the daemon starts to write the range as unowned. The range is
  /// not granted again under its current token, even if the write fails.
  void relinquish(const owned_range &Range);
  /// Records that the backend server has certainly terminated and holds no
  /// range.
  void onServerTerminated();

  /// Returns whether the latest grant includes the key point and has not
  /// expired at `Now`.
  bool holds(key_point Point, time_point Now) const;
  /// Returns the ranges of this host that no server holds any more and that are
  /// no longer granted, because they are outgoing, relinquished or assigned to
  /// another incarnation.
  std::vector<releasable_range> releasableRanges(const ownership_map &Map,
                                                 time_point Now) const;

private:
  /// A range that this host is to release, and the time at which `observe`
  /// first found it.
  struct outgoing_range {
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    time_point Since{};
  };

  /// Returns whether the next grant includes the range.
  bool shouldGrant(const owned_range &Range, time_point Now) const;
  const outgoing_range *findOutgoing(const owned_range &Range) const;
  bool isOutgoing(const granted_range &Range) const;
  /// Returns whether a range is planned to move to or from this host.
  bool hasMovingRange(const ownership_map &Map) const;
  /// Withholds one key point from the grant, so that the backend server sends
  /// its next heartbeat at once.
  void withholdOnePoint(std::vector<granted_range> &Ranges);
  bool isRelinquished(const owned_range &Range) const;
  /// Returns whether the backend server may hold a part of the range.
  bool mayHold(const owned_range &Range, time_point Now) const;
  /// Returns the handover of the newest release that covers the range, or an
  /// empty text.
  std::string handoverOf(const owned_range &Range) const;

  options Options;
  server_incarnation Incarnation;
  /// Whether `Held` is known: false from the start of the daemon until the
  /// first heartbeat or until the backend server has terminated.
  bool IsHeldKnown = false;
  /// The ranges of the latest grant.
  std::vector<granted_range> Granted;
  /// The ranges reported as held or in use by the latest heartbeat.
  std::vector<held_range> Held;
  /// The releases of the current incarnation, oldest first.
  std::vector<released_range> Released;
  /// The ranges passed to `relinquish`, oldest first.
  std::vector<held_range> Relinquished;
  std::vector<outgoing_range> OutgoingRanges;
  /// Whether the last key point was withheld most recently, and not the key
  /// point before it.
  bool WithheldLastPoint = false;
  /// The time by which every hold has expired, even by the slowest clock of a
  /// backend server.
  time_point LastHoldExpiry;
  /// The time until which requests may be sent under the latest grant.
  time_point GrantExpiry{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP
