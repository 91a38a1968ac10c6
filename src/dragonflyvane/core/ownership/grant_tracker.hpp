/// What the local backend server is told to hold, and what it may still hold.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A range that a backend server says it holds or still works on.
struct held_range {
  key_point First = 0;
  key_point Last = 0;
  uint64_t Token = 0;
};

/// A range that a backend server has released, and what the next owner is to
/// be given.
struct released_range {
  key_point First = 0;
  key_point Last = 0;
  std::string Handover;
};

/// What one heartbeat says about keys.
struct held_keys {
  std::vector<held_range> Held;
  std::vector<released_range> Released;
};

/// A range to hold, as told in the answer to a heartbeat.
struct granted_range {
  key_point First = 0;
  key_point Last = 0;
  uint64_t Token = 0;
  std::string Handover;
};

/// The answer to a heartbeat: everything the backend server is to hold.
struct grant {
  std::vector<granted_range> Ranges;
  /// Counted by the backend server from the sending of its heartbeat.
  std::chrono::milliseconds HoldDuration{0};
};

/// A range of this host whose backend server certainly holds it no more.
struct releasable_range {
  owned_range Range;
  std::string Handover;
};

/// Grants to one life of one backend server.
class grant_tracker {
public:
  struct terms {
    std::string Host;
    /// The longest hold that may be given.
    std::chrono::milliseconds MaxHoldDuration{0};
    /// A range that is to move is released only after this, so that its
    /// receiver has begun to send heartbeats quickly.
    std::chrono::milliseconds MoveDelay{0};
  };

  /// What an earlier run of the daemon granted may be out until
  /// `MaxHoldDuration` has passed.
  grant_tracker(const terms &Terms, time_point Now)
      : Terms(Terms), HoldsEnd(Now + Terms.MaxHoldDuration) {}

  /// Takes note of which ranges are to go. To be called with each news of the
  /// map, and before the other functions.
  void observe(const ownership_map &Map, bool ReleaseAll, time_point Now);

  /// A heartbeat of a life came in; the grant to answer with. Nothing is
  /// granted beyond `Until`, the end of the host's lease.
  std::optional<grant> onHeartbeat(const server_incarnation &Incarnation,
                                   const held_keys &Keys,
                                   const ownership_map &Map, time_point Until,
                                   time_point Now);
  /// The daemon begins to write that nobody owns the range. Whatever becomes of
  /// the write, the range is not granted again under its present token.
  void relinquish(const owned_range &Range);
  /// The backend server has certainly ended: it holds nothing.
  void onServerTerminated();

  /// Whether the backend server was told that it holds the point, and still
  /// does for a while.
  bool holds(key_point Point, time_point Now) const;
  /// The ranges of this host that are to go, or belong to an earlier life, and
  /// that nobody holds any more.
  std::vector<releasable_range> releasableRanges(const ownership_map &Map,
                                                 time_point Now) const;

private:
  /// A range that is to go, and since when that is known.
  struct leaving_range {
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    time_point Since{};
  };

  bool wants(const owned_range &Range, time_point Now) const;
  const leaving_range *findLeaving(const owned_range &Range) const;
  bool leaves(const granted_range &Range) const;
  bool movesRange(const ownership_map &Map) const;
  void leaveOnePointOut(std::vector<granted_range> &Ranges);
  bool isRelinquished(const owned_range &Range) const;
  bool mayHold(const owned_range &Range, time_point Now) const;
  std::string handoverOf(const owned_range &Range) const;

  terms Terms;
  server_incarnation Incarnation;
  /// Whether `Held` tells what this life holds.
  bool HeldIsKnown = false;
  std::vector<granted_range> Granted;
  std::vector<held_range> Held;
  std::vector<released_range> Released;
  std::vector<held_range> Relinquished;
  std::vector<leaving_range> Leaving;
  /// Which of two points was left out last.
  bool LeftOutLast = false;
  /// When the last hold that may be out has run out by any clock.
  time_point HoldsEnd;
  /// Until when requests may be sent under the last grant.
  time_point GrantEnd{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_TRACKER_HPP
