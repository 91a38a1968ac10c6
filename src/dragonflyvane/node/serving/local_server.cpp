#include "dragonflyvane/node/serving/local_server.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <algorithm>
#include <utility>

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
/// A repeated grant may open a connection only this soon after a heartbeat, so
/// that the server can hardly have been replaced meanwhile.
constexpr std::chrono::milliseconds MaxConnectDelay{30};
/// For this long after a server was replaced, its daemon leaves it to the
/// coordinator to assign the ranges to the new incarnation. After a restart of
/// a fleet the coordinator does so in one write, not each daemon in one of its
/// own.
constexpr std::chrono::milliseconds IncarnationRenewalTime{1500};
/// A server that missed this number of heartbeats may have been replaced by one
/// whose clock shows an earlier time.
constexpr int SilentHeartbeats = 2;

/// The bound of all holds, also of those that an earlier run of the daemon
/// granted: a grant ends with the lease of its daemon at the latest.
duration maxHoldOf(const settings &Settings) {
  return std::min<duration>(longestHold(Settings.MaxHoldDuration),
                            LeaseDuration);
}

/// Whether an announcement of `Sender` is about the incarnation `Known`. An
/// announcement need not name a start time.
bool isSameLife(const server_incarnation &Sender,
                const server_incarnation &Known) {
  return Sender.Instance == Known.Instance &&
         (Sender.StartedAtMs == 0 || Sender.StartedAtMs == Known.StartedAtMs);
}

server_identity identityIn(const settings &Settings) {
  return {Settings.LocalService,
          Settings.ServerEndpoint ? toString(*Settings.ServerEndpoint) : "",
          Settings.FailureDomain};
}

} // namespace

local_server::local_server(const settings &Settings, const clock_source &Clock)
    : Clock(Clock), Identity(identityIn(Settings)),
      DrainTimeout(Settings.DrainTimeout),
      HeartbeatInterval(Settings.HeartbeatInterval),
      MaxHold(maxHoldOf(Settings)),
      Policy({Settings.Host, Settings.MaxHoldDuration,
              Settings.HeartbeatInterval + MoveMargin,
              Settings.HeartbeatInterval + MoveMargin}),
      Grants(heartbeat_grants(MaxHold, Clock.now())),
      Incarnations(Settings.HeartbeatInterval * SilentHeartbeats) {}

void local_server::selectGrantWay(const grant_context &Context) {
  if (!Context.GrantWay)
    return;
  bool WasByCall = std::holds_alternative<call_grants>(Grants);
  if (WasByCall == (*Context.GrantWay == grant_way::Call))
    return;
  if (WasByCall)
    Grants = heartbeat_grants(MaxHold, Clock.now());
  else
    Grants = call_grants(MaxHold, Clock.now());
  // Unlike with heartbeats, the next owner of a range can be granted it at
  // once.
  Policy.setPlannedReleaseDelay(WasByCall ? HeartbeatInterval + MoveMargin
                                          : std::chrono::milliseconds(0));
}

void local_server::startIncarnation() {
  Availability = server_availability::Ready;
  IncarnationSince = Clock.now();
  LeavingSince = {};
  Condition = {};
  HasResponded = false;
  Policy.startIncarnation(incarnation());
  std::visit([&](auto &Method) { Method.startIncarnation(Clock.now()); },
             Grants);
}

void local_server::requireOwnServer(const heartbeat &Heartbeat,
                                    const grant_context &Context) const {
  requireSender(Identity, Heartbeat);
  if (Context.ReportsKeys && !Heartbeat.Keys)
    throw step_error("heartbeat", Heartbeat.Incarnation.Instance,
                     "the held ranges are missing");
}

