/// A token bucket, which limits a rate and permits bursts.
#ifndef DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP
#define DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP

#include "dragonflyvane/core/clock.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

/// A bucket that is filled at a constant rate and holds at most the burst.
class token_bucket {
public:
  token_bucket() = default;
  /// `Rate` is in tokens per second, `Burst` in tokens. The bucket is empty at
  /// first.
  token_bucket(double Rate, double Burst, time_point Now)
      : Rate(Rate), Burst(Burst), LastFill(Now) {}

  /// Changes rate and burst. Tokens in excess of the new burst are discarded.
  void resize(double NewRate, double NewBurst, time_point Now) {
    fill(Now);
    Rate = NewRate;
    Burst = NewBurst;
    Tokens = std::min(Tokens, Burst);
  }
  /// Takes an amount, or nothing if there are fewer tokens. Returns whether the
  /// amount was taken.
  bool take(double Amount, time_point Now) {
    fill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }
  /// Takes whole tokens up to an amount. Returns the number of tokens taken.
  double takeUpTo(double Amount, time_point Now) {
    fill(Now);
    double Taken = std::floor(std::min(Amount, Tokens));
    Tokens -= Taken;
    return Taken;
  }
  /// Puts back the token of a request that was not executed. The bucket still
  /// holds at most the burst.
  void refund() { Tokens = std::min(Burst, Tokens + 1); }
  /// Returns the time until a whole token is available, counted from the `Now`
  /// of the last call; 1 s if the rate is 0.
  duration timeUntilToken() const {
    if (Rate <= 0)
      return std::chrono::seconds(1);
    double Missing = std::max(0.0, 1 - Tokens);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Missing / Rate));
  }

  /// Returns the time until this many tokens have come in, also if the amount
  /// exceeds the burst; `Never` if the rate is too low for that.
  duration timeUntilTokens(double Amount, time_point Now) const {
    double Elapsed =
        std::max(0.0, std::chrono::duration<double>(Now - LastFill).count());
    double Missing = Amount - std::min(Burst, Tokens + Rate * Elapsed);
    if (Missing <= 0)
      return duration{0};
    std::chrono::duration<double> Seconds(Missing / Rate);
    if (Seconds >= Never)
      return Never;
    // A rest too small for the clock is still missing.
    return std::max(duration{1}, std::chrono::duration_cast<duration>(Seconds));
  }
  /// Longer than anything waits for a token.
  static constexpr duration Never = std::chrono::hours(24);

private:
  void fill(time_point Now) {
    double Elapsed = std::chrono::duration<double>(Now - LastFill).count();
    if (Elapsed <= 0)
      return;
    LastFill = Now;
    Tokens = std::min(Burst, Tokens + Rate * Elapsed);
  }

  double Rate = 0;
  double Burst = 0;
  double Tokens = 0;
  time_point LastFill{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP
