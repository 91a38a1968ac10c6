#include "dragonflyvane/core/admission/in_flight_bytes.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// A crash does not cut the allowance below this.
constexpr size_t MinAllowance = size_t{64} << 10;
/// The allowance rises to this multiple of what the server held when it
/// completed a request.
constexpr double Growth = 1.25;
/// Fractions of the bytes that a server held when it crashed: the allowance
/// after the crash, and its upper bound while the crash counts.
constexpr double CutFraction = 0.5;
constexpr double CeilingFraction = 0.75;
/// A lost connection belongs to a crash that is detected within this time.
constexpr std::chrono::seconds CrashWindow{8};
/// How long the first crash counts, and the longest time for a later one.
constexpr std::chrono::seconds FirstCeilingTime{60};
constexpr std::chrono::seconds MaxCeilingTime{960};

size_t scale(size_t Bytes, double Factor) {
  return static_cast<size_t>(static_cast<double>(Bytes) * Factor);
}

} // namespace

bool in_flight_bytes::admits(size_t Bytes) const {
  return isSmall(Bytes) || InFlight == 0 || InFlight + Bytes <= Allowance;
}

uint32_t in_flight_bytes::concurrencyOf(size_t Bytes) const {
  if (isSmall(Bytes))
    return std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(std::max<size_t>(1, Allowance / Bytes));
}

void in_flight_bytes::onCompleted(size_t Bytes, time_point Now) {
  if (Now >= CeilingUntil)
    Ceiling = std::numeric_limits<size_t>::max();
  size_t Shown = std::min(scale(InFlight, Growth), Ceiling);
  Allowance = std::max(Allowance, Shown);
  onEnded(Bytes);
}

void in_flight_bytes::onConnectionLost(size_t Bytes, time_point Now) {
  if (Now - LostAt > CrashWindow)
    HeldAtLoss = 0;
  LostAt = Now;
  HeldAtLoss = std::max(HeldAtLoss, InFlight);
  onEnded(Bytes);
}

bool in_flight_bytes::onServerEnded(time_point Now) {
  size_t Held = std::exchange(HeldAtLoss, 0);
  if (Held <= SmallBody || Now - LostAt > CrashWindow)
    return false;
  Allowance =
      std::max(MinAllowance, std::min(Allowance, scale(Held, CutFraction)));
  Ceiling = std::max(MinAllowance, scale(Held, CeilingFraction));
  CeilingTime =
      std::clamp<duration>(2 * CeilingTime, FirstCeilingTime, MaxCeilingTime);
  CeilingUntil = Now + CeilingTime;
  return true;
}

} // namespace dragonflyvane
