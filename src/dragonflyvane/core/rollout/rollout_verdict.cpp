#include "dragonflyvane/core/rollout/rollout_verdict.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

/// Good versions fail in 0.1 to 0.4 percent of their responses.
constexpr double MinFailureRate = 0.006;
/// Failures of the old version by chance or by a common cause may be fewer than
/// those of an equally good new one.
constexpr double FailureRateMargin = 1.5;
/// Added to the failures and the responses of the old version, so that few
/// responses do not count as a proof of no failures.
constexpr double PriorFailures = 1;
constexpr double PriorResponses = 50;
/// The probability of as many failures of a good version, below which it counts
/// as bad. About a hundred such tests are made in one rollout.
constexpr double BadProbability = 1e-5;
constexpr double SuspiciousProbability = 1e-2;
constexpr uint64_t MinBadFailures = 4;
constexpr uint64_t MinSuspiciousFailures = 2;
/// Responses of each version without which times are not compared.
constexpr uint64_t MinTimedResponses = 40;
/// The standard deviation of the logarithm of the times of one route, slowdowns
/// of machines included, and the factor by which it increases because the
/// requests of one slowdown are not independent.
constexpr double LogTimeDeviation = 0.8;
constexpr double SlowdownFactor = 1.6;
/// A machine is three times slower for a fifth of the time, in slowdowns of
/// this length. A few slowdowns of few servers do not average out, however many
/// requests fall into them.
constexpr std::chrono::milliseconds SlowdownLength{400};
constexpr double SlowdownVariance = 0.2;
/// A difference of times is certain if it exceeds this number of standard
/// errors.
constexpr double CertainErrors = 2;
/// The speeds of servers differ by 0.6 to 1.6, so the ratio of times means
/// little for one new server, and more for several.
constexpr double MinTimeRatio = 1.35;
constexpr double TimeRatioOfOneServer = 0.9;

/// The probability that a Poisson variable is at least `Count`.
double poissonTail(uint64_t Count, double Mean) {
  double Term = std::exp(-Mean);
  double Below = 0;
  for (uint64_t I = 0; I < Count; ++I) {
    Below += Term;
    Term *= Mean / static_cast<double>(I + 1);
  }
  return std::max(0.0, 1 - Below);
}

/// Returns the failure rate that a version as good as the old one may have.
double expectedFailureRate(const response_counts &Old) {
  double Rate = (static_cast<double>(Old.Failures) + PriorFailures) /
                (static_cast<double>(Old.Responses) + PriorResponses);
  bool IsKnown = Old.Responses >= PriorResponses;
  return IsKnown ? std::max(MinFailureRate, Rate * FailureRateMargin)
                 : MinFailureRate;
}

void judgeFailures(const response_counts &New, double ExpectedRate,
                   const std::string &Where, rollout_verdict &Verdict) {
  double Mean = static_cast<double>(New.Responses) * ExpectedRate;
  double Probability = poissonTail(New.Failures, Mean);
  if (New.Failures >= MinSuspiciousFailures &&
      Probability < SuspiciousProbability)
    Verdict.IsSuspicious = true;
  if (New.Failures < MinBadFailures || Probability >= BadProbability)
    return;
  Verdict.IsBad = true;
  Verdict.Reason = "failures" + Where;
}

double meanLogTime(const response_counts &Counts) {
  return Counts.LogTimeSum / static_cast<double>(Counts.Responses);
}

/// The variance of the mean logarithm of the times.
double meanVariance(const response_counts &Counts) {
  constexpr double Deviation = LogTimeDeviation * SlowdownFactor;
  return Deviation * Deviation / static_cast<double>(Counts.Responses);
}

/// The part of the variance of a sample's mean that is due to slowdowns of its
/// servers.
double slowdownVariance(const rollout_sample &Sample) {
  double Periods = std::max(1.0, std::chrono::duration<double>(Sample.Span) /
                                     SlowdownLength);
  return SlowdownVariance / (Periods * static_cast<double>(std::max<size_t>(
                                           1, Sample.NewServers)));
}

/// The mean logarithm of the ratio of new to old times, and its variance.
struct time_difference {
  double Mean = 0;
  double Variance = 0;
};

void judgeTimes(const time_difference &Difference, const rollout_sample &Sample,
                const std::string &Where, rollout_verdict &Verdict) {
  double Servers = static_cast<double>(std::max<size_t>(1, Sample.NewServers));
  double Limit = std::log(MinTimeRatio + TimeRatioOfOneServer / Servers);
  double Error = std::sqrt(Difference.Variance + slowdownVariance(Sample));
  if (Difference.Mean - Error > Limit)
    Verdict.IsSuspicious = true;
  if (Difference.Mean - CertainErrors * Error <= Limit)
    return;
  Verdict.IsBad = true;
  Verdict.Reason = "slow responses" + Where;
}

/// The mean of the differences of the routes, weighted by the responses of the
/// new version, so that a different mix of routes shows no difference.
class mean_difference {
public:
  void add(uint64_t Weight, const time_difference &Difference) {
    auto Factor = static_cast<double>(Weight);
    Weights += Factor;
    Sum += Factor * Difference.Mean;
    Variances += Factor * Factor * Difference.Variance;
  }
  uint64_t weight() const { return static_cast<uint64_t>(Weights); }
  time_difference mean() const {
    return {Sum / Weights, Variances / (Weights * Weights)};
  }

private:
  double Weights = 0;
  double Sum = 0;
  double Variances = 0;
};

} // namespace

rollout_verdict judge(const rollout_sample &Sample,
                      const rollout_sample &Baseline) {
  rollout_verdict Verdict;
  mean_difference AllRoutes;
  double ExpectedFailures = 0;
  response_counts New;
  for (const auto &[Route, Pair] : Sample.Routes) {
    if (Pair.New.Responses == 0)
      continue;
    auto Known = Baseline.Routes.find(Route);
    response_counts Old =
        Known == Baseline.Routes.end() ? Pair.Old : Known->second.Old;
    double Rate =
        std::max(expectedFailureRate(Old), expectedFailureRate(Pair.Old));
    judgeFailures(Pair.New, Rate, " on route " + Route, Verdict);
    New += Pair.New;
    ExpectedFailures += Rate * static_cast<double>(Pair.New.Responses);
    if (Old.Responses == 0)
      continue;
    time_difference Difference{meanLogTime(Pair.New) - meanLogTime(Old),
                               meanVariance(Pair.New) + meanVariance(Old)};
    AllRoutes.add(Pair.New.Responses, Difference);
    if (Pair.New.Responses >= MinTimedResponses &&
        Old.Responses >= MinTimedResponses)
      judgeTimes(Difference, Sample, " on route " + Route, Verdict);
  }
  if (New.Responses > 0)
    judgeFailures(New, ExpectedFailures / static_cast<double>(New.Responses),
                  "", Verdict);
  if (AllRoutes.weight() >= MinTimedResponses)
    judgeTimes(AllRoutes.mean(), Sample, "", Verdict);
  return Verdict;
}

} // namespace dragonflyvane
