/// Limits the calls on a path that has failed.
#ifndef DRAGONFLYVANE_CORE_CLUSTER_CIRCUIT_BREAKER_HPP
#define DRAGONFLYVANE_CORE_CLUSTER_CIRCUIT_BREAKER_HPP

#include "dragonflyvane/core/clock.hpp"

#include <optional>

namespace dragonflyvane {

/// Whether a call ends within about a second, or waits for a change.
enum class call_length { Short, Long };

/// The state of a path: closed while it works, open after a failure. An open
/// breaker admits single short calls as probes, with a delay between them; the
/// first one that succeeds closes the breaker. Long calls are no probes, since
/// their result comes late.
class circuit_breaker {
public:
  /// `ProbeDelay` is the delay before each probe.
  explicit circuit_breaker(duration ProbeDelay) : ProbeDelay(ProbeDelay) {}

  /// Whether the path has not failed since its last success.
  bool isClosed() const { return !IsOpen; }
  /// Whether a call may use the path now.
  bool admits(call_length Length, time_point Now) const {
    return !IsOpen || (Length == call_length::Short && Now >= NextProbeAt);
  }
  /// To be called when a call is sent on the path.
  void onSent(time_point Now);
  /// To be called when a call has succeeded.
  void onSuccess(time_point Now);
  /// To be called when a call has failed that was sent at `SentAt`. Does not
  /// count a call that was sent before the breaker opened, nor one since whose
  /// sending another has succeeded: it may have been slow or lost alone.
  void onFailure(time_point SentAt, time_point Now);
  /// To be called when the store has refused a call that was sent at `SentAt`.
  /// A store that is overloaded refuses calls on all paths, so only refusals
  /// without a success for a while count as a failure.
  void onRefusal(time_point SentAt, time_point Now);
  /// When a call last succeeded; long ago before the first one.
  time_point lastSuccess() const { return LastSuccessAt; }

private:
  duration ProbeDelay;
  bool IsOpen = false;
  /// The first refusal since the last success; none if there was none.
  std::optional<time_point> RefusedSince;
  /// When the last failure that counted was noticed.
  time_point FailedAt{};
  time_point LastSuccessAt{};
  time_point NextProbeAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CLUSTER_CIRCUIT_BREAKER_HPP
