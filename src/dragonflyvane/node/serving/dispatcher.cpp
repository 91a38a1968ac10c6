#include "dragonflyvane/node/serving/dispatcher.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{25};
/// A request waits for the grant of its key until only this share of its time
/// is left.
constexpr int GrantReservePercent = 50;
/// Lower bound of the time after which a refused request is likely to be
/// admitted.
constexpr std::chrono::milliseconds MinRetryAfter{50};
constexpr std::chrono::milliseconds ServerConnectTimeout{250};
/// Connections that were idle for longer are not reused, since backend servers
/// close idle connections after some seconds.
constexpr std::chrono::milliseconds ServerMaxIdle{4000};
/// Refusal code of requests whose nested calls would be refused.
constexpr const char *NestedCallsRefused = "nested-calls-refused";
/// Refusal code of requests whose time ran out on their way to this host.
constexpr const char *ExpiredOnArrival = "expired-on-arrival";
/// The status of a request for a key, or of an instance, that the server does
/// not have.
constexpr int MisdirectedRequest = 421;
/// Responses with this status or a higher one count as failures of the server.
constexpr int FirstServerError = 500;

/// The result of a request that no backend server has run.
forward_result notRun(std::string Code) {
  forward_result Result;
  Result.Outcome = forward_outcome::NotRun;
  Result.Code = std::move(Code);
  return Result;
}

/// The result of a request that the backend server may have run.
/// Whether a refusal with this code is for want of room at the server.
bool isForRoom(const std::string &Code) {
  return Code == "queue-full" || Code == "displaced" ||
         Code == "waited-too-long";
}

forward_result unknown(std::string Code) {
  forward_result Result;
  Result.Outcome = forward_outcome::Unknown;
  Result.Code = std::move(Code);
  Result.Reached = true;
  return Result;
}

} // namespace

dispatcher::dispatcher(dependencies Dependencies)
    : Deps(std::move(Dependencies)),
      OverloadControl(Deps.OverloadControl, Deps.OperatorState),
      Capacity(Deps.Server, Deps.Metrics,
               {Deps.LearnedCapacity, Deps.OperatorState}),
      ReportedAt(Deps.Clock.now()) {
  Tick = Deps.Loop.every(TickPeriod, [this] { tick(); });
}

std::string dispatcher::refusalCode(const forward_metadata &Metadata) const {
  const local_server &Server = Deps.Server;
  if (Server.service() != Metadata.Service)
    return "no-server";
  if (!Server.acceptsRequests(Deps.Clock.now()))
    return "server-leaving-or-down";
  if (Metadata.Point && !Deps.IsOwner(Metadata.Service, *Metadata.Point))
    return "not-owner";
  return "";
}

std::string dispatcher::arrivalRefusalCode(const entry &Entry) {
  const forward_metadata &Metadata = Entry.Metadata;
  if (Entry.Deadline <= Deps.Clock.now())
    return ExpiredOnArrival;
  std::string Code = refusalCode(Metadata);
  if (!Code.empty())
    return Code;
  if (!Metadata.Point && Departure.refuses(Deps.Clock.now()))
    return "server-leaving-or-down";
  // The router of this host decides about the requests that it has received.
  bool IsAdmitted =
      Metadata.IsLocal ||
      Deps.Shutdown.admits({Entry.Deadline,
                            Costs.processingTimeBound(Metadata.Route),
                            Metadata.Idempotent, false});
  if (!IsAdmitted)
    return "stopping";
  bool HasRoomForCalls = !OverloadControl.isOn() ||
                         Pressure.admits(Metadata.Route, Deps.Clock.now());
  return HasRoomForCalls ? "" : NestedCallsRefused;
}

void dispatcher::reportExpired(const entry &Entry) {
  Deps.Metrics.count("expired_on_arrival_total");
  writeRequestLog(
      "request expired on its way",
      {{"request_id",
        Entry.Request.Headers.find(Deps.Names.RequestId).value_or("")},
       {"route", Entry.Metadata.Route},
       {"transit_ms", Entry.Metadata.TransitDelay.count()},
       {"late_ms", inMilliseconds(Deps.Clock.now() - Entry.Deadline)}});
}

