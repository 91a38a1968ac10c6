#include "dragonflyvane/node/local_server.hpp"

namespace dragonflyvane {

namespace {

/// Heartbeats arrive about once a second, some of them seconds late.
constexpr std::chrono::milliseconds HeartbeatTimeout{3500};
/// Share of the drain timeout during which a leaving server still receives new
/// requests.
constexpr int DrainAcceptPercent = 85;
/// A server has ended if it refuses connections for longer than a heartbeat
/// interval and this margin, and sends no heartbeat meanwhile.
constexpr std::chrono::milliseconds RefusalMargin{150};
/// Refusals that are farther apart do not belong to one series.
constexpr std::chrono::milliseconds MaxRefusalGap{400};
/// Time, beyond a heartbeat interval, until the receiver of a range has seen
/// the new map.
constexpr std::chrono::milliseconds MoveMargin{60};

} // namespace

local_server::local_server(const settings &Settings, const clock_source &Clock)
    : Clock(Clock), DrainTimeout(Settings.DrainTimeout),
      HeartbeatInterval(Settings.HeartbeatInterval),
      Grants({Settings.Host, Settings.MaxHoldDuration,
              Settings.HeartbeatInterval + MoveMargin},
             Clock.now()) {}

void local_server::startIncarnation(const heartbeat &Heartbeat) {
  Incarnation = Heartbeat.Incarnation;
  Availability = server_availability::Ready;
  Sequence = 0;
  LeavingSince = {};
}

std::optional<grant> local_server::onHeartbeat(const heartbeat &Heartbeat,
                                               const grant_context &Context) {
  time_point Now = Clock.now();
  bool IsNewer =
      Heartbeat.Incarnation.StartedAtMs > Incarnation.StartedAtMs ||
      (Heartbeat.Incarnation.StartedAtMs == Incarnation.StartedAtMs &&
       Heartbeat.Incarnation != Incarnation);
  bool IsSame = Heartbeat.Incarnation == Incarnation;
  if (!IsNewer && !(IsSame && Heartbeat.Sequence > Sequence))
    return std::nullopt;
  if (IsNewer)
    startIncarnation(Heartbeat);
  Sequence = Heartbeat.Sequence;
  LastHeartbeatAt = Now;
  Service = Heartbeat.Service;
  Address = parseEndpoint(Heartbeat.Address);
  Slots = Heartbeat.Slots;
  ColdUntil = Now + Heartbeat.ColdRemaining;
  if (Availability == server_availability::Down)
    Availability = server_availability::Ready;
  if (Heartbeat.State == server_state::Draining)
    onLeave(Incarnation);
  updateOwnership(Context);
  static const ownership_map EmptyMap;
  return Grants.onHeartbeat(Incarnation, Heartbeat.Keys,
                            Context.Map ? *Context.Map : EmptyMap,
                            Context.LeaseEnd, Now);
}

void local_server::updateOwnership(const grant_context &Context) {
  time_point Now = Clock.now();
  if (!Context.IsEvacuated)
    EvacuatedSince.reset();
  else if (!EvacuatedSince)
    EvacuatedSince = Now;
  if (Context.Map)
    Grants.observe(*Context.Map, mustReleaseAll(Context), Now);
}

void local_server::onLeave(const server_incarnation &Leaving) {
  bool IsCurrent = Leaving.Instance == Incarnation.Instance &&
                   (Leaving.StartedAtMs == 0 ||
                    Leaving.StartedAtMs == Incarnation.StartedAtMs);
  if (!IsCurrent || Availability == server_availability::Leaving)
    return;
  Availability = server_availability::Leaving;
  LeavingSince = Clock.now();
}

void local_server::onRefusedConnection() {
  time_point Now = Clock.now();
  bool IsConsecutive =
      Now - LastRefusal < MaxRefusalGap && LastHeartbeatAt <= FirstRefusal;
  LastRefusal = Now;
  if (!IsConsecutive)
    FirstRefusal = Now;
  // A leaving server also refuses connections, while it still runs requests and
  // sends heartbeats.
  if (Availability != server_availability::Ready ||
      Now - FirstRefusal < HeartbeatInterval + RefusalMargin)
    return;
  Availability = server_availability::Down;
  Grants.onServerTerminated();
}

void local_server::tick() {
  bool IsSilent = Clock.now() - LastHeartbeatAt > HeartbeatTimeout;
  if (Availability == server_availability::Ready && IsSilent)
    Availability = server_availability::Down;
}

bool local_server::acceptsRequests(time_point Now) const {
  duration AcceptTime = DrainTimeout * DrainAcceptPercent / 100;
  if (EvacuatedSince && Now - *EvacuatedSince >= AcceptTime)
    return false;
  if (Availability == server_availability::Leaving)
    return Now - LeavingSince < AcceptTime;
  return Availability == server_availability::Ready;
}

std::vector<releasable_range>
local_server::releasableRanges(const grant_context &Context) const {
  if (!Context.Map)
    return {};
  return Grants.releasableRanges(*Context.Map, Clock.now());
}

void local_server::writeTo(host_info &Info) const {
  Info.Service = Service;
  Info.Availability = Availability;
  Info.Incarnation = Incarnation;
  Info.Slots = Slots;
}

} // namespace dragonflyvane
