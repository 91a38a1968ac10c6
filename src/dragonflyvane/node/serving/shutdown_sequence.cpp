#include "dragonflyvane/node/serving/shutdown_sequence.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds CheckPeriod{50};
/// Requests that are still arriving when all others are answered get this long.
/// They would be refused anyway, and meanwhile the host serves nobody.
constexpr std::chrono::milliseconds ArrivalTime{1000};
/// Callers close connections that the process has closed within a round trip.
/// Those that do not are given up after this time.
constexpr std::chrono::milliseconds LingerTime{500};

/// What the connections of all servers together are doing.
server_activity activityOf(const std::vector<stoppable_server *> &Servers) {
  server_activity All;
  for (const stoppable_server *Server : Servers) {
    server_activity Activity = Server->activity();
    All.IsReceiving |= Activity.IsReceiving;
    All.IsWriting |= Activity.IsWriting;
    All.HasConnections |= Activity.HasConnections;
  }
  return All;
}

} // namespace

void shutdown_sequence::begin() {
  if (Deps.Shutdown.hasBegun())
    return;
  Deps.Shutdown.begin();
  for (stoppable_server *Server : Servers)
    Server->startClosing();
  CheckTimer = Deps.Loop.every(CheckPeriod, [this] { check(); });
}

void shutdown_sequence::check() {
  bool IsOver = Deps.Shutdown.isOver();
  if (!Deps.Shutdown.isDraining() && !IsOver)
    return;
  if (IsOver)
    Deps.EndWork();
  advance(IsOver);
  if (!isDone() && Deps.Clock.now() < Deps.Shutdown.end())
    return;
  CheckTimer.cancel();
  Deps.OnEnd();
}

void shutdown_sequence::advance(bool IsOver) {
  bool HasServed = !Deps.HasWork() && !activity().IsWriting;
  if (Step == step::Serving && (HasServed || IsOver)) {
    Step = step::AwaitingRequests;
    AwaitingSince = Deps.Clock.now();
    for (stoppable_server *Server : Servers)
      Server->stopAccepting();
  }
  if (Step != step::Serving && (isArrivalTimeOver() || IsOver))
    refuseArriving(IsOver);
  if (Step == step::AwaitingRequests && (!isBusy() || IsOver)) {
    Step = step::Closing;
    ClosingSince = Deps.Clock.now();
    closeServers();
  }
}

bool shutdown_sequence::isArrivalTimeOver() const {
  return Deps.Clock.now() - *AwaitingSince >= ArrivalTime;
}

void shutdown_sequence::refuseArriving(bool OfControlServers) {
  for (stoppable_server *Server : Servers)
    Server->refuseArriving();
  if (!OfControlServers)
    return;
  for (stoppable_server *Server : ControlServers)
    Server->refuseArriving();
}

void shutdown_sequence::closeServers() {
  for (stoppable_server *Server : Servers)
    Server->finishClosing();
  for (stoppable_server *Server : ControlServers) {
    Server->startClosing();
    Server->stopAccepting();
    Server->finishClosing();
  }
}

bool shutdown_sequence::isDone() const {
  if (!ClosingSince || isBusy() || isControlBusy())
    return false;
  return !activity().HasConnections ||
         Deps.Clock.now() - *ClosingSince >= LingerTime;
}

server_activity shutdown_sequence::activity() const {
  return activityOf(Servers);
}

bool shutdown_sequence::isControlBusy() const {
  server_activity Activity = activityOf(ControlServers);
  return Activity.IsReceiving || Activity.IsWriting;
}

bool shutdown_sequence::isBusy() const {
  server_activity Activity = activity();
  return Deps.HasWork() || Activity.IsReceiving || Activity.IsWriting;
}

} // namespace dragonflyvane
