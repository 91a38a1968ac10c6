#include "dragonflyvane/core/cluster/circuit_breaker.hpp"

#include <algorithm>

namespace dragonflyvane {

void circuit_breaker::onSent(time_point Now) {
  if (IsOpen)
    NextProbeAt = std::max(NextProbeAt, Now + ProbeDelay);
}

void circuit_breaker::onSuccess(time_point Now) {
  IsOpen = false;
  LastSuccessAt = Now;
}

void circuit_breaker::onFailure(time_point SentAt, time_point Now) {
  bool HasCounted = IsOpen && SentAt < FailedAt;
  if (HasCounted || SentAt < LastSuccessAt)
    return;
  IsOpen = true;
  FailedAt = Now;
  NextProbeAt = Now + ProbeDelay;
}

} // namespace dragonflyvane
