#include "dragonflyvane/node/ownership_manager.hpp"

#include "dragonflyvane/net/log.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{200};
/// A daemon that has just started waits so long for its backend server, and
/// leaves the row of the run before as it is.
constexpr std::chrono::milliseconds FirstHeartbeatTime{3500};

} // namespace

ownership_manager::ownership_manager(dependencies P)
    : Deps(std::move(P)),
      Sync({Deps.Settings.Host, Deps.Loop, Deps.Clock, Deps.Store,
            Deps.OperatorState, [this] { onClusterChange(); }, Deps.IsRelay}),
      Server(Deps.Settings, Deps.Clock),
      Coordinator({Deps.Settings.Host, Deps.Loop, Deps.Clock, Sync,
                   Deps.OperatorState}) {}

void ownership_manager::start() {
  StartedAt = Deps.Clock.now();
  announce();
  Sync.start();
  Tick = Deps.Loop.every(TickPeriod, [this] { tick(); });
}

std::optional<grant>
ownership_manager::onHeartbeat(const heartbeat &Heartbeat) {
  auto Grant = Server.onHeartbeat(Heartbeat, termsOf(Heartbeat.Service));
  announce();
  releaseRanges();
  return Grant;
}

void ownership_manager::onLeave(const server_incarnation &Incarnation) {
  Server.onLeave(Incarnation);
  announce();
}

void ownership_manager::onRefusedConnection() {
  Server.onRefusedConnection();
  announce();
  releaseRanges();
}

bool ownership_manager::isOwner(const std::string &Service,
                                key_point Point) const {
  const versioned<ownership_map> *Map = view().map(Service);
  if (!Map)
    return false;
  const owned_range &Range = Map->Content.find(Point);
  return Range.Owner == Deps.Settings.Host &&
         Range.Incarnation == Server.incarnation();
}

grant_context ownership_manager::termsOf(const std::string &Service) const {
  const versioned<ownership_map> *Map = view().map(Service);
  return {Map ? &Map->Content : nullptr,
          Deps.OperatorState.isEvacuated(Deps.Settings.FailureDomain),
          Sync.grantDeadline()};
}

void ownership_manager::onClusterChange() {
  releaseRanges();
  Coordinator.onClusterChange();
  Deps.OnChange();
}

void ownership_manager::tick() {
  Server.tick();
  announce();
  releaseRanges();
}

void ownership_manager::announce() {
  bool IsNew = Deps.Clock.now() - StartedAt < FirstHeartbeatTime;
  if (IsNew && Server.availability() == server_availability::None)
    return;
  host_info Info;
  Info.PeerAddress = toString(Deps.Settings.Peer);
  Info.FailureDomain = Deps.Settings.FailureDomain;
  Info.CpuShare = Deps.Settings.CpuShare;
  Info.Service = Deps.Settings.LocalService;
  Server.writeTo(Info);
  if (Info == Announced)
    return;
  Announced = Info;
  writeLog(log_level::Info, "server standing",
           {{"step", "server"},
            {"instance", Info.Incarnation.Instance},
            {"standing", formatAvailability(Info.Availability)}});
  Sync.announce(Info);
}

/// Gives up, in the map, what the server certainly does not hold any more.
void ownership_manager::releaseRanges() {
  grant_context Context = termsOf(Server.service());
  Server.updateOwnership(Context);
  if (!Sync.holdsLease() || Server.releasableRanges(Context).empty())
    return;
  Sync.change({Server.service(),
               [this](ownership_map &Map, uint64_t Token) {
                 return freeIn(Map, Token);
               },
               {},
               true});
}

bool ownership_manager::freeIn(ownership_map &Map, uint64_t Token) {
  grant_context Context = termsOf(Server.service());
  Context.Map = &Map;
  Server.updateOwnership(Context);
  std::vector<releasable_range> Free = Server.releasableRanges(Context);
  for (const releasable_range &Gone : Free) {
    Server.relinquish(Gone.Range);
    for (owned_range &Range : Map.Ranges) {
      if (Range.First == Gone.Range.First)
        passOn(Range, Gone.Handover, Token);
    }
  }
  return !Free.empty();
}

/// To its receiver if there is one that can take it, else to nobody.
void ownership_manager::passOn(owned_range &Range, const std::string &Handover,
                               uint64_t Token) const {
  const host_info *Receiver = view().host(Range.NextOwner);
  bool IsReady = Receiver && Receiver->Service == Server.service() &&
                 Receiver->Availability == server_availability::Ready;
  Range.Handover = Handover;
  Range.Owner = IsReady ? Range.NextOwner : "";
  Range.Incarnation = IsReady ? Receiver->Incarnation : server_incarnation{};
  if (!IsReady)
    return;
  Range.Token = Token;
  Range.NextOwner.clear();
}

} // namespace dragonflyvane
