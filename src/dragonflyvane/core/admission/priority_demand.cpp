#include "dragonflyvane/core/admission/priority_demand.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

/// The time constant of the moving averages. It covers several requests of each
/// slot, and is short beside the seconds over which demand rises and falls.
constexpr std::chrono::duration<double> AveragingTime{1.0};

} // namespace

void work_rate::record(duration Work, time_point Now) {
  Rate = at(Now) + Work / AveragingTime;
  UpdatedAt = Now;
}

double work_rate::at(time_point Now) const {
  return Rate * std::exp(-((Now - UpdatedAt) / AveragingTime));
}

void priority_demand::recordArrival(int Priority, duration Work,
                                    bool CanBeInTime, time_point Now) {
  rates &Rates = Priorities[Priority];
  Rates.Arriving.record(Work, Now);
  if (CanBeInTime)
    Rates.InTime.record(Work, Now);
}

void priority_demand::recordAdmission(int Priority, duration Work,
                                      time_point Now) {
  Priorities[Priority].Admitted.record(Work, Now);
}

double priority_demand::admittedBefore(int Priority, time_point Now) const {
  double Sum = 0;
  for (const auto &[Other, Rates] : Priorities) {
    if (Other >= Priority)
      break;
    Sum += Rates.Admitted.at(Now);
  }
  return Sum;
}

double priority_demand::inTimeOf(int Priority, time_point Now) const {
  auto Found = Priorities.find(Priority);
  return Found == Priorities.end() ? 0 : Found->second.InTime.at(Now);
}

std::map<int, double> priority_demand::shares(time_point Now) const {
  std::map<int, double> Shares;
  double Sum = 0;
  for (const auto &[Priority, Rates] : Priorities)
    Sum += Shares[Priority] = Rates.Arriving.at(Now);
  if (Sum <= 0)
    return {};
  for (auto &[Priority, Share] : Shares)
    Share /= Sum;
  return Shares;
}

} // namespace dragonflyvane