std::optional<grant> local_server::onHeartbeat(const heartbeat &Heartbeat,
                                               const grant_context &Context) {
  requireOwnServer(Heartbeat, Context);
  time_point Now = Clock.now();
  heartbeat_origin Origin =
      Incarnations.onHeartbeat(Heartbeat.Incarnation, Heartbeat.Sequence, Now);
  if (Origin == heartbeat_origin::Outdated)
    return std::nullopt;
  if (Origin == heartbeat_origin::New) {
    startIncarnation();
    applyEarlyLeave();
  }
  LastHeartbeatAt = Now;
  if (std::exchange(IsConnectionMissed, false))
    ReconnectUntil = Now + MaxConnectDelay;
  Service = Heartbeat.Service;
  Address = parseEndpoint(Heartbeat.Address);
  Slots = Heartbeat.Slots;
  Version = Heartbeat.Version;
  ColdUntil = Now + Heartbeat.ColdRemaining;
  if (Availability == server_availability::Down)
    Availability = server_availability::Ready;
  if (Heartbeat.State == server_state::Draining)
    onLeaveAnnounced(Origin == heartbeat_origin::New);
  updateOwnership(Context);
  if (auto *Method = std::get_if<call_grants>(&Grants))
    Method->retryAtOnce();
  auto *Method = std::get_if<heartbeat_grants>(&Grants);
  if (!Method || !Context.GrantWay || !Heartbeat.Keys)
    return std::nullopt;
  static const ownership_map EmptyMap;
  return Method->onHeartbeat(Policy, *Heartbeat.Keys,
                             Context.Map ? *Context.Map : EmptyMap,
                             Context.LeaseEnd, Now);
}

std::vector<key_call> local_server::takeDueCalls(const grant_context &Context) {
  auto *Method = std::get_if<call_grants>(&Grants);
  if (!Method || !Context.Map || Availability == server_availability::None)
    return {};
  std::vector<key_call> Calls =
      Method->takeDueCalls(Policy, *Context.Map, Context.LeaseEnd, Clock.now());
  for (key_call &Call : Calls) {
    Call.Instance = incarnation().Instance;
    Call.MayConnect = !Call.IsRepeated || Clock.now() < ReconnectUntil;
  }
  return Calls;
}

void local_server::onKeyCallResult(const key_call &Call,
                                   const key_call_result &Result) {
  time_point Now = Clock.now();
  auto *Method = std::get_if<call_grants>(&Grants);
  if (Method)
    Method->onResult(Call.Id, Result, Now);
  bool IsReceived = Result.Outcome == key_call_outcome::Accepted ||
                    Result.Outcome == key_call_outcome::HigherTokenSeen ||
                    Result.Outcome == key_call_outcome::Rejected;
  if (IsReceived)
    return;
  // A heartbeat may have arrived while the call looked for a connection.
  bool WasKeptFromConnecting =
      Result.Outcome == key_call_outcome::NotSent && !Call.MayConnect;
  if (Method && WasKeptFromConnecting && Now < ReconnectUntil)
    return Method->retryAtOnce();
  awaitHeartbeat();
}

void local_server::awaitHeartbeat() {
  IsConnectionMissed = true;
  ReconnectUntil = {};
}

void local_server::onKeyRefused(key_point Point) {
  if (auto *Method = std::get_if<call_grants>(&Grants))
    Method->onKeyRefused(Point);
  // The server may have been replaced.
  awaitHeartbeat();
}

void local_server::updateOwnership(const grant_context &Context) {
  time_point Now = Clock.now();
  if (!Context.IsEvacuated)
    EvacuatedSince.reset();
  else if (!EvacuatedSince)
    // Since when it has been evacuated is not known if it was found so.
    EvacuatedSince = Context.WasFoundEvacuated ? Now - DrainTimeout : Now;
  selectGrantWay(Context);
  if (Context.Map)
    Policy.observe(*Context.Map, releaseAllSince(), Now);
}

std::optional<time_point> local_server::releaseAllSince() const {
  if (Availability == server_availability::Ready)
    return EvacuatedSince;
  bool IsLeaving = Availability == server_availability::Leaving;
  time_point Since = IsLeaving ? LeavingSince : Clock.now();
  return std::min(Since, EvacuatedSince.value_or(Since));
}

