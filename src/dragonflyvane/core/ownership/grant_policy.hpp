/// Decides which ranges the local backend server is to hold, and until when.
/// The decisions do not depend on how the server is told.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_POLICY_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_POLICY_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/granted_keys.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A hold may last longer than granted by at most this factor, since the clock
/// of a backend server may run slow.
inline constexpr double MaxClockSlowdown = 1.02;
/// A grant for a shorter hold is not worth sending.
inline constexpr std::chrono::milliseconds MinHoldDuration{50};

/// Returns the longest time for which a hold can last after it has begun.
inline duration longestHold(std::chrono::milliseconds HoldDuration) {
  return std::chrono::duration_cast<duration>(HoldDuration * MaxClockSlowdown);
}

/// The ranges that the current incarnation of the local backend server is to
/// hold.
class grant_policy {
public:
  /// The options of a policy.
  struct options {
    /// The name of this host.
    std::string Host;
    /// The longest hold duration of a grant.
    std::chrono::milliseconds MaxHoldDuration{0};
    /// How long an outgoing range is still granted while its next owner is not
    /// planned.
    std::chrono::milliseconds UnplannedReleaseDelay{0};
    /// How long an outgoing range is still granted once its next owner is
    /// planned.
    std::chrono::milliseconds PlannedReleaseDelay{0};
  };

  explicit grant_policy(options PolicyOptions)
      : Options(std::move(PolicyOptions)) {}

  /// Changes how long an outgoing range with a next owner is still granted.
  void setPlannedReleaseDelay(std::chrono::milliseconds Delay) {
    Options.PlannedReleaseDelay = Delay;
  }
  /// Sets the incarnation that ranges may be granted to.
  void startIncarnation(const server_incarnation &NewIncarnation) {
    Incarnation = NewIncarnation;
  }
  const server_incarnation &incarnation() const { return Incarnation; }

  /// Updates the outgoing ranges: the ranges of this host that are planned to
  /// move or, if all ranges have had to be released since `ReleaseAllSince`,
  /// all of them. That time may lie before the first call. To be called after
  /// each change of the map and before the other functions.
  void observe(const ownership_map &Map,
               std::optional<time_point> ReleaseAllSince, time_point Now);
  /// Records that the daemon starts to write the range as unowned. The range is
  /// not granted again under its current token, even if the write fails.
  void relinquish(const owned_range &Range);

  /// Returns whether the range belongs to this host.
  bool isOwn(const owned_range &Range) const {
    return Range.Owner == Options.Host;
  }
  /// Returns whether the backend server is to hold the range.
  bool shouldGrant(const owned_range &Range, time_point Now) const;
  /// Returns whether a granted range is to be released soon.
  bool isOutgoing(const granted_range &Range) const;
  /// Returns whether a range is planned to move to or from this host.
  bool hasMovingRange(const ownership_map &Map) const;
  /// Returns the hold duration of a grant that must have ended before `Until`
  /// even by the slowest clock, if the hold begins at `Start` at the latest.
  std::chrono::milliseconds holdDuration(time_point Start,
                                         time_point Until) const;

private:
  /// A range that this host is to release, and since when: the time at which
  /// `observe` first found it, or the given one if that is earlier.
  struct outgoing_range {
    key_point First = 0;
    key_point Last = 0;
    uint64_t Token = 0;
    time_point Since{};
    /// When its next owner was first found; zero while there is none.
    time_point PlannedSince{};
  };

  const outgoing_range *findOutgoing(const owned_range &Range) const;
  bool isRelinquished(const owned_range &Range) const;

  options Options;
  server_incarnation Incarnation;
  std::vector<outgoing_range> OutgoingRanges;
  /// The ranges passed to `relinquish`, oldest first.
  std::vector<held_range> Relinquished;
};

/// A way of granting: it knows what the backend server may hold.
template <typename T>
concept grant_method = requires(T Method, const T &Const,
                                const owned_range &Range, key_point Point,
                                time_point Now) {
  /// Whether requests for the key point may be sent to the server.
  { Const.holds(Point, Now) } -> std::same_as<bool>;
  /// Whether the server may hold a part of the range.
  { Const.mayHold(Range, Now) } -> std::same_as<bool>;
  /// The handover of the newest release of the range; empty without one.
  { Const.handoverOf(Range) } -> std::same_as<std::string>;
  /// A new incarnation has sent its first heartbeat.
  Method.startIncarnation(Now);
  /// The server has certainly terminated and holds nothing.
  Method.onServerTerminated();
};

/// Returns the ranges of this host that are not to be held, and that no server
/// holds any more.
template <grant_method Method>
std::vector<releasable_range>
releasableRanges(const grant_policy &Policy, const Method &Grants,
                 const ownership_map &Map, time_point Now) {
  std::vector<releasable_range> Releasable;
  for (const owned_range &Range : Map.Ranges)
    if (Policy.isOwn(Range) && !Policy.shouldGrant(Range, Now) &&
        !Grants.mayHold(Range, Now))
      Releasable.push_back({Range, Grants.handoverOf(Range)});
  return Releasable;
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_GRANT_POLICY_HPP