bool dispatcher::mustWaitForGrant(const forward_metadata &Metadata) const {
  return Metadata.Point &&
         !Deps.Server.holds(*Metadata.Point, Deps.Clock.now());
}

queued_request dispatcher::makeQueuedRequest(dispatch_id Id,
                                             const entry &Entry) const {
  const std::string &Route = Entry.Metadata.Route;
  return {Id,
          Entry.Metadata.Priority,
          Entry.Deadline,
          Entry.SoftDeadline,
          Costs.processingTimeOf(Route),
          Costs.deviationOf(Route)};
}

uint32_t dispatcher::slotCount() const {
  return Capacity.concurrencyLimit(Deps.Clock.now());
}

dispatch_id dispatcher::submit(forward_metadata Metadata, http_request Request,
                               callback Callback) {
  dispatch_id Id = ++LastId;
  time_point Now = Deps.Clock.now();
  ++Arrivals;
  if (Metadata.ServerCondition)
    Deps.OnReportedCondition(*Metadata.ServerCondition);
  if (Metadata.Point)
    Sample.record(*Metadata.Point, Now);
  entry &Entry = Entries[Id];
  Entry.Deadline = Now + Metadata.TimeLeft;
  Entry.SoftDeadline = Now + Metadata.SoftTimeLeft;
  Entry.Metadata = std::move(Metadata);
  Entry.Request = std::move(Request);
  Entry.Callback = std::move(Callback);
  std::string Code = arrivalRefusalCode(Entry);
  if (!Code.empty()) {
    if (Code == ExpiredOnArrival)
      reportExpired(Entry);
    refuse(Id, Code);
    return 0;
  }
  if (refuseQuarantined(Id))
    return 0;
  Entry.Deadline = Deps.Shutdown.deadlineOf(Entry.Deadline);
  if (mustWaitForGrant(Entry.Metadata)) {
    AwaitingGrant.push_back(Id);
    return Id;
  }
  if (refuseHotPoint(Id))
    return 0;
  queued_request Queued = makeQueuedRequest(Id, Entry);
  updateAllowance();
  if (!enqueue(Entry, Queued)) {
    writeRequestLog(
        "request refused: queue full",
        {{"request_id",
          Entry.Request.Headers.find(Deps.Names.RequestId).value_or("")},
         {"running", Running},
         {"waiting", Queue.size()},
         {"awaiting_grant", AwaitingGrant.size()},
         {"work_ms", inMilliseconds(Queued.ProcessingTime)},
         {"queued_work_ms", inMilliseconds(Queue.queuedProcessingTime())},
         {"link_ms", inMilliseconds(Deps.Link.backlog())},
         {"body_bytes", Entry.Request.Body.size()},
         {"bytes_in_flight", InFlight.inFlight()},
         {"bytes_allowed", InFlight.allowance()},
         {"aim_left_ms", inMilliseconds(Queued.SoftDeadline - Now)},
         {"time_left_ms", inMilliseconds(Queued.Deadline - Now)},
         {"token_delay_ms",
          inMilliseconds(Allowance.delayOf(Queue.size(), Now))},
         {"cold", Deps.Server.isCold(Now) ? "yes" : "no"}});
    refuse(Id, "queue-full");
    return 0;
  }
  refuseDisplaced();
  dispatchWaiting();
  return Entries.contains(Id) ? Id : 0;
}

request_fingerprint dispatcher::fingerprintOf(const entry &Entry) {
  return dragonflyvane::fingerprintOf(Entry.Request, Entry.Metadata.Workspace,
                                      Entry.Metadata.Point);
}

bool dispatcher::refuseQuarantined(dispatch_id Id) {
  if (!Deps.CrashGuard.hasSuspects())
    return false;
  auto Delay = Deps.CrashGuard.refusalDelay(fingerprintOf(Entries.at(Id)));
  if (Delay)
    refuse(Id, QuarantinedCode, *Delay);
  return Delay.has_value();
}

