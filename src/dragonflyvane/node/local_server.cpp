#include "dragonflyvane/node/local_server.hpp"

namespace dragonflyvane {

namespace {

/// Heartbeats come about once a second, some of them seconds late.
constexpr std::chrono::milliseconds SilenceLimit{3500};
/// The part of the drain time in which new requests still go to a server.
constexpr int DrainPartPercent = 85;
/// A server has ended if it refuses connections without a pause for longer than
/// it would take to send a heartbeat.
constexpr std::chrono::milliseconds RefusalSlack{150};
constexpr std::chrono::milliseconds RefusalGap{400};
/// Beyond a heartbeat interval: for news to reach the receiver of a range.
constexpr std::chrono::milliseconds MoveSlack{60};

} // namespace

local_server::local_server(const settings &Settings, const clock_source &Clock)
    : Clock(Clock), DrainTimeout(Settings.DrainTimeout),
      HeartbeatInterval(Settings.HeartbeatInterval),
      Grants({Settings.Host, Settings.MaxHoldDuration,
              Settings.HeartbeatInterval + MoveSlack},
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
  LastHeard = Now;
  Service = Heartbeat.Service;
  Address = parseEndpoint(Heartbeat.Address);
  Slots = Heartbeat.Slots;
  ColdUntil = Now + Heartbeat.ColdRemaining;
  if (Availability == server_availability::Down)
    Availability = server_availability::Ready;
  if (Heartbeat.State == server_state::Draining)
    onLeave(Incarnation);
  updateOwnership(Context);
  static const ownership_map Nothing;
  return Grants.onHeartbeat(Incarnation, Heartbeat.Keys,
                            Context.Map ? *Context.Map : Nothing, Context.Until,
                            Now);
}

void local_server::updateOwnership(const grant_context &Context) {
  time_point Now = Clock.now();
  if (!Context.Evacuated)
    EvacuatedSince.reset();
  else if (!EvacuatedSince)
    EvacuatedSince = Now;
  if (Context.Map)
    Grants.observe(*Context.Map, mustReleaseAll(Context), Now);
}

void local_server::onLeave(const server_incarnation &Leaving) {
  bool IsThis = Leaving.Instance == Incarnation.Instance &&
                (Leaving.StartedAtMs == 0 ||
                 Leaving.StartedAtMs == Incarnation.StartedAtMs);
  if (!IsThis || Availability == server_availability::Leaving)
    return;
  Availability = server_availability::Leaving;
  LeavingSince = Clock.now();
}

void local_server::onRefusedConnection() {
  time_point Now = Clock.now();
  bool Continues = Now - LastRefusal < RefusalGap && LastHeard <= FirstRefusal;
  LastRefusal = Now;
  if (!Continues)
    FirstRefusal = Now;
  // One that leaves refuses connections too, while it still works, but it goes
  // on sending heartbeats.
  if (Availability != server_availability::Ready ||
      Now - FirstRefusal < HeartbeatInterval + RefusalSlack)
    return;
  Availability = server_availability::Down;
  Grants.onServerTerminated();
}

void local_server::tick() {
  bool Silent = Clock.now() - LastHeard > SilenceLimit;
  if (Availability == server_availability::Ready && Silent)
    Availability = server_availability::Down;
}

bool local_server::acceptsRequests(time_point Now) const {
  duration Longest = DrainTimeout * DrainPartPercent / 100;
  if (EvacuatedSince && Now - *EvacuatedSince >= Longest)
    return false;
  if (Availability == server_availability::Leaving)
    return Now - LeavingSince < Longest;
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
