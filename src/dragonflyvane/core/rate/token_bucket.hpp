/// Rate and burst.
#ifndef DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP
#define DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP

#include "dragonflyvane/core/clock.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

/// A bucket that fills at a rate, up to a burst.
class token_bucket {
public:
  token_bucket() = default;
  /// `Rate` in tokens a second. Begins empty.
  token_bucket(double Rate, double Burst, time_point Now)
      : Rate(Rate), Burst(Burst), Last(Now) {}

  /// Changes rate and burst; what it holds beyond the new burst is lost.
  void resize(double NewRate, double NewBurst, time_point Now) {
    fill(Now);
    Rate = NewRate;
    Burst = NewBurst;
    Tokens = std::min(Tokens, Burst);
  }
  bool take(double Amount, time_point Now) {
    fill(Now);
    if (Tokens < Amount)
      return false;
    Tokens -= Amount;
    return true;
  }
  /// Takes as much of an amount as there is, in whole tokens.
  double takeUpTo(double Amount, time_point Now) {
    fill(Now);
    double Taken = std::floor(std::min(Amount, Tokens));
    Tokens -= Taken;
    return Taken;
  }
  /// Puts a token back that was taken for nothing.
  void refund() { Tokens = std::min(Burst, Tokens + 1); }
  /// The time until one token is there.
  duration untilNext() const {
    if (Rate <= 0)
      return std::chrono::seconds(1);
    double Missing = std::max(0.0, 1 - Tokens);
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(Missing / Rate));
  }

private:
  void fill(time_point Now) {
    double Elapsed = std::chrono::duration<double>(Now - Last).count();
    if (Elapsed <= 0)
      return;
    Last = Now;
    Tokens = std::min(Burst, Tokens + Rate * Elapsed);
  }

  double Rate = 0;
  double Burst = 0;
  double Tokens = 0;
  time_point Last{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_RATE_TOKEN_BUCKET_HPP