double dispatcher::processableRate() const {
  double Seconds =
      std::chrono::duration<double>(Costs.meanProcessingTime()).count();
  double Rate = std::max(1U, slotCount()) / std::max(Seconds, 0.001);
  return std::min(Rate, Deps.Server.condition().RateLimit.value_or(Rate));
}

bool dispatcher::refuseHotPoint(dispatch_id Id) {
  const entry &Entry = Entries.at(Id);
  if (!Entry.Metadata.Point || !OverloadControl.isOn())
    return false;
  key_point Point = *Entry.Metadata.Point;
  server_headroom Headroom{processableRate(), Running >= slotCount()};
  auto RetryAfter = HotPoints.admit(Point, Headroom, Deps.Clock.now());
  if (!RetryAfter)
    return false;
  hot_span Span = HotPoints.limitOf(Point).value_or(hot_span{Point, Point});
  Deps.Metrics.count("hot_point_refusals_total");
  writeRequestLog(
      "request refused: hot key point",
      {{"request_id",
        Entry.Request.Headers.find(Deps.Names.RequestId).value_or("")},
       {"point", Point},
       {"first_point", Span.First},
       {"last_point", Span.Last},
       {"demand_per_s", std::lround(Span.Demand)},
       {"limit_per_s", std::lround(Span.Limit)},
       {"server_per_s", std::lround(Headroom.Rate)},
       {"running", Running},
       {"waiting", Queue.size()},
       {"retry_after_ms", inMilliseconds(*RetryAfter)}});
  refuse(Id, "hot-key",
         std::chrono::duration_cast<std::chrono::milliseconds>(*RetryAfter));
  return true;
}

bool dispatcher::enqueue(const entry &Entry, const queued_request &Queued) {
  duration TransferTime{0};
  if (!Entry.Metadata.IsLocal)
    TransferTime =
        Deps.Link.transferTime(Costs.responseBytesOf(Entry.Metadata.Route));
  time_point Now = Deps.Clock.now();
  auto DelayOf = [this, Now](size_t Position) {
    return Allowance.delayOf(Position, Now);
  };
  Queue.setPolicy(OverloadControl.isOn() ? queue_policy::Usefulness
                                         : queue_policy::Arrival);
  size_t Bytes = Entry.Request.Body.size();
  uint32_t Slots = slotCount();
  if (!InFlight.admits(Bytes))
    Slots = std::min(Slots, InFlight.concurrencyOf(Bytes));
  return Queue.offer(Queued, Slots, Running, Now, TransferTime, DelayOf)
      .has_value();
}

void dispatcher::refuseDisplaced() {
  for (dispatch_id Id : Queue.takeDisplaced(slotCount(), Deps.Clock.now()))
    refuse(Id, "displaced");
}

void dispatcher::cancel(dispatch_id Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  Queue.remove(Id);
  std::erase(AwaitingGrant, Id);
  if (Found->second.IsRunning) {
    --Running;
    InFlight.onEnded(Found->second.Request.Body.size());
    Deps.CancelCall(Found->second.Call);
  }
  Entries.erase(Found);
  dispatchWaiting();
}

void dispatcher::onConnectionEnded(dispatch_id Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  const entry &Entry = Found->second;
  bool IsAtServer = Entry.IsRunning && Entry.WasSent;
  if (!IsAtServer || Entry.Metadata.Idempotent)
    return cancel(Id);
  Deps.Metrics.count("runs_without_connection_total");
  writeRequestLog(
      "request goes on without its connection",
      {{"request_id",
        Entry.Request.Headers.find(Deps.Names.RequestId).value_or("")},
       {"route", Entry.Metadata.Route},
       {"instance", Entry.Incarnation.Instance},
       {"since_sent_ms", inMilliseconds(Deps.Clock.now() - Entry.SentAt)}});
}

