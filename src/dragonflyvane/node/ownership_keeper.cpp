#include "dragonflyvane/node/ownership_keeper.hpp"

#include "dragonflyvane/net/log.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{200};
/// A daemon that has just started waits so long for its backend server, and
/// leaves the row of the run before as it is.
constexpr std::chrono::milliseconds FirstHeartbeatTime{3500};

} // namespace

ownership_keeper::ownership_keeper(parts P)
    : Parts(std::move(P)),
      Sync({Parts.Settings.Host, Parts.Loop, Parts.Clock, Parts.Store,
            Parts.Orders, [this] { onClusterChange(); }, Parts.IsCollector}),
      Server(Parts.Settings, Parts.Clock),
      Steward(
          {Parts.Settings.Host, Parts.Loop, Parts.Clock, Sync, Parts.Orders}) {}

void ownership_keeper::start() {
  StartedAt = Parts.Clock.now();
  announce();
  Sync.start();
  Tick = Parts.Loop.every(TickPeriod, [this] { tick(); });
}

std::optional<grant> ownership_keeper::onHeartbeat(const heartbeat &Heartbeat) {
  auto Grant = Server.onHeartbeat(Heartbeat, termsOf(Heartbeat.Service));
  announce();
  freeRanges();
  return Grant;
}

void ownership_keeper::onLeave(const server_life &Life) {
  Server.onLeave(Life);
  announce();
}

void ownership_keeper::onRefusedConnection() {
  Server.onRefusedConnection();
  announce();
  freeRanges();
}

bool ownership_keeper::isOwner(const std::string &Service,
                               key_point Point) const {
  const versioned<ownership_map> *Map = view().map(Service);
  if (!Map)
    return false;
  const owned_range &Range = Map->Content.find(Point);
  return Range.Owner == Parts.Settings.Host && Range.Life == Server.life();
}

grant_terms ownership_keeper::termsOf(const std::string &Service) const {
  const versioned<ownership_map> *Map = view().map(Service);
  return {Map ? &Map->Content : nullptr,
          Parts.Orders.isEvacuated(Parts.Settings.FailureDomain),
          Sync.grantsUntil()};
}

void ownership_keeper::onClusterChange() {
  freeRanges();
  Steward.onClusterChange();
  Parts.OnChange();
}

void ownership_keeper::tick() {
  Server.tick();
  announce();
  freeRanges();
}

void ownership_keeper::announce() {
  bool IsNew = Parts.Clock.now() - StartedAt < FirstHeartbeatTime;
  if (IsNew && Server.standing() == server_standing::None)
    return;
  host_info Info;
  Info.PeerAddress = toString(Parts.Settings.Peer);
  Info.FailureDomain = Parts.Settings.FailureDomain;
  Info.ProcessorShare = Parts.Settings.ProcessorShare;
  Info.Service = Parts.Settings.LocalService;
  Server.describe(Info);
  if (Info == Announced)
    return;
  Announced = Info;
  writeLog(log_level::Info, "server standing",
           {{"step", "server"},
            {"instance", Info.Life.Instance},
            {"standing", nameOf(Info.Standing)}});
  Sync.announce(Info);
}

/// Gives up, in the map, what the server certainly does not hold any more.
void ownership_keeper::freeRanges() {
  grant_terms Terms = termsOf(Server.service());
  Server.observe(Terms);
  if (!Sync.holdsLease() || Server.freeRanges(Terms).empty())
    return;
  Sync.change({Server.service(),
               [this](ownership_map &Map, uint64_t Token) {
                 return freeIn(Map, Token);
               },
               {},
               true});
}

bool ownership_keeper::freeIn(ownership_map &Map, uint64_t Token) {
  grant_terms Terms = termsOf(Server.service());
  Terms.Map = &Map;
  Server.observe(Terms);
  std::vector<free_range> Free = Server.freeRanges(Terms);
  for (const free_range &Gone : Free) {
    Server.relinquish(Gone.Range);
    for (owned_range &Range : Map.Ranges) {
      if (Range.First == Gone.Range.First)
        passOn(Range, Gone.Handover, Token);
    }
  }
  return !Free.empty();
}

/// To its receiver if there is one that can take it, else to nobody.
void ownership_keeper::passOn(owned_range &Range, const std::string &Handover,
                              uint64_t Token) const {
  const host_info *Receiver = view().host(Range.Next);
  bool IsReady = Receiver && Receiver->Service == Server.service() &&
                 Receiver->Standing == server_standing::Ready;
  Range.Handover = Handover;
  Range.Owner = IsReady ? Range.Next : "";
  Range.Life = IsReady ? Receiver->Life : server_life{};
  if (!IsReady)
    return;
  Range.Token = Token;
  Range.Next.clear();
}

} // namespace dragonflyvane
