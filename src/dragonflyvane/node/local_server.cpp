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
      Book({Settings.Host, Settings.LongestHold,
            Settings.HeartbeatInterval + MoveSlack},
           Clock.now()) {}

void local_server::startLife(const heartbeat &Heartbeat) {
  Life = Heartbeat.Life;
  Standing = server_standing::Ready;
  Sequence = 0;
  LeavingSince = {};
}

std::optional<grant> local_server::onHeartbeat(const heartbeat &Heartbeat,
                                               const grant_terms &Terms) {
  time_point Now = Clock.now();
  bool IsNewer = Heartbeat.Life.Born > Life.Born ||
                 (Heartbeat.Life.Born == Life.Born && Heartbeat.Life != Life);
  bool IsSame = Heartbeat.Life == Life;
  if (!IsNewer && !(IsSame && Heartbeat.Sequence > Sequence))
    return std::nullopt;
  if (IsNewer)
    startLife(Heartbeat);
  Sequence = Heartbeat.Sequence;
  LastHeard = Now;
  Service = Heartbeat.Service;
  Address = parseEndpoint(Heartbeat.Address);
  Slots = Heartbeat.Slots;
  ColdUntil = Now + Heartbeat.Cold;
  if (Standing == server_standing::Down)
    Standing = server_standing::Ready;
  if (Heartbeat.State == server_state::Draining)
    onLeave(Life);
  observe(Terms);
  static const ownership_map Nothing;
  return Book.onHeartbeat(Life, Heartbeat.Keys,
                          Terms.Map ? *Terms.Map : Nothing, Terms.Until, Now);
}

void local_server::observe(const grant_terms &Terms) {
  time_point Now = Clock.now();
  if (!Terms.Evacuated)
    EvacuatedSince.reset();
  else if (!EvacuatedSince)
    EvacuatedSince = Now;
  if (Terms.Map)
    Book.observe(*Terms.Map, givesUp(Terms), Now);
}

void local_server::onLeave(const server_life &Leaving) {
  bool IsThis = Leaving.Instance == Life.Instance &&
                (Leaving.Born == 0 || Leaving.Born == Life.Born);
  if (!IsThis || Standing == server_standing::Leaving)
    return;
  Standing = server_standing::Leaving;
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
  if (Standing != server_standing::Ready ||
      Now - FirstRefusal < HeartbeatInterval + RefusalSlack)
    return;
  Standing = server_standing::Down;
  Book.onServerDead();
}

void local_server::tick() {
  bool Silent = Clock.now() - LastHeard > SilenceLimit;
  if (Standing == server_standing::Ready && Silent)
    Standing = server_standing::Down;
}

bool local_server::takesRequests(time_point Now) const {
  duration Longest = DrainTimeout * DrainPartPercent / 100;
  if (EvacuatedSince && Now - *EvacuatedSince >= Longest)
    return false;
  if (Standing == server_standing::Leaving)
    return Now - LeavingSince < Longest;
  return Standing == server_standing::Ready;
}

std::vector<free_range>
local_server::freeRanges(const grant_terms &Terms) const {
  if (!Terms.Map)
    return {};
  return Book.freeRanges(*Terms.Map, Clock.now());
}

void local_server::describe(host_info &Info) const {
  Info.Service = Service;
  Info.Standing = Standing;
  Info.Life = Life;
  Info.Slots = Slots;
}

} // namespace dragonflyvane
