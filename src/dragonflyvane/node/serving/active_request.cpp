#include "dragonflyvane/node/serving/active_request.hpp"

#include "dragonflyvane/core/admission/request_priority.hpp"
#include "dragonflyvane/net/log.hpp"

#include <charconv>

namespace dragonflyvane {

namespace {

/// Timeout of requests for which neither the caller nor the route sets one.
constexpr std::chrono::milliseconds DefaultTimeout{10'000};
/// Share of the timeout during which a request may wait for a host.
constexpr int HostWaitPercent = 40;
/// After this many attempts that no backend server has run, the request is not
/// retried.
constexpr uint32_t MaxRefusals = 3;
/// An attempt starts only if at least this much time is left.
constexpr std::chrono::milliseconds MinTimeLeft{20};
/// Lower bound of the `Retry-After` of refusals.
constexpr std::chrono::milliseconds MinRetryAfter{40};
/// The largest factor by which a return is delayed beyond the time at which
/// room is expected.
constexpr double MaxReturnJitter = 1.25;
/// Approximate time until a key is served again after its owner became
/// unreachable or started to hand the key over.
constexpr std::chrono::milliseconds OwnerRetryAfter{500};
/// Period at which a request that waits for a host looks for one again.
constexpr std::chrono::milliseconds HostLookupInterval{60};

template <typename Number>
std::optional<Number> toNumber(const std::optional<std::string> &Text) {
  Number Value{};
  if (!Text)
    return std::nullopt;
  const char *End = Text->data() + Text->size();
  auto Read = std::from_chars(Text->data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

request_router::active_request::active_request(request_router &Router,
                                               exchange_pointer Exchange)
    : Router(Router), Exchange(std::move(Exchange)),
      Request(this->Exchange->request()),
      Config(Router.Deps.OperatorState.config()),
      StartedAt(Router.Deps.Clock.now()) {
  Router.ActiveRequests.insert(this);
}

request_router::active_request::~active_request() {
  Router.ActiveRequests.erase(this);
}

std::string request_router::active_request::requestId() const {
  return Request.Headers.find(Router.Deps.Names.RequestId).value_or("");
}

duration request_router::active_request::timeLeft() const {
  return Router.Deps.Shutdown.deadlineOf(Deadline) - Router.Deps.Clock.now();
}

void request_router::active_request::begin() {
  Exchange->onDisconnect([Weak = weak_from_this()](disconnect_cause) {
    if (auto Self = Weak.lock())
      Self->cancel();
  });
  Deadline = StartedAt + DefaultTimeout;
  if (!Config)
    return refuse(503, "no-configuration", run_state::NotRun,
                  withJitter(std::chrono::milliseconds(300)));
  Route = findRoute(*Config, Request.Headers.find("host").value_or(""),
                    Request.Target);
  if (!Route)
    return refuse(404, "no-route", run_state::NotRun);
  applyRoute(*Route);
  IsNestedCall = isNestedCall();
  if (!isAdmittedByShutdown())
    return refuse(503, "stopping", run_state::NotRun,
                  Router.Deps.Shutdown.acceptTimeLeft() + RestartRetryAfter);
  if (!authenticate(*Route))
    return;
  Router.Deps.RateLimiter.admit(
      Metadata.Workspace,
      [Self = shared_from_this()](bool Admitted, duration After) {
        Self->onAdmitted(Admitted, After);
      });
}

void request_router::active_request::applyRoute(const route &Route) {
  const header_names &Names = Router.Deps.Names;
  auto CallerTimeout = toNumber<int64_t>(Request.Headers.find(Names.TimeLeft));
  auto Timeout =
      CallerTimeout
          ? std::chrono::milliseconds(std::max<int64_t>(0, *CallerTimeout))
          : DefaultTimeout;
  if (Route.Timeout.count() > 0)
    Timeout = std::min(Timeout, Route.Timeout);
  Deadline = StartedAt + Timeout;
  HostWaitDeadline = StartedAt + Timeout * HostWaitPercent / 100;
  Metadata.Route = Route.Name;
  Metadata.Idempotent = Route.Idempotent;
  Metadata.Priority = priorityOf({}, Route);
  Metadata.OriginService = Router.Deps.Settings.LocalService;
  Metadata.Point = toNumber<key_point>(Request.Headers.find(Names.KeyPoint));
}

bool request_router::active_request::isNestedCall() const {
  const dispatcher &Dispatcher = Router.Deps.Dispatcher;
  bool HasKey = Request.Headers.find(Router.Deps.Names.CallerKey).has_value();
  bool IsAnonymous = Route->AllowsAnonymous && !HasKey;
  if (!Router.OverloadControl.isOn())
    return IsAnonymous && Dispatcher.activeCount() > 0;
  call_origin Origin;
  Origin.Route = Route->Name;
  Origin.IsAnonymous = IsAnonymous;
  Origin.HasWorkspaces = !Config->Workspaces.empty();
  Origin.Address = Exchange->remoteAddress();
  Origin.ServerAddress = Router.Deps.LocalServer.address().Address;
  Origin.IsServerActive = Dispatcher.activeCount() > 0;
  Origin.IsServerRunning = Dispatcher.isServerRunning();
  return Router.NestedCalls.observe(Origin, Router.Deps.Clock.now());
}

bool request_router::active_request::isAdmittedByShutdown() const {
  return Router.Deps.Shutdown.admits(
      {Deadline, Router.Costs.processingTimeBound(Metadata.Route),
       Route->Idempotent, IsNestedCall});
}

bool request_router::active_request::authenticate(const route &Route) {
  auto Key = Request.Headers.find(Router.Deps.Names.CallerKey);
  Request.Headers.remove(Router.Deps.Names.CallerKey);
  removeHopByHop(Request.Headers);
  removeInternal(Request.Headers);
  Request.Headers.remove("expect");
  if (Config->Workspaces.empty() || (Route.AllowsAnonymous && !Key)) {
    if (Route.AllowsAnonymous)
      Metadata.Priority = InternalPriority;
    else if (IsNestedCall)
      inheritPriority();
    return true;
  }
  if (Router.Deps.OperatorState.confirmationAge(Router.Deps.Clock.now()) >
      Router.Deps.Settings.MaxConfirmationAge) {
    refuse(503, "configuration-not-confirmed", run_state::NotRun,
           withJitter(std::chrono::milliseconds(500)));
    return false;
  }
  auto Found = Config->CallerKeys.find(Key.value_or(""));
  if (Found == Config->CallerKeys.end()) {
    if (Route.AllowsAnonymous)
      return true;
    refuse(401, "unknown-key", run_state::NotRun);
    return false;
  }
  Metadata.Workspace = Found->second;
  Metadata.Priority =
      priorityOf(Config->Workspaces.at(Metadata.Workspace), Route);
  return true;
}

void request_router::active_request::inheritPriority() {
  // Which of the running requests makes the call is unknown. The most urgent
  // one must not wait behind less urgent requests of the called service.
  int Parent =
      Router.Deps.Dispatcher.mostUrgentRunning().value_or(Metadata.Priority);
  Metadata.Priority = priorityOfNestedCall(Parent);
  Router.Deps.Metrics.count("nested_calls_total", {{"route", Route->Name}});
}

void request_router::active_request::onAdmitted(bool Admitted,
                                                duration RetryAfter) {
  if (IsDone)
    return;
  if (!Admitted)
    return refuse(429, "over-rate", run_state::NotRun,
                  std::max<duration>(RetryAfter, MinRetryAfter));
  HasToken = true;
  chooseService();
  Router.retryBudgetFor(Metadata.Service).onRequest();
  dispatch();
}

void request_router::active_request::chooseService() {
  double Total = 0;
  for (const weighted_service &Candidate : Route->Services)
    Total += Candidate.Weight;
  double Draw = std::uniform_real_distribution<double>(0, Total)(Router.Random);
  Metadata.Service = Route->Services.back().Service;
  for (const weighted_service &Candidate : Route->Services) {
    Draw -= Candidate.Weight;
    if (Draw >= 0)
      continue;
    Metadata.Service = Candidate.Service;
    break;
  }
  auto Found = Config->Services.find(Metadata.Service);
  IsKeyed = Found != Config->Services.end() && Found->second.Keyed;
  if (!IsKeyed)
    Metadata.Point.reset();
}

std::optional<std::string>
request_router::active_request::chooseTrialHost() const {
  const crash_guard &Guard = Router.Deps.CrashGuard;
  if (!Guard.hasSuspects())
    return std::nullopt;
  auto Host = Guard.trialHost(
      fingerprintOf(Request, Metadata.Workspace, Metadata.Point));
  bool IsUsable =
      Host && Router.Deps.View.host(*Host) && !TriedHosts.contains(*Host);
  return IsUsable ? Host : std::nullopt;
}

std::optional<std::string> request_router::active_request::chooseHost() {
  if (auto Host = IsKeyed ? std::nullopt : chooseTrialHost())
    return Host;
  if (!IsKeyed)
    return Router.HostSelector.pick(
        Metadata.Service,
        {Request.Body.size(), Router.Costs.responseBytesOf(Metadata.Route)},
        TriedHosts);
  const known_map *Map = Router.Deps.View.map(Metadata.Service);
  if (!Map)
    return std::nullopt;
  const std::string &Owner =
      Map->Content.find(Metadata.Point.value_or(0)).Owner;
  if (Owner.empty())
    return std::nullopt;
  return Owner;
}

void request_router::active_request::dispatch() {
  if (IsDone)
    return;
  if (timeLeft() < MinTimeLeft)
    return refuseUnserved("no-time-left", {});
  if (IsKeyed && (!Metadata.Point || *Metadata.Point > LastPoint))
    return refuse(400, "no-key-point", run_state::NotRun);
  std::optional<std::string> Host = chooseHost();
  if (!Host)
    return waitForHost("no-owner");
  send(*Host);
}

void request_router::active_request::send(const std::string &Host) {
  Metadata.TimeLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft());
  Metadata.IsLocal = Host == Router.Deps.Settings.Host;
  size_t RequestBytes = Metadata.IsLocal ? 0 : Request.Body.size();
  // The response also crosses the link of this host to the caller.
  duration TransferTime = Router.Deps.Link.transferTime(
      RequestBytes, Router.Costs.responseBytesOf(Metadata.Route));
  Metadata.SoftTimeLeft = Metadata.TimeLeft;
  duration SoftTimeLeft = timeLeft();
  if (Route->SoftTimeout.count() > 0) {
    SoftTimeLeft = StartedAt + Route->SoftTimeout - Router.Deps.Clock.now();
    // The other host subtracts what the request really takes to arrive.
    duration ResponseTime =
        TransferTime - Router.Deps.Link.transferTime(RequestBytes);
    Metadata.SoftTimeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(SoftTimeLeft -
                                                              ResponseTime);
  }
  if (isLinkTooSlow(TransferTime, timeLeft(), SoftTimeLeft))
    return refuseUnserved(
        "link-full",
        std::chrono::duration_cast<std::chrono::milliseconds>(TransferTime));
  TargetHost = Host;
  Metadata.ServerCondition =
      Router.Conditions.reportFor(Host, Router.Deps.Clock.now());
  if (Metadata.IsLocal) {
    Router.HostSelector.onSent(Host);
    LocalDispatch = Router.Deps.Dispatcher.submit(
        Metadata, Request, [Self = shared_from_this(), Host](forward_result R) {
          Self->onResult(Host, std::move(R));
        });
    return;
  }
  const host_info *Info = Router.Deps.View.host(Host);
  if (!Info)
    return waitForHost("owner-unknown");
  if (IsKeyed && Router.HostSelector.isInBackoff(Host))
    return refuseUnserved("owner-unreachable", OwnerRetryAfter);
  sendToPeer(Host, *Info);
}

void request_router::active_request::sendToPeer(const std::string &Host,
                                                const host_info &Info) {
  http_request Forwarded = Request;
  writeMetadata(Metadata, Forwarded.Headers);
  Router.HostSelector.onSent(Host);
  PeerCall = Router.Deps.Peers.send(
      Info.PeerEndpoint, std::move(Forwarded), Metadata.TimeLeft,
      [Self = shared_from_this(), Host](call_result Result) {
        Self->onPeerResult(Host, std::move(Result));
      },
      silencePolicy());
}

silence_policy request_router::active_request::silencePolicy() const {
  bool MayRunElsewhere = Route->Idempotent && !IsKeyed;
  return MayRunElsewhere ? silence_policy::End : silence_policy::Wait;
}

void request_router::active_request::onPeerResult(const std::string &Host,
                                                  call_result Result) {
  PeerCall = 0;
  if (Result.Outcome == call_outcome::Completed)
    return onResult(Host, decodeResult(std::move(Result.Response)));
  forward_result Failure;
  bool IsNotRun = Result.Outcome == call_outcome::NotSent ||
                  Result.Outcome == call_outcome::ConnectionRefused;
  Failure.Outcome =
      IsNotRun ? forward_outcome::NotRun : forward_outcome::Unknown;
  Failure.Code = IsNotRun ? "peer-unreachable" : "peer-lost";
  // A call that could not be sent before its deadline, over a busy link, does
  // not show that the peer is unreachable.
  bool HasTimedOut = Result.Outcome == call_outcome::TimedOut ||
                     (IsNotRun && timeLeft() < MinTimeLeft);
  if (HasTimedOut)
    Failure.Code = "deadline";
  else if (!Result.PeerAnswers)
    Router.HostSelector.onUnreachable(Host);
  Failure.Reached = !IsNotRun;
  onResult(Host, std::move(Failure));
}

void request_router::active_request::onResult(const std::string &Host,
                                              forward_result Result) {
  LocalDispatch = 0;
  Router.HostSelector.onFinished(Host, Result.Load);
  // Any report holds, but only a response shows that there is nothing to
  // report.
  if (Result.ServerCondition || Result.Outcome == forward_outcome::Answered)
    Router.Conditions.observe(Host, Result.ServerCondition,
                              Router.Deps.Clock.now());
  if (IsDone)
    return;
  TriedHosts.insert(Host);
  if (Result.Reached)
    ++ServerAttempts;
  MayHaveRun |= Result.Outcome != forward_outcome::NotRun;
  if (Result.Outcome == forward_outcome::Answered &&
      Result.Response.Status < 500) {
    Router.Costs.observe(Metadata.Route, Router.Deps.Clock.now() - StartedAt,
                         Result.Response.Body.size());
    return respond(std::move(Result.Response));
  }
  if (Result.Outcome == forward_outcome::NotRun) {
    ++RefusalCount;
    bool MapIsStale =
        Result.Code == "not-owner" || Result.Code == "server-leaving-or-down" ||
        Result.Code == "evacuated" || Result.Code == "peer-unreachable" ||
        Result.Code == "stopping";
    // An immediate retry would reach the same owner, so the request waits for
    // a change of the map or the next lookup.
    if (IsKeyed && MapIsStale)
      return waitForHost(Result.Code);
  }
  if (Result.Code == QuarantinedCode)
    return refuseNoEarlier(Result.Code, Result.RetryAfter);
  if (mayRetry(Result))
    return scheduleRetry();
  if (Result.Outcome == forward_outcome::Answered)
    return respond(std::move(Result.Response));
  if (Result.Outcome == forward_outcome::NotRun)
    return refuseUntilRoom(Result.Code, Result.RetryAfter);
  refuseUnserved(Result.Code, {});
}

bool request_router::active_request::mayRetry(const forward_result &Result) {
  if (timeLeft() < MinTimeLeft)
    return false;
  bool NotRun = Result.Outcome == forward_outcome::NotRun;
  if (!NotRun && (!Route->Idempotent || ServerAttempts >= Route->MaxAttempts))
    return false;
  if (NotRun && RefusalCount >= MaxRefusals)
    return false;
  // A key has one owner; only requests without keys can go to another host.
  if (NotRun && !Result.Reached)
    return !IsKeyed;
  if (ServerAttempts >= Route->MaxAttempts)
    return false;
  return Router.retryBudgetFor(Metadata.Service).take(Router.Deps.Clock.now());
}

void request_router::active_request::scheduleRetry() {
  Router.Deps.Metrics.count("retries_total", {{"service", Metadata.Service}});
  Router.Deps.Loop.post([Self = shared_from_this()] { Self->dispatch(); });
}

void request_router::active_request::waitForHost(const std::string &Code) {
  time_point Now = Router.Deps.Clock.now();
  if (Now >= HostWaitDeadline)
    return refuseUnserved(Code, OwnerRetryAfter);
  HostWaitCode = Code;
  IsWaitingForHost = true;
  Router.WaitingForHost.push_back(weak_from_this());
  duration Delay =
      std::min<duration>(HostWaitDeadline - Now, HostLookupInterval);
  // `WaitingForHost` holds a weak pointer only; the timer keeps this object
  // alive.
  Timer = Router.Deps.Loop.after(
      Delay, [Self = shared_from_this()] { Self->retryHostLookup(); });
}

void request_router::active_request::retryHostLookup() {
  if (!IsWaitingForHost || IsDone)
    return;
  auto Self = shared_from_this();
  IsWaitingForHost = false;
  if (Router.Deps.Clock.now() >= HostWaitDeadline)
    return refuseUnserved(HostWaitCode, OwnerRetryAfter);
  Router.Deps.Loop.post([Self] {
    Self->Timer.cancel();
    Self->dispatch();
  });
}

void request_router::active_request::cancel() {
  if (IsDone)
    return;
  IsDone = true;
  auto Self = shared_from_this();
  Timer.cancel();
  cancelForwarding();
  Router.Deps.Metrics.count("requests_total", {{"end", "caller-left"}});
}

void request_router::active_request::cancelForwarding() {
  if (LocalDispatch != 0)
    Router.Deps.Dispatcher.cancel(LocalDispatch);
  if (PeerCall != 0)
    Router.Deps.Peers.cancel(PeerCall);
  if (LocalDispatch != 0 || PeerCall != 0)
    Router.HostSelector.onFinished(TargetHost, {});
}

void request_router::active_request::end() {
  if (IsDone)
    return;
  bool IsForwarded = LocalDispatch != 0 || PeerCall != 0;
  MayHaveRun |= IsForwarded;
  cancelForwarding();
  refuseUnserved("stopping", RestartRetryAfter);
}

duration request_router::active_request::withJitter(duration Mean) {
  double Factor =
      std::uniform_real_distribution<double>(0.5, 1.5)(Router.Random);
  return std::chrono::duration_cast<duration>(Mean * Factor);
}

void request_router::active_request::refuseUnserved(
    const std::string &Code, std::chrono::milliseconds RetryAfter) {
  if (MayHaveRun)
    return refuse(timeLeft() < MinTimeLeft ? 504 : 502, Code,
                  run_state::Unknown);
  duration After = std::max<duration>(RetryAfter, MinRetryAfter);
  refuse(503, Code, run_state::NotRun, withJitter(After));
}

void request_router::active_request::refuseUntilRoom(
    const std::string &Code, std::chrono::milliseconds RetryAfter) {
  if (!Router.OverloadControl.isOn())
    return refuseUnserved(Code, RetryAfter);
  refuseNoEarlier(Code, RetryAfter);
}

void request_router::active_request::refuseNoEarlier(
    const std::string &Code, std::chrono::milliseconds RetryAfter) {
  if (MayHaveRun)
    return refuseUnserved(Code, RetryAfter);
  double Factor =
      std::uniform_real_distribution<double>(1, MaxReturnJitter)(Router.Random);
  duration After = std::max<duration>(RetryAfter, MinRetryAfter);
  refuse(503, Code, run_state::NotRun,
         std::chrono::duration_cast<duration>(After * Factor));
}

void request_router::active_request::refuse(int Status, const std::string &Code,
                                            run_state Ran,
                                            duration RetryAfter) {
  refusal Refusal;
  Refusal.Status = Status;
  Refusal.Code = Code;
  Refusal.Ran = Ran;
  Refusal.RetryAfter =
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter);
  http_response Response = toResponse(Refusal);
  Response.Headers.add(Router.Deps.Names.RequestId, requestId());
  Router.Deps.Metrics.count("refusals_total", {{"code", Code}});
  if (IsNestedCall && Status == 503)
    Router.Deps.Dispatcher.onNestedCallRefused(Code);
  time_point Now = Router.Deps.Clock.now();
  writeRequestLog(
      "refused",
      {{"request_id", requestId()},
       {"status", Status},
       {"code", Code},
       {"ran", toString(Ran)},
       {"route", Metadata.Route},
       {"priority", Metadata.Priority},
       {"retry_after_ms", inMilliseconds(RetryAfter)},
       {"workspace", Metadata.Workspace},
       {"peer", TargetHost},
       {"reached", ServerAttempts},
       {"config", Config ? Config->Version : 0},
       {"evidence_ms",
        inMilliseconds(Router.Deps.OperatorState.confirmationAge(Now))},
       {"took_ms", inMilliseconds(Now - StartedAt)}});
  respond(std::move(Response));
}

void request_router::active_request::respond(http_response Response) {
  if (IsDone)
    return;
  IsDone = true;
  Timer.cancel();
  if (HasToken && !MayHaveRun)
    Router.Deps.RateLimiter.refund(Metadata.Workspace);
  duration Elapsed = Router.Deps.Clock.now() - StartedAt;
  Router.Deps.Metrics.observe("request_seconds",
                              {{"workspace", Metadata.Workspace}}, Elapsed);
  Exchange->respond(std::move(Response));
}

} // namespace dragonflyvane
