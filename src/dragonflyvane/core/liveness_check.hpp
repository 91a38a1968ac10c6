/// Decides when a connection is checked, and when its peer counts as lost.
#ifndef DRAGONFLYVANE_CORE_LIVENESS_CHECK_HPP
#define DRAGONFLYVANE_CORE_LIVENESS_CHECK_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>
#include <limits>

namespace dragonflyvane {

/// What a connection has to do after a check.
enum class liveness_action { None, SendPing, Close };

/// Checks a connection with a PING when nothing was received for a while. The
/// peer is lost if it neither responds in time nor shows progress. Bytes that
/// are received are progress. So are bytes that the peer's host accepts, up to
/// the end of the PING: the PING proves nothing before it has arrived, but its
/// own arrival and that of later bytes only show that the host exists.
class liveness_check {
public:
  explicit liveness_check(time_point Now)
      : LastReceived(Now), ActiveSince(Now) {}

  /// To be called when a response of the peer is expected from now on.
  void onActive(time_point Now);
  /// To be called when bytes were received.
  void onReceived(time_point Now);
  /// To be called when the PING is queued. `PingEnd` is the number of its last
  /// byte among all bytes that the connection sends.
  void onPingQueued(uint64_t PingEnd) { this->PingEnd = PingEnd; }
  /// Returns what to do now. `Accepted` is the number of bytes that the peer's
  /// host has accepted so far. `HasInput` says whether received bytes have not
  /// been read yet, as after a pause of this process.
  liveness_action check(uint64_t Accepted, bool HasInput, time_point Now);
  /// When bytes were last received; at first, when the object was created.
  time_point lastReceived() const { return LastReceived; }
  /// When the last PING was requested, or the peer's host accepted further
  /// bytes up to its end.
  time_point lastProgress() const { return LastProgress; }

private:
  time_point LastReceived;
  time_point ActiveSince;
  bool PingPending = false;
  time_point LastProgress{};
  uint64_t PingEnd = 0;
  uint64_t KnownAccepted = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_LIVENESS_CHECK_HPP
