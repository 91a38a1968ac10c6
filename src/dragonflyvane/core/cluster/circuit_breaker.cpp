#include "dragonflyvane/core/cluster/circuit_breaker.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Refusals count as a failure of the path after this time without a success.
constexpr std::chrono::milliseconds MaxRefusalTime{1500};

} // namespace

void circuit_breaker::onSent(time_point Now) {
  if (IsOpen)
    NextProbeAt = std::max(NextProbeAt, Now + ProbeDelay);
}

void circuit_breaker::onSuccess(time_point Now) {
  IsOpen = false;
  RefusedSince.reset();
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

void circuit_breaker::onRefusal(time_point SentAt, time_point Now) {
  if (!RefusedSince)
    RefusedSince = Now;
  if (IsOpen || Now - *RefusedSince >= MaxRefusalTime)
    onFailure(SentAt, Now);
}

} // namespace dragonflyvane