std::optional<double> dispatcher::warmupRate() const {
  if (!Deps.Server.isCold(Deps.Clock.now()))
    return std::nullopt;
  auto Config = Deps.OperatorState.config();
  if (!Config)
    return 0;
  auto Service = Config->Services.find(Deps.Server.service());
  if (Service == Config->Services.end())
    return 0;
  double Rate = Service->second.ColdRate;
  return Rate > 0 ? std::optional(Rate) : std::nullopt;
}

void dispatcher::updateAllowance() {
  Allowance.update({warmupRate(), Deps.Server.condition().RateLimit},
                   Deps.Clock.now());
}

void dispatcher::dispatchWaiting() {
  std::deque<dispatch_id> StillWaiting;
  for (dispatch_id Id : std::exchange(AwaitingGrant, {})) {
    entry &Entry = Entries.at(Id);
    std::string Code = refusalCode(Entry.Metadata);
    if (!Code.empty())
      refuse(Id, Code);
    else if (mustWaitForGrant(Entry.Metadata))
      StillWaiting.push_back(Id);
    else
      Queue.push(makeQueuedRequest(Id, Entry));
  }
  AwaitingGrant.insert(AwaitingGrant.begin(), StillWaiting.begin(),
                       StillWaiting.end());
  std::vector<dispatch_id> TooLate;
  std::vector<dispatch_id> TooLarge;
  updateAllowance();
  while (Running < slotCount() && Queue.size() > 0 &&
         Allowance.delayOf(0, Deps.Clock.now()) == duration{0}) {
    auto Id = Queue.pop(Deps.Clock.now(), TooLate);
    if (!Id)
      break;
    std::string Code = refusalCode(Entries.at(*Id).Metadata);
    if (!Code.empty())
      refuse(*Id, Code);
    else if (mustWaitForGrant(Entries.at(*Id).Metadata))
      AwaitingGrant.push_back(*Id);
    else if (!fitsInFlight(Entries.at(*Id), !TooLarge.empty()))
      TooLarge.push_back(*Id);
    else
      dispatch(*Id);
  }
  requeue(TooLarge);
  for (dispatch_id Id : TooLate)
    refuse(Id, "waited-too-long");
}

bool dispatcher::fitsInFlight(const entry &Entry, bool IsOvertaking) const {
  size_t Bytes = Entry.Request.Body.size();
  bool MayOvertake = !IsOvertaking || in_flight_bytes::isSmall(Bytes);
  return MayOvertake && InFlight.admits(Bytes);
}

void dispatcher::requeue(const std::vector<dispatch_id> &Ids) {
  for (dispatch_id Id : Ids) {
    auto Found = Entries.find(Id);
    // A callback of a refused request may have cancelled it.
    if (Found != Entries.end())
      Queue.push(makeQueuedRequest(Id, Found->second));
  }
}

http_request dispatcher::makeServerRequest(const entry &Entry) const {
  const header_names &Names = Deps.Names;
  http_request Request = Entry.Request;
  header_list &Headers = Request.Headers;
  auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Deadline - Deps.Clock.now());
  Headers.set(Names.TimeLeft,
              std::to_string(std::max<int64_t>(1, TimeLeft.count())));
  Headers.set(Names.OriginService, Entry.Metadata.OriginService);
  Headers.set(Names.ExpectedInstance, Deps.Server.incarnation().Instance);
  Headers.remove(Names.Workspace);
  if (!Entry.Metadata.Workspace.empty())
    Headers.add(Names.Workspace, Entry.Metadata.Workspace);
  return Request;
}

bool dispatcher::maySend(dispatch_id Id) const {
  auto Found = Entries.find(Id);
  return Found != Entries.end() &&
         refusalCode(Found->second.Metadata).empty() &&
         !mustWaitForGrant(Found->second.Metadata) &&
         Found->second.Incarnation == Deps.Server.incarnation();
}

bool dispatcher::beginSending(dispatch_id Id) {
  bool MaySend = maySend(Id);
  if (MaySend)
    Entries.at(Id).WasSent = true;
  return MaySend;
}

