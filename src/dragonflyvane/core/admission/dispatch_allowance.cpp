#include "dragonflyvane/core/admission/dispatch_allowance.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// Requests that a cold server may receive in one burst.
constexpr double WarmupBurst = 2;
/// A limited server may receive the requests of this many seconds in one burst,
/// and always a whole request.
constexpr double LimitBurstSeconds = 0.5;
constexpr double MinLimitBurst = 1;
/// In requests per second. A server that takes none still gets one now and
/// then: only a response shows that the limit has ended.
constexpr double MinLimitRate = 0.5;

void update(std::optional<token_bucket> &Bucket,
            const std::optional<double> &Rate, double Burst, time_point Now) {
  if (!Rate)
    Bucket.reset();
  else if (!Bucket)
    Bucket.emplace(*Rate, Burst, Now);
  else
    Bucket->resize(*Rate, Burst, Now);
}

} // namespace

void dispatch_allowance::update(const dispatch_rates &Rates, time_point Now) {
  dragonflyvane::update(Warmup, Rates.Warmup, WarmupBurst, Now);
  std::optional<double> LimitRate = Rates.Limit;
  if (LimitRate)
    LimitRate = std::max(*LimitRate, MinLimitRate);
  double Burst =
      std::max(LimitRate.value_or(0) * LimitBurstSeconds, MinLimitBurst);
  dragonflyvane::update(Limit, LimitRate, Burst, Now);
}

duration dispatch_allowance::delayOf(size_t Position, time_point Now) const {
  double Amount = static_cast<double>(Position) + 1;
  duration Delay{0};
  for (const auto *Bucket : {&Warmup, &Limit})
    if (*Bucket)
      Delay = std::max(Delay, (*Bucket)->timeUntilTokens(Amount, Now));
  return Delay;
}

void dispatch_allowance::take(time_point Now) {
  for (auto *Bucket : {&Warmup, &Limit})
    if (*Bucket)
      (*Bucket)->take(1, Now);
}

void dispatch_allowance::refund() {
  for (auto *Bucket : {&Warmup, &Limit})
    if (*Bucket)
      (*Bucket)->refund();
}

} // namespace dragonflyvane
