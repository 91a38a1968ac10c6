#include "dragonflyvane/core/admission/call_pressure.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

/// The time constant of the counts. Demand rises and falls within seconds.
constexpr std::chrono::duration<double> CountingTime{2.0};
/// This many times the requests that pass may begin. More than one, so that
/// the number of those that begin can rise again.
constexpr double BeginPerPassed = 1.2;
/// At least a tenth of the requests of a route begin.
constexpr double MaxRefusedShare = 0.9;
/// Fewer recent failures are no evidence.
constexpr double MinFailures = 2;

} // namespace

void call_pressure::recent_count::add(time_point Now) {
  Count = at(Now) + 1;
  UpdatedAt = Now;
}

double call_pressure::recent_count::at(time_point Now) const {
  return Count * std::exp(-((Now - UpdatedAt) / CountingTime));
}

void call_pressure::onNestedCallRefused(const std::string &Code,
                                        time_point Now) {
  bool IsOverload = Code == "queue-full" || Code == "displaced" ||
                    Code == "waited-too-long" || Code == "no-time-left" ||
                    Code == "link-full" || Code == "nested-calls-refused" ||
                    Code.starts_with("server-refused-5");
  if (IsOverload)
    LastRefusedCall = Now;
}

void call_pressure::onEnd(const ended_run &Run, time_point Now) {
  route_counts &Counts = Routes[Run.Route];
  bool WasCallRefused = LastRefusedCall >= Run.SentAt;
  bool IsPressure = Run.HasFailed && WasCallRefused;
  (IsPressure ? Counts.Failed : Counts.Passed).add(Now);
}

double call_pressure::refusedShare(const std::string &Route,
                                   time_point Now) const {
  auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return 0;
  const route_counts &Counts = Found->second;
  double Arrived = Counts.Arrived.at(Now);
  if (Counts.Failed.at(Now) < MinFailures || Arrived <= 0)
    return 0;
  double Share = 1 - BeginPerPassed * Counts.Passed.at(Now) / Arrived;
  return std::clamp(Share, 0.0, MaxRefusedShare);
}

bool call_pressure::admits(const std::string &Route, time_point Now) {
  route_counts &Counts = Routes[Route];
  Counts.Arrived.add(Now);
  Counts.DueRefusals += refusedShare(Route, Now);
  if (Counts.DueRefusals < 1)
    return true;
  Counts.DueRefusals -= 1;
  return false;
}

} // namespace dragonflyvane