void dispatcher::dispatch(dispatch_id Id) {
  entry &Entry = Entries.at(Id);
  Entry.IsRunning = true;
  Entry.SentAt = Deps.Clock.now();
  Entry.Incarnation = Deps.Server.incarnation();
  Entry.InFlight = ++Running;
  InFlight.onSent(Entry.Request.Body.size());
  Allowance.take(Entry.SentAt);
  Deps.Metrics.count("server_requests_total");
  Entry.Call =
      Deps.Send(Deps.Server.address(), makeServerRequest(Entry),
                makeCallOptions(Id, Entry), [this, Id](call_result Result) {
                  onResult(Id, std::move(Result));
                });
}

call_options dispatcher::makeCallOptions(dispatch_id Id, const entry &Entry) {
  std::string RequestId =
      Entry.Request.Headers.find(Deps.Names.RequestId).value_or("");
  call_options Options;
  Options.Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Deadline - Entry.SentAt);
  Options.ConnectTimeout = ServerConnectTimeout;
  Options.MaxIdle = ServerMaxIdle;
  // A late response to an earlier sending of the same request has the same id.
  Options.MayReuse = SentRequests.insert(RequestId, Entry.SentAt);
  Options.MaySend = [this, Id] { return beginSending(Id); };
  Options.Match = [Name = Deps.Names.RequestId,
                   RequestId](const http_response &Response, bool IsFirst) {
    auto Echo = Response.Headers.find(Name);
    if (Echo)
      return *Echo == RequestId ? response_match::Matches
                                : response_match::Other;
    return IsFirst ? response_match::Matches : response_match::Unproven;
  };
  return Options;
}

void dispatcher::onResult(dispatch_id Id, call_result Result) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  --Running;
  Entry.IsRunning = false;
  countBytes(Entry, Result.Outcome);
  duration Elapsed = Deps.Clock.now() - Entry.SentAt;
  BusyTime += Elapsed;
  if (Result.Outcome == call_outcome::Completed && Result.Response.Status < 400)
    Costs.observe(Entry.Metadata.Route, Elapsed, Result.Response.Body.size());
  observeCapacity(Entry, Result, Elapsed);
  if (Result.Outcome == call_outcome::ConnectionLost)
    Deps.CrashGuard.onConnectionLost(fingerprintOf(Entry), Entry.Incarnation);
  if (wasRun(Result) && Deps.CrashGuard.hasSuspects())
    Deps.CrashGuard.onResponse(fingerprintOf(Entry));
  if (IsInRollout)
    countOutcome(Entry, Result, Elapsed);
  bool WasRefused = Result.Outcome == call_outcome::ConnectionRefused;
  if (WasRefused || Result.Outcome == call_outcome::NotSent)
    Allowance.refund();
  bool IsSameIncarnation = Entry.Incarnation == Deps.Server.incarnation();
  auto Point = Entry.Metadata.Point;
  bool WasKeyRefused = Point && Result.Outcome == call_outcome::Completed &&
                       Result.Response.Status == MisdirectedRequest;
  observeCondition(Entry, Result);
  observePressure(Entry, Result);
  logFailure(Entry, Result);
  forward_result Classified = classifyResult(Entry, std::move(Result));
  bool IsShed = OverloadControl.isOn() &&
                Classified.Outcome == forward_outcome::NotRun &&
                Classified.Reached && !WasKeyRefused;
  if (IsShed)
    Classified.RetryAfter = retryAfter(Entry, true);
  finish(Id, std::move(Classified));
  if (WasRefused && IsSameIncarnation)
    Deps.OnRefusedConnection();
  if (WasKeyRefused && IsSameIncarnation)
    Deps.OnKeyRefused(*Point);
  dispatchWaiting();
}

