#include "dragonflyvane/core/concurrency_limit.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Share of the slots that a server is given at first, and the least it is
/// given for being slow; one that sheds may get down to a single request.
constexpr double StartShare = 0.2;
constexpr double FastGrowth = 1.5;
constexpr double ShrinkFactor = 0.5;
constexpr std::chrono::milliseconds GrowthPeriod{150};
constexpr std::chrono::milliseconds ShrinkPeriod{200};
constexpr double SmoothingShare = 0.15;
/// The baseline is the mean over many requests, but for times of slowness.
constexpr double BaselineDrift = 0.002;
/// Latency is bad from so many times the baseline, and so much more.
constexpr double SlowFactor = 2;
constexpr double SlowSeconds = 0.002;

double startOf(uint32_t Slots) { return std::max(1.0, Slots * StartShare); }

} // namespace

concurrency_limit::concurrency_limit(uint32_t Slots)
    : Slots(Slots), Limit(startOf(Slots)), Threshold(Slots) {}

void concurrency_limit::setSlots(uint32_t Slots) {
  if (this->Slots == Slots)
    return;
  this->Slots = Slots;
  Limit = std::min(Limit, static_cast<double>(Slots));
  Threshold = Slots;
}

uint32_t concurrency_limit::current() const {
  return std::max(1U, static_cast<uint32_t>(Limit));
}

bool concurrency_limit::isSlow() const {
  return Smoothed > Baseline * SlowFactor + SlowSeconds;
}

void concurrency_limit::onEnd(request_end End, duration Latency,
                              time_point Now) {
  if (End == request_end::Overloaded)
    return shrink(1, Now);
  double Seconds = std::chrono::duration<double>(Latency).count();
  if (Baseline == 0)
    Baseline = Smoothed = Seconds;
  Smoothed += SmoothingShare * (Seconds - Smoothed);
  if (isSlow())
    return shrink(startOf(Slots), Now);
  Baseline += BaselineDrift * (Seconds - Baseline);
  grow(Now);
}

void concurrency_limit::grow(time_point Now) {
  if (!Saturated || Now - LastGrowth < GrowthPeriod)
    return;
  Saturated = false;
  LastGrowth = Now;
  double Next = Limit < Threshold ? Limit * FastGrowth : Limit + 1;
  Limit = std::min(Next, static_cast<double>(Slots));
}

void concurrency_limit::shrink(double Least, time_point Now) {
  if (Now - LastShrink < ShrinkPeriod)
    return;
  LastShrink = Now;
  LastGrowth = Now;
  Limit = std::min(Limit, std::max(Least, Limit * ShrinkFactor));
  Threshold = Limit;
  Saturated = false;
}

} // namespace dragonflyvane
