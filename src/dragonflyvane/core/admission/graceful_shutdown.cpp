#include "dragonflyvane/core/admission/graceful_shutdown.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Callers need this long to switch to other hosts.
constexpr std::chrono::milliseconds AcceptTime{2200};
/// A request that must not be repeated begins only if this many times its usual
/// time is left.
constexpr int NotIdempotentReserve = 2;

} // namespace

void graceful_shutdown::begin() {
  if (!StartedAt)
    StartedAt = Clock.now();
}

bool graceful_shutdown::isDraining() const {
  return hasBegun() && acceptTimeLeft() == duration{0};
}

duration graceful_shutdown::acceptTimeLeft() const {
  if (!StartedAt)
    return AcceptTime;
  return std::max<duration>(duration{0}, *StartedAt + AcceptTime - Clock.now());
}

time_point graceful_shutdown::lastResponseAt() const {
  return StartedAt ? *StartedAt + Timeout - ResponseMargin : time_point::max();
}

time_point graceful_shutdown::deadlineOf(time_point Deadline) const {
  return std::min(Deadline, lastResponseAt());
}

bool graceful_shutdown::admits(const beginning_request &Request) const {
  if (!hasBegun())
    return true;
  if (isDraining() && !Request.IsNestedCall)
    return false;
  if (Request.Deadline <= lastResponseAt())
    return true;
  if (!Request.UsualTime)
    return false;
  int Reserve = Request.Idempotent ? 1 : NotIdempotentReserve;
  return Clock.now() + *Request.UsualTime * Reserve <= lastResponseAt();
}

} // namespace dragonflyvane