void dispatcher::countBytes(const entry &Entry, call_outcome Outcome) {
  size_t Bytes = Entry.Request.Body.size();
  if (Outcome == call_outcome::Completed)
    InFlight.onCompleted(Bytes, Deps.Clock.now());
  else if (Outcome == call_outcome::ConnectionLost)
    InFlight.onConnectionLost(Bytes, Deps.Clock.now());
  else
    InFlight.onEnded(Bytes);
}

void dispatcher::onRollout(bool IsConcerned, bool MustLeave,
                           uint64_t Sequence) {
  IsInRollout = IsConcerned;
  Departure.update(MustLeave, Sequence, Deps.Clock.now());
}

bool dispatcher::wasRun(const call_result &Result) const {
  return Result.Outcome == call_outcome::Completed &&
         !Result.Response.Headers.find(Deps.Names.NotRun) &&
         Result.Response.Status != MisdirectedRequest;
}

void dispatcher::countOutcome(const entry &Entry, const call_result &Result,
                              duration Elapsed) {
  bool IsCurrent = Entry.Incarnation == Deps.Server.incarnation();
  bool HasTimedOut = Result.Outcome == call_outcome::TimedOut;
  if (!IsCurrent || (Result.Outcome != call_outcome::Completed && !HasTimedOut))
    return;
  if (!HasTimedOut && !wasRun(Result))
    return;
  bool HasFailed = !HasTimedOut && Result.Response.Status >= FirstServerError;
  Outcomes.count(Deps.Server.version(), Entry.Metadata.Route, HasFailed,
                 Elapsed);
  Deps.Metrics.count("version_responses_total",
                     {{"version", Deps.Server.version()},
                      {"failed", HasFailed ? "yes" : "no"}});
}

void dispatcher::logFailure(const entry &Entry,
                            const call_result &Result) const {
  if (Result.Outcome == call_outcome::Completed)
    return;
  writeRequestLog(
      "no response from the backend server",
      {{"request_id",
        Entry.Request.Headers.find(Deps.Names.RequestId).value_or("")},
       {"instance", Entry.Incarnation.Instance},
       {"reason", Result.Error},
       {"took_ms", inMilliseconds(Deps.Clock.now() - Entry.SentAt)}});
}

void dispatcher::observePressure(const entry &Entry,
                                 const call_result &Result) {
  if (Result.Outcome != call_outcome::Completed)
    return;
  Pressure.onEnd({Entry.Metadata.Route, Entry.SentAt,
                  Result.Response.Status >= FirstServerError},
                 Deps.Clock.now());
}

void dispatcher::onNestedCallRefused(const std::string &Code) {
  Pressure.onNestedCallRefused(Code, Deps.Clock.now());
  Deps.Metrics.count("nested_calls_refused_total", {{"code", Code}});
}

void dispatcher::observeCondition(const entry &Entry,
                                  const call_result &Result) {
  if (Result.Outcome != call_outcome::Completed ||
      Entry.Incarnation != Deps.Server.incarnation())
    return;
  const header_list &Headers = Result.Response.Headers;
  bool IsGenuine =
      Headers.find(Deps.Names.Signature) || Headers.find(Deps.Names.NotRun);
  if (!IsGenuine)
    return;
  const server_condition &Known = Deps.Server.condition();
  server_condition Latest = conditionAfter(Known, Headers, Deps.Names);
  if (Latest != Known || !Deps.Server.hasResponded())
    Deps.OnCondition(Latest);
}

void dispatcher::observeCapacity(const entry &Entry, const call_result &Result,
                                 duration Elapsed) {
  bool IsSuccess = Result.Outcome == call_outcome::Completed &&
                   Result.Response.Status < 400 &&
                   isFromServer(Result.Response);
  if (IsSuccess && Entry.Incarnation == Deps.Server.incarnation())
    Capacity.observe({Entry.Metadata.Route, Elapsed, Entry.InFlight},
                     Deps.Clock.now());
}

bool dispatcher::isFromServer(const http_response &Response) const {
  return Response.Headers.find(Deps.Names.Signature) &&
         !Response.Headers.find("content-encoding");
}

