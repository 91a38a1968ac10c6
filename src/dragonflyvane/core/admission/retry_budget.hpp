/// Limits the number of requests that are sent to a backend server again after
/// a failed attempt.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_RETRY_BUDGET_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_RETRY_BUDGET_HPP

#include "dragonflyvane/core/rate/token_bucket.hpp"

namespace dragonflyvane {

/// Options of a retry budget for all hosts together. Each host enforces its own
/// share without communicating with the others.
struct retry_budget_options {
  /// Retries allowed per request.
  double Ratio = 0.2;
  /// Additional retries allowed per window, for all hosts together.
  double ExtraRetries = 10;
  /// The window to which `ExtraRetries` applies.
  std::chrono::seconds Window{10};
};

/// The retry budget of one host for one service. Each request earns a fraction
/// of a retry, and retries at a low rate are allowed even without requests.
class retry_budget {
public:
  /// `Hosts` is the number of hosts that share the budget.
  retry_budget(const retry_budget_options &Options, size_t Hosts,
               time_point Now)
      : Ratio(Options.Ratio * SafetyFactor) {
    double WindowSeconds = static_cast<double>(Options.Window.count());
    // Half, since the bucket may give its burst and one window's refill within
    // the same window.
    double FreeRetries =
        Options.ExtraRetries * SafetyFactor / static_cast<double>(Hosts) / 2;
    Bucket = token_bucket(FreeRetries / WindowSeconds,
                          std::max(1.0, FreeRetries), Now);
    MaxEarned = std::max(1.0, FreeRetries) + MaxEarningRequests * Ratio;
  }

  /// Records the first attempt of a request for the service.
  void onRequest() { Earned = std::min(Earned + Ratio, MaxEarned); }
  /// Takes one retry from the budget; returns false if none is left.
  bool take(time_point Now) {
    if (Earned >= 1) {
      Earned -= 1;
      return true;
    }
    return Bucket.take(1, Now);
  }

private:
  /// Scales the budget down, since the calls that a retried request makes in
  /// turn count as retries too and cannot be distinguished from other retries.
  static constexpr double SafetyFactor = 0.33;
  /// The earned retries are limited to those earned by this number of requests,
  /// in addition to the free retries of one window (at least one).
  static constexpr double MaxEarningRequests = 8;

  double Ratio;
  double MaxEarned = 0;
  double Earned = 0;
  token_bucket Bucket;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_RETRY_BUDGET_HPP