void local_server::onCondition(const server_condition &Latest) {
  Condition = Latest;
  bool IsFirst = !std::exchange(HasResponded, true);
  if (Condition.IsLeaving)
    onLeaveAnnounced(IsFirst);
}

bool local_server::onReportedCondition(const condition_report &Report) {
  if (incarnation() == server_incarnation{})
    keepEarlyReport(Report);
  if (Report.Incarnation != incarnation())
    return false;
  bool IsLimitNew = !HasResponded && Report.RateLimit &&
                    Report.RateLimit != Condition.RateLimit;
  if (IsLimitNew)
    Condition.RateLimit = Report.RateLimit;
  bool IsLeavingNew =
      Report.LeavingFor &&
      onLeave(Report.Incarnation, Clock.now() - *Report.LeavingFor);
  return IsLimitNew || IsLeavingNew;
}

void local_server::keepEarlyReport(const condition_report &Report) {
  // The report may be about an earlier incarnation, so an announcement that the
  // server has made itself goes first.
  if (Report.LeavingFor && !EarlyLeave)
    EarlyLeave = {Report.Incarnation, Clock.now() - *Report.LeavingFor};
}

std::chrono::milliseconds local_server::leavingFor(time_point Now) const {
  if (Availability != server_availability::Leaving)
    return std::chrono::milliseconds(0);
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                               LeavingSince);
}

std::optional<condition_report>
local_server::conditionReport(time_point Now) const {
  condition_report Report;
  Report.Incarnation = incarnation();
  Report.RateLimit = Condition.RateLimit;
  if (Availability == server_availability::Leaving)
    Report.LeavingFor = leavingFor(Now);
  if (!Report.RateLimit && !Report.LeavingFor)
    return std::nullopt;
  return Report;
}

bool local_server::onLeave(const server_incarnation &Leaving,
                           time_point Since) {
  if (!isSameLife(Leaving, incarnation())) {
    EarlyLeave = {Leaving, Since};
    return false;
  }
  bool IsNew = Availability != server_availability::Leaving;
  if (!IsNew && LeavingSince <= Since)
    return false;
  Availability = server_availability::Leaving;
  LeavingSince = Since;
  return true;
}

void local_server::onLeaveAtUnknownTime(const server_incarnation &Leaving) {
  onLeave(Leaving, Clock.now() - DrainTimeout);
}

void local_server::onLeaveAnnounced(bool IsFirstSign) {
  if (IsFirstSign)
    onLeaveAtUnknownTime(incarnation());
  else
    onLeave(incarnation(), Clock.now());
}

void local_server::applyEarlyLeave() {
  if (!EarlyLeave || !isSameLife(EarlyLeave->Incarnation, incarnation()))
    return;
  // A server that leaves goes on to send heartbeats. One that has been silent
  // for longer may have been started again under its old name.
  bool MayBeLaterLife = EarlyLeave->Incarnation.StartedAtMs == 0 &&
                        Clock.now() - EarlyLeave->Since > HeartbeatTimeout;
  if (!MayBeLaterLife)
    onLeave(incarnation(), EarlyLeave->Since);
  EarlyLeave.reset();
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
  std::visit([](auto &Method) { Method.onServerTerminated(); }, Grants);
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
  std::vector<releasable_range> Releasable = std::visit(
      [&](const auto &Method) {
        return dragonflyvane::releasableRanges(Policy, Method, *Context.Map,
                                               Clock.now());
      },
      Grants);
  bool IsReplaced = Clock.now() - IncarnationSince < IncarnationRenewalTime;
  if (IsReplaced && !releaseAllSince())
    std::erase_if(Releasable, [this](const releasable_range &Entry) {
      return Entry.Range.Incarnation != incarnation() &&
             Entry.Range.NextOwner.empty();
    });
  return Releasable;
}

void local_server::writeTo(host_info &Info) const {
  Info.Service = Service;
  Info.Availability = Availability;
  Info.Incarnation = incarnation();
  Info.Slots = Slots;
  Info.Version = Version;
}

} // namespace dragonflyvane