forward_result dispatcher::classifyResult(const entry &Entry,
                                          call_result Result) const {
  switch (Result.Outcome) {
  case call_outcome::ConnectionRefused:
    return notRun("server-refused-connection");
  case call_outcome::NotSent:
    return notRun("server-unreachable");
  case call_outcome::ConnectionLost:
    return unknown("connection-lost");
  case call_outcome::TimedOut:
    return unknown("server-timeout");
  case call_outcome::Completed:
    break;
  }
  http_response &Response = Result.Response;
  if (Response.Headers.find(Deps.Names.NotRun) ||
      Response.Status == MisdirectedRequest) {
    forward_result Refusal =
        notRun("server-refused-" + std::to_string(Response.Status));
    Refusal.Reached = true;
    return Refusal;
  }
  auto Echo = Response.Headers.find(Deps.Names.RequestId);
  if (!Echo ||
      *Echo != Entry.Request.Headers.find(Deps.Names.RequestId).value_or("") ||
      !isFromServer(Response))
    return unknown("bad-answer");
  forward_result ServerResult;
  ServerResult.Outcome = forward_outcome::Answered;
  ServerResult.Reached = true;
  ServerResult.Response = std::move(Response);
  removeHopByHop(ServerResult.Response.Headers);
  ServerResult.Response.Headers.remove(Deps.Names.Load);
  return ServerResult;
}

std::optional<int> dispatcher::mostUrgentRunning() const {
  std::optional<int> Priority;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.IsRunning)
      Priority = std::min(Priority.value_or(Entry.Metadata.Priority),
                          Entry.Metadata.Priority);
  return Priority;
}

void dispatcher::onShutdownBegin() {
  for (auto &[Id, Entry] : Entries) {
    if (Entry.IsRunning)
      continue;
    Entry.Deadline = Deps.Shutdown.deadlineOf(Entry.Deadline);
    if (Queue.remove(Id))
      Queue.push(makeQueuedRequest(Id, Entry));
  }
}

void dispatcher::endAll() {
  std::vector<dispatch_id> Ids;
  for (const auto &[Id, Entry] : Entries)
    Ids.push_back(Id);
  for (dispatch_id Id : Ids) {
    auto Found = Entries.find(Id);
    if (Found == Entries.end())
      continue;
    Queue.remove(Id);
    std::erase(AwaitingGrant, Id);
    if (!Found->second.IsRunning) {
      refuse(Id, "stopping");
      continue;
    }
    --Running;
    InFlight.onEnded(Found->second.Request.Body.size());
    Deps.CancelCall(Found->second.Call);
    finish(Id, unknown("stopping"));
  }
}

dispatcher_load dispatcher::load() const {
  duration IncomingDelay =
      Deps.IncomingLink ? Deps.IncomingLink->backlog() : duration{0};
  return {Running + static_cast<uint32_t>(Queue.size() + AwaitingGrant.size()),
          Capacity.settledLimit(Deps.Clock.now()),
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Costs.meanProcessingTime()),
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Deps.Link.backlog()),
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Allowance.delayOf(Queue.size(), Deps.Clock.now())),
          Capacity.speed(),
          std::chrono::duration_cast<std::chrono::milliseconds>(IncomingDelay)};
}

std::chrono::milliseconds dispatcher::retryAfter(const entry &Entry,
                                                 bool IsForRoom) {
  time_point Now = Deps.Clock.now();
  duration TokenDelay = Allowance.delayOf(Queue.size(), Now);
  duration ReturnDelay =
      Queue.queuedProcessingTime() / std::max(1U, slotCount());
  if (OverloadControl.isOn() && IsForRoom)
    ReturnDelay = reserveReturn(Entry, Now);
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<duration>({ReturnDelay, TokenDelay, MinRetryAfter}));
}

duration dispatcher::reserveReturn(const entry &Entry, time_point Now) {
  const forward_metadata &Metadata = Entry.Metadata;
  return Returns.reserve(
      {Metadata.Priority, Costs.processingTimeOf(Metadata.Route),
       Entry.Deadline - Now},
      Queue.forecast(Metadata.Priority, slotCount(), Now), Now);
}

