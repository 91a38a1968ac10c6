#include "process/soak_plan.hpp"

#include "process/soak_request.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than a stop, so that a host serves between two of them.
constexpr seconds RoundTime{8};

duration drawTime(std::mt19937 &Random, milliseconds First, milliseconds Last) {
  return milliseconds(draw(Random, static_cast<int>(First.count()),
                           static_cast<int>(Last.count())));
}

/// Draws the stops of one round: of a host, or of two within 3 s.
void addStops(std::vector<soak_step> &Steps, std::mt19937 &Random,
              int HostCount, duration RoundAt) {
  int Host = draw(Random, 0, HostCount - 1);
  duration At = RoundAt + drawTime(Random, milliseconds(0), seconds(1));
  Steps.push_back({At, soak_action::Stop, Host});
  if (draw(Random, 0, 3) == 0)
    Steps.push_back({At + drawTime(Random, milliseconds(1), seconds(2)),
                     soak_action::Stop, Host});
  if (draw(Random, 0, 1) == 0)
    Steps.push_back({At + drawTime(Random, milliseconds(0), seconds(3)),
                     soak_action::Stop,
                     (Host + draw(Random, 1, HostCount - 1)) % HostCount});
}

/// In two of three runs, repeats an action after times from `First` to `Last`.
void addSeries(std::vector<soak_step> &Steps, std::mt19937 &Random,
               int HostCount, duration RunTime, soak_action Action,
               milliseconds First, milliseconds Last) {
  if (draw(Random, 0, 2) == 0)
    return;
  duration At = drawTime(Random, First, Last);
  for (; At < RunTime; At += drawTime(Random, First, Last)) {
    int Host = draw(Random, 0, HostCount - 1);
    Steps.push_back({At, Action, Host});
  }
}

} // namespace

const char *nameOf(soak_action Action) {
  switch (Action) {
  case soak_action::Stop:
    return "SIGTERM";
  case soak_action::Reload:
    return "SIGHUP";
  case soak_action::Pause:
    return "pause";
  case soak_action::Configure:
    return "configure";
  case soak_action::StopServer:
    return "stop server";
  }
  return "";
}

std::vector<soak_step> drawPlan(std::mt19937 &Random, int HostCount,
                                duration RunTime) {
  std::vector<soak_step> Steps;
  auto AddSeries = [&](soak_action Action, milliseconds First,
                       milliseconds Last) {
    addSeries(Steps, Random, HostCount, RunTime, Action, First, Last);
  };
  for (duration At = seconds(1); At < RunTime; At += RoundTime)
    addStops(Steps, Random, HostCount, At);
  AddSeries(soak_action::Reload, milliseconds(50), milliseconds(950));
  AddSeries(soak_action::Pause, seconds(1), seconds(4));
  AddSeries(soak_action::Configure, milliseconds(300), milliseconds(2800));
  AddSeries(soak_action::StopServer, seconds(4), seconds(14));
  std::stable_sort(
      Steps.begin(), Steps.end(),
      [](const soak_step &A, const soak_step &B) { return A.At < B.At; });
  return Steps;
}

} // namespace dragonflyvane
