#include "dragonflyvane/core/liveness_check.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// A PING is sent when nothing was received for this long.
constexpr std::chrono::milliseconds IdleBeforePing{200};
/// A peer that neither responds nor shows progress for this long after a PING
/// is lost.
constexpr std::chrono::milliseconds PingTimeout{500};

} // namespace

void liveness_check::onActive(time_point Now) {
  ActiveSince = Now;
  PingPending = false;
}

void liveness_check::onReceived(time_point Now) {
  LastReceived = Now;
  PingPending = false;
}

liveness_action liveness_check::check(uint64_t Accepted, bool HasInput,
                                      time_point Now) {
  uint64_t Before = std::exchange(KnownAccepted, Accepted);
  if (HasInput)
    return liveness_action::None;
  if (PingPending) {
    if (Accepted > Before && Before < PingEnd)
      LastProgress = Now;
    bool IsLost = Now - LastProgress > PingTimeout;
    return IsLost ? liveness_action::Close : liveness_action::None;
  }
  if (Now - std::max(LastReceived, ActiveSince) <= IdleBeforePing)
    return liveness_action::None;
  PingPending = true;
  LastProgress = Now;
  PingEnd = std::numeric_limits<uint64_t>::max();
  return liveness_action::SendPing;
}

} // namespace dragonflyvane