void dispatcher::finish(dispatch_id Id, forward_result Result) {
  auto Found = Entries.find(Id);
  callback Callback = std::move(Found->second.Callback);
  Entries.erase(Found);
  Result.Load = load();
  Result.ServerCondition = Deps.Server.conditionReport(Deps.Clock.now());
  Callback(std::move(Result));
}

void dispatcher::refuse(dispatch_id Id, const std::string &Code) {
  auto Found = Entries.find(Id);
  // The callback of another refusal may have cancelled the request.
  if (Found == Entries.end())
    return;
  // The queue of this server says nothing about the services that it calls.
  refuse(Id, Code,
         Code == NestedCallsRefused
             ? call_pressure::ReturnDelay
             : retryAfter(Found->second, isForRoom(Code)));
}

void dispatcher::refuse(dispatch_id Id, const std::string &Code,
                        std::chrono::milliseconds RetryAfter) {
  forward_result Result = notRun(Code);
  Result.RetryAfter = RetryAfter;
  finish(Id, std::move(Result));
}

void dispatcher::tick() {
  time_point Now = Deps.Clock.now();
  bool HasEnded = Deps.CrashGuard.checkForCrash(Deps.Server);
  if (HasEnded && InFlight.onServerEnded(Now))
    writeLog(log_level::Warning, "fewer request bytes after a crash",
             {{"step", "bytes in flight"},
              {"instance", Deps.Server.incarnation().Instance},
              {"bytes_allowed", InFlight.allowance()}});
  std::vector<dispatch_id> TooLate;
  updateAllowance();
  Queue.expire(Now, TooLate, [this, Now](size_t Position) {
    return Allowance.delayOf(Position, Now);
  });
  for (dispatch_id Id : TooLate)
    refuse(Id, "waited-too-long");
  refuseDisplaced();
  std::vector<dispatch_id> Ungranted;
  for (dispatch_id Id : AwaitingGrant) {
    const entry &Entry = Entries.at(Id);
    duration Reserved = Entry.Metadata.TimeLeft * GrantReservePercent / 100;
    if (Now > Entry.Deadline - Reserved)
      Ungranted.push_back(Id);
  }
  for (dispatch_id Id : Ungranted) {
    std::erase(AwaitingGrant, Id);
    refuse(Id, "key-not-granted");
  }
  if (Queue.size() > 0 || !AwaitingGrant.empty())
    dispatchWaiting();
}

load_report dispatcher::takeLoadReport() {
  load_report Report;
  time_point Now = Deps.Clock.now();
  Deps.Metrics.set("server_body_bytes", {},
                   static_cast<double>(InFlight.inFlight()));
  Deps.Metrics.set("server_body_bytes_allowed", {},
                   static_cast<double>(InFlight.allowance()));
  double Seconds = std::chrono::duration<double>(Now - ReportedAt).count();
  if (Seconds <= 0)
    return Report;
  Report.Rate = static_cast<double>(Arrivals) / Seconds;
  Report.Utilization = std::chrono::duration<double>(BusyTime).count() /
                       Seconds / std::max(1U, Deps.Server.slots());
  Report.ProcessingTime =
      std::chrono::duration<double>(Costs.meanProcessingTime()).count();
  Report.RateLimit = Deps.Server.condition().RateLimit;
  Report.Sample = Sample.points(Now);
  Capacity.addTo(Report, Now);
  std::vector<version_outcomes> Counted = Outcomes.take(Deps.Server.service());
  if (IsInRollout)
    Report.Outcomes = std::move(Counted);
  Report.InFlight = static_cast<uint32_t>(Entries.size());
  Report.RolloutSequence = Departure.sequence(Now);
  ReportedAt = Now;
  Arrivals = 0;
  BusyTime = duration{0};
  return Report;
}

} // namespace dragonflyvane
