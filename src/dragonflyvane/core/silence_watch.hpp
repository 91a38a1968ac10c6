/// Decides what a connection does whose peer has fallen silent.
#ifndef DRAGONFLYVANE_CORE_SILENCE_WATCH_HPP
#define DRAGONFLYVANE_CORE_SILENCE_WATCH_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/liveness_check.hpp"

#include <cstdint>
#include <optional>

namespace dragonflyvane {

/// What a connection has to do after a check.
enum class silence_action {
  None,
  SendPing,
  /// The peer has fallen silent: end what need not wait, and keep the rest.
  Wait,
  Close
};

/// Watches a connection with a `liveness_check`. When that counts the peer as
/// lost, the connection is closed at once if nothing on it may wait. Otherwise
/// it is kept for a longer time, since a full link or a process that does not
/// run for a while look the same as a loss. The wait ends early if another
/// connection shows that the peer's process runs.
class silence_watch {
public:
  explicit silence_watch(time_point Now) : Liveness(Now) {}

  /// To be called when a response of the peer is expected from now on.
  void onActive(time_point Now) { Liveness.onActive(Now); }
  /// To be called when bytes were received.
  void onReceived(time_point Now);
  /// To be called when a PING is queued that `check` has requested; see
  /// `liveness_check`.
  void onPingQueued(uint64_t PingEnd) { Liveness.onPingQueued(PingEnd); }
  /// To be called when the peer's process has answered on another connection.
  void onPeerRuns(time_point Now);
  /// Returns what to do now; `Wait` once each time that the peer falls silent.
  /// `Accepted` and `HasInput` are those of `liveness_check`. `MayWait` says
  /// whether something on the connection may wait for a silent peer.
  silence_action check(uint64_t Accepted, bool HasInput, bool MayWait,
                       time_point Now);
  /// Whether the peer is silent now.
  bool isSilent() const { return SilentSince.has_value(); }
  /// Whether the peer is silent here, but its process has answered elsewhere.
  bool isAnsweredElsewhere() const { return PeerRunsSince.has_value(); }
  /// Whether the peer has ever been silent.
  bool wasSilent() const { return WasSilent; }
  /// When bytes were last received; at first, when the object was created.
  time_point lastReceived() const { return Liveness.lastReceived(); }
  /// When a PING was last requested; none if there was none.
  std::optional<time_point> lastPing() const { return LastPing; }

private:
  silence_action checkSilence(bool MayWait, time_point Now);

  liveness_check Liveness;
  bool WasSilent = false;
  std::optional<time_point> LastPing;
  std::optional<time_point> SilentSince;
  /// When the peer's process answered elsewhere while it was silent here.
  std::optional<time_point> PeerRunsSince;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_SILENCE_WATCH_HPP
