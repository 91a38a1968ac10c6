#include "dragonflyvane/node/cluster/ownership_manager.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/net/log.hpp"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{200};
/// A daemon that has just started waits this long for the first heartbeat of
/// its backend server. Until then it keeps the host's row of its previous run.
constexpr std::chrono::milliseconds FirstHeartbeatTimeout{3500};
/// A limit is logged again if it has changed by this fraction.
constexpr double LoggedLimitChange = 0.25;

/// Returns the limit with two decimal places, or `none`.
std::string formatRateLimit(const std::optional<double> &Limit) {
  if (!Limit)
    return "none";
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2) << *Limit;
  return Text.str();
}

/// Whether a limit that was logged as `Logged` is worth another line.
bool isNotableChange(const std::optional<double> &Logged,
                     const std::optional<double> &Limit) {
  if (!Logged || !Limit)
    return Logged != Limit;
  return std::abs(*Limit - *Logged) > *Logged * LoggedLimitChange;
}

std::string formatKeyCallOutcome(key_call_outcome Outcome) {
  switch (Outcome) {
  case key_call_outcome::Accepted:
    return "accepted";
  case key_call_outcome::HigherTokenSeen:
    return "higher-token-seen";
  case key_call_outcome::Rejected:
    return "rejected";
  case key_call_outcome::NotSent:
    return "not-sent";
  case key_call_outcome::ConnectionRefused:
    return "connection-refused";
  case key_call_outcome::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace

ownership_manager::ownership_manager(dependencies Dependencies)
    : Deps(std::move(Dependencies)),
      Sync({Deps.Settings.Host, Deps.Settings.FailureDomain,
            Deps.Settings.LocalService, Deps.Settings.CpuShare, Deps.Loop,
            Deps.Clock, Deps.Store, Deps.OperatorState,
            [this] { onClusterChange(); }, Deps.IsRelay, Deps.OnStoreLost}),
      Server(Deps.Settings, Deps.Clock),
      Coordinator({Deps.Settings.Host, Deps.Loop, Deps.Clock, Sync,
                   Deps.OperatorState}),
      Rollouts({Deps.Loop, Deps.Clock, Sync, Deps.OperatorState,
                Deps.Settings.Rollout,
                [this] { return Coordinator.isActive(); },
                Deps.EncodeRolloutStatus}) {}

void ownership_manager::start() {
  StartedAt = Deps.Clock.now();
  publishHostInfo();
  Sync.start();
  TickTimer = Deps.Loop.every(TickPeriod, [this] { tick(); });
}

std::optional<grant>
ownership_manager::onHeartbeat(const heartbeat &Heartbeat) {
  auto Grant = Server.onHeartbeat(Heartbeat, grantContextOf(Heartbeat.Service));
  recallLeaving();
  publishHostInfo();
  releaseRanges();
  makeDueCalls();
  return Grant;
}

void ownership_manager::onLeave(const leave_notice &Notice) {
  if (!Notice.Service.empty() && Notice.Service != Deps.Settings.LocalService)
    throw step_error("leave", Notice.Incarnation.Instance,
                     "service is " + Notice.Service);
  Server.onLeave(Notice.Incarnation, Deps.Clock.now());
  publishHostInfo();
  makeDueCalls();
}

void ownership_manager::onServerCondition(const server_condition &Condition) {
  logCondition(Condition);
  Server.onCondition(Condition);
  publishHostInfo();
  makeDueCalls();
}

void ownership_manager::onReportedCondition(const condition_report &Report) {
  if (!Server.onReportedCondition(Report))
    return;
  publishHostInfo();
  makeDueCalls();
}

void ownership_manager::logCondition(const server_condition &Condition) {
  bool BeginsToLeave = Condition.IsLeaving && !Server.condition().IsLeaving;
  if (!BeginsToLeave && !isNotableChange(LoggedRateLimit, Condition.RateLimit))
    return;
  LoggedRateLimit = Condition.RateLimit;
  writeLog(log_level::Info, "backend server condition changed",
           {{"step", "server"},
            {"instance", Server.incarnation().Instance},
            {"rate_limit", formatRateLimit(Condition.RateLimit)},
            {"leaving", Condition.IsLeaving ? "yes" : "no"}});
}

void ownership_manager::onRefusedConnection() {
  Server.onRefusedConnection();
  publishHostInfo();
  releaseRanges();
}

void ownership_manager::onKeyRefused(key_point Point) {
  Server.onKeyRefused(Point);
  makeDueCalls();
}

bool ownership_manager::isOwner(const std::string &Service,
                                key_point Point) const {
  const known_map *Map = view().map(Service);
  if (!Map)
    return false;
  const owned_range &Range = Map->Content.find(Point);
  return Range.Owner == Deps.Settings.Host &&
         Range.Incarnation == Server.incarnation();
}

grant_context
ownership_manager::grantContextOf(const std::string &Service) const {
  const known_map *Map = view().map(Service);
  grant_context Context;
  Context.Map = Map ? &Map->Content : nullptr;
  Context.IsEvacuated =
      Deps.OperatorState.isEvacuated(Deps.Settings.FailureDomain);
  Context.WasFoundEvacuated =
      Deps.OperatorState.wasFoundEvacuated(Deps.Settings.FailureDomain);
  Context.LeaseEnd = Sync.grantDeadlineOf(Service);
  if (auto Config = Deps.OperatorState.config()) {
    auto Found = Config->Services.find(Service);
    if (Found != Config->Services.end()) {
      Context.GrantWay = Found->second.GrantWay;
      Context.ReportsKeys =
          Found->second.Keyed && Found->second.GrantWay == grant_way::Heartbeat;
    }
  }
  return Context;
}

void ownership_manager::recallLeaving() {
  const host_info *Published = view().host(Deps.Settings.Host);
  if (!Published || Published->Availability != server_availability::Leaving ||
      Published->Incarnation.Instance != Server.incarnation().Instance)
    return;
  bool MayBeOfThisRun = Server.availability() == server_availability::Leaving &&
                        Sync.hasSentHostRow();
  if (MayBeOfThisRun)
    return;
  Server.onLeaveAtUnknownTime(Published->Incarnation);
}

void ownership_manager::onClusterChange() {
  recallLeaving();
  // The row of this host may be written next, by what was known before it was
  // read.
  publishHostInfo();
  releaseRanges();
  makeDueCalls();
  Coordinator.onClusterChange();
  Deps.OnChange();
}

void ownership_manager::tick() {
  Server.tick();
  publishHostInfo();
  releaseRanges();
  makeDueCalls();
}

void ownership_manager::makeDueCalls() {
  grant_context Context = grantContextOf(Server.service());
  Server.updateOwnership(Context);
  for (const key_call &Call : Server.takeDueCalls(Context))
    Deps.SendKeyCall(Server.address(), Call,
                     [this, Call](const key_call_result &Result) {
                       onKeyCallResult(Call, Result);
                     });
}

void ownership_manager::onKeyCallResult(const key_call &Call,
                                        const key_call_result &Result) {
  logKeyCall(Call, Result);
  Server.onKeyCallResult(Call, Result);
  if (Result.Outcome == key_call_outcome::ConnectionRefused)
    onRefusedConnection();
  if (Result.Outcome == key_call_outcome::Accepted) {
    if (Call.Kind == key_call_kind::Release)
      releaseRanges();
    else
      Deps.OnGranted();
  }
  makeDueCalls();
}

void ownership_manager::logKeyCall(const key_call &Call,
                                   const key_call_result &Result) {
  bool IsGrant = Call.Kind == key_call_kind::Grant;
  bool IsAccepted = Result.Outcome == key_call_outcome::Accepted;
  if (IsGrant && IsAccepted && Call.Range.Token <= HighestGrantedToken)
    return;
  if (IsGrant && IsAccepted)
    HighestGrantedToken = Call.Range.Token;
  // A repeated grant that found no open connection waits for a heartbeat.
  if (Result.Outcome == key_call_outcome::NotSent && Call.IsRepeated)
    return;
  writeLog(IsAccepted ? log_level::Info : log_level::Warning,
           IsGrant ? "keys granted by call" : "keys released by call",
           {{"step", IsGrant ? "grant" : "release"},
            {"instance", Call.Instance},
            {"from", Call.Range.First},
            {"to", Call.Range.Last},
            {"token", Call.Range.Token},
            {"outcome", formatKeyCallOutcome(Result.Outcome)},
            {"reason", Result.Error}});
}

void ownership_manager::publishHostInfo() {
  host_info Info;
  Info.PeerEndpoint =
      Deps.Settings.AdvertisedPeerEndpoint.value_or(Deps.Settings.PeerEndpoint);
  Info.FailureDomain = Deps.Settings.FailureDomain;
  Info.CpuShare = Deps.Settings.CpuShare;
  Info.Service = Deps.Settings.LocalService;
  Server.writeTo(Info);
  if (Info == PublishedInfo)
    return;
  bool IsStarting = Deps.Clock.now() - StartedAt < FirstHeartbeatTimeout;
  if (IsStarting && Server.availability() == server_availability::None)
    return Sync.publishProvisionalHostInfo(Info);
  PublishedInfo = Info;
  writeLog(log_level::Info, "backend server availability changed",
           {{"step", "server"},
            {"instance", Info.Incarnation.Instance},
            {"standing", formatAvailability(Info.Availability)},
            {"leaving_ms", Server.leavingFor(Deps.Clock.now()).count()}});
  Sync.publishHostInfo(Info);
}

/// Starts a map update that transfers the releasable ranges of this host, if
/// there are any. Does nothing while the host does not hold its lease.
void ownership_manager::releaseRanges() {
  grant_context Context = grantContextOf(Server.service());
  Server.updateOwnership(Context);
  if (!Sync.holdsLease() || Server.releasableRanges(Context).empty())
    return;
  Sync.maps().update({Server.service(),
                      [this](ownership_map &Map, uint64_t Token) {
                        return applyReleases(Map, Token);
                      },
                      true});
}

/// Transfers all releasable ranges in `Map`. Returns whether there were any.
bool ownership_manager::applyReleases(ownership_map &Map, uint64_t Token) {
  grant_context Context = grantContextOf(Server.service());
  Context.Map = &Map;
  Server.updateOwnership(Context);
  std::vector<releasable_range> Releasable = Server.releasableRanges(Context);
  for (const releasable_range &Entry : Releasable) {
    Server.relinquish(Entry.Range);
    for (owned_range &Range : Map.Ranges) {
      if (Range.First == Entry.Range.First)
        transferRange(Range, Entry.Handover, Token);
    }
  }
  return !Releasable.empty();
}

/// Assigns a released range to its next owner, or to no owner if the next
/// owner's backend server is not ready or belongs to another service.
void ownership_manager::transferRange(owned_range &Range,
                                      const std::string &Handover,
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
