/// How many requests a backend server is given at once: few after a cold start,
/// more while it keeps up, fewer when it sheds or slows down.
#ifndef DRAGONFLYVANE_CORE_CONCURRENCY_LIMIT_HPP
#define DRAGONFLYVANE_CORE_CONCURRENCY_LIMIT_HPP

#include "dragonflyvane/core/clock.hpp"

#include <cstdint>

namespace dragonflyvane {

/// How a request at a backend server ended.
enum class request_end {
  Good,
  /// It shed the request, or did not answer in time.
  Overloaded,
};

/// Additive increase, multiplicative decrease, with a slow start. It learns
/// from latency too, so that a server that turns cold without warning is spared
/// before it falls over.
class concurrency_limit {
public:
  explicit concurrency_limit(uint32_t Slots = 1);

  /// The server announced another number of slots.
  void setSlots(uint32_t Slots);
  bool mayStart(uint32_t Running) const { return Running < current(); }
  /// To be called when a request could not start for lack of room.
  void noteSaturated() { Saturated = true; }
  void onEnd(request_end End, duration Latency, time_point Now);
  uint32_t current() const;

private:
  void grow(time_point Now);
  void shrink(double Least, time_point Now);
  bool isSlow() const;

  uint32_t Slots;
  double Limit;
  /// Up to here the limit grows fast.
  double Threshold;
  /// Latency in seconds: what is usual, and what it is now.
  double Baseline = 0;
  double Smoothed = 0;
  bool Saturated = false;
  time_point LastGrowth;
  time_point LastShrink;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_CONCURRENCY_LIMIT_HPP
