/// Tells which incarnation of the local backend server runs now, from
/// heartbeats that may arrive late and start times that may come from a wrong
/// clock.
#ifndef DRAGONFLYVANE_CORE_OWNERSHIP_INCARNATION_TRACKER_HPP
#define DRAGONFLYVANE_CORE_OWNERSHIP_INCARNATION_TRACKER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <cstdint>
#include <set>

namespace dragonflyvane {

/// What a heartbeat says about the incarnation that runs.
enum class heartbeat_origin {
  /// The known incarnation sent it.
  Current,
  /// A new incarnation sent it, and is the known one from now on.
  New,
  /// It arrived late, or its incarnation has ended, or cannot be told from one
  /// that has ended yet.
  Outdated,
};

/// Orders incarnations. A later start time is enough for an incarnation that
/// was not seen before. Any other one replaces the known one only if that one
/// has stopped to send heartbeats and the other goes on to send them, because
/// the wall clock of a server may have been set back. An unknown start time is
/// not later than any.
class incarnation_tracker {
public:
  /// An incarnation that sent no heartbeat for longer than `MaxSilence` may be
  /// replaced by one with an earlier start time.
  explicit incarnation_tracker(duration MaxSilence) : MaxSilence(MaxSilence) {}

  /// Processes a heartbeat with its sequence number.
  heartbeat_origin onHeartbeat(const server_incarnation &Sender,
                               uint64_t Sequence, time_point Now);
  /// The incarnation that runs; empty before the first heartbeat.
  const server_incarnation &current() const { return Current; }

private:
  bool mayReplaceCurrent(const server_incarnation &Sender, uint64_t Sequence,
                         time_point Now);

  duration MaxSilence;
  server_incarnation Current;
  /// The sequence number of the latest heartbeat of `Current`, and its arrival.
  uint64_t Sequence = 0;
  time_point LastHeartbeatAt{};
  /// Incarnations that were replaced.
  std::set<server_incarnation> Replaced;
  /// The latest sender that is neither current nor certainly newer.
  server_incarnation Candidate;
  uint64_t CandidateSequence = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_OWNERSHIP_INCARNATION_TRACKER_HPP
