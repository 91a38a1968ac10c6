#include "dragonflyvane/core/admission/recent_route_times.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <vector>

namespace dragonflyvane {

namespace {

/// Responses of this period count. The lower quartile shows a lasting slowdown
/// once it fills three quarters of the period, within the 3 s in which the load
/// has to follow, and a recovery after a quarter of it.
constexpr std::chrono::milliseconds WindowLength{2000};
/// A route with few responses is judged by older ones too, up to this age.
constexpr std::chrono::seconds MaxAge{10};
constexpr size_t MinResponses = 8;
constexpr size_t MaxResponses = 128;
constexpr size_t MaxRoutes = 16;
/// The usual time is the 1 / `QuantileDivisor` quantile, the lower quartile. A
/// server that is slow at random for a fifth of the time is rarely slow for
/// three quarters of the window.
constexpr size_t QuantileDivisor = 4;

} // namespace

void recent_route_times::makeRoomForRoute() {
  if (Routes.size() < MaxRoutes)
    return;
  auto Oldest = std::min_element(
      Routes.begin(), Routes.end(), [](const auto &A, const auto &B) {
        return A.second.back().At < B.second.back().At;
      });
  Routes.erase(Oldest);
}

void recent_route_times::observe(const std::string &Route,
                                 duration TimeAtServer, time_point Now) {
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    makeRoomForRoute();
    Found = Routes.try_emplace(Route).first;
  }
  response_window &Window = Found->second;
  Window.push_back({Now, TimeAtServer});
  if (Window.size() > MaxResponses)
    Window.pop_front();
}

recent_route_times::usual_time
recent_route_times::usualTimeIn(const response_window &Window, time_point Now) {
  std::vector<duration> Times;
  for (auto It = Window.rbegin(); It != Window.rend(); ++It) {
    duration Age = Now - It->At;
    if (Age > MaxAge || (Age > WindowLength && Times.size() >= MinResponses))
      break;
    Times.push_back(It->TimeAtServer);
  }
  if (Times.size() < MinResponses)
    return {};
  auto Quantile =
      std::next(Times.begin(),
                static_cast<std::ptrdiff_t>(Times.size() / QuantileDivisor));
  std::nth_element(Times.begin(), Quantile, Times.end());
  return {*Quantile, Times.size()};
}

route_times recent_route_times::usualTimes(time_point Now) const {
  std::vector<std::pair<usual_time, std::string>> Known;
  for (const auto &[Route, Window] : Routes) {
    usual_time Usual = usualTimeIn(Window, Now);
    if (Usual.Time > duration{0})
      Known.emplace_back(Usual, Route);
  }
  std::stable_sort(Known.begin(), Known.end(),
                   [](const auto &A, const auto &B) {
                     return A.first.Count > B.first.Count;
                   });
  if (Known.size() > MaxReportedRoutes)
    Known.resize(MaxReportedRoutes);
  route_times Times;
  for (const auto &[Usual, Route] : Known)
    Times[Route] = Usual.Time;
  return Times;
}

double recent_route_times::speedAgainst(const route_times &Reference,
                                        time_point Now) const {
  double LogSum = 0;
  double Count = 0;
  for (const auto &[Route, ReferenceTime] : Reference) {
    auto Found = Routes.find(Route);
    if (Found == Routes.end() || ReferenceTime <= duration{0})
      continue;
    usual_time Usual = usualTimeIn(Found->second, Now);
    if (Usual.Time <= duration{0})
      continue;
    auto Weight = static_cast<double>(Usual.Count);
    LogSum += Weight * std::log(std::chrono::duration<double>(ReferenceTime) /
                                std::chrono::duration<double>(Usual.Time));
    Count += Weight;
  }
  return Count > 0 ? std::exp(LogSum / Count) : 0;
}

} // namespace dragonflyvane
