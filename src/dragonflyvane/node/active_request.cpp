#include "dragonflyvane/node/active_request.hpp"

#include "dragonflyvane/net/log.hpp"

#include <charconv>

namespace dragonflyvane {

namespace {

/// For a caller that does not say how long it waits, on a route that does not.
constexpr std::chrono::milliseconds DefaultTime{10'000};
/// The part of its time in which a request may wait for an owner.
constexpr int HostWaitPercent = 40;
/// A request that no door has taken is offered to so many.
constexpr uint32_t MostRefusals = 3;
/// Calls between backend servers go before what depends on them.
constexpr int InnerPriority = -1;
/// A repetition must have so much time left.
constexpr std::chrono::milliseconds LeastTimeLeft{20};
constexpr std::chrono::milliseconds LeastRetryAfter{40};
/// When a key's owner is being replaced or is out of reach, it takes about this
/// long until it is served again.
constexpr std::chrono::milliseconds OwnerRetryAfter{500};
/// A daemon that stops is usually back after this.
constexpr std::chrono::milliseconds RestartRetryAfter{900};
/// A request that brings servers down is not run for minutes.
constexpr std::chrono::milliseconds QuarantineRetryAfter{60'000};
/// A host that cannot be reached is looked at again after this.
constexpr std::chrono::milliseconds LookAgainPause{60};

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
    : E(Router), Exchange(std::move(Exchange)),
      Request(this->Exchange->request()),
      Config(Router.Deps.OperatorState.config()),
      StartedAt(Router.Deps.Clock.now()) {
  ++E.Open;
}

request_router::active_request::~active_request() { --E.Open; }

std::string request_router::active_request::requestId() const {
  return Request.Headers.find(E.Deps.Names.RequestId).value_or("");
}

duration request_router::active_request::left() const {
  return Deadline - E.Deps.Clock.now();
}

void request_router::active_request::begin() {
  Exchange->onDisconnect([Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->cancel();
  });
  Deadline = StartedAt + DefaultTime;
  if (E.IsClosing)
    return refuse(503, "stopping", run_state::NotRun, RestartRetryAfter);
  if (!Config)
    return refuse(503, "no-configuration", run_state::NotRun,
                  spread(std::chrono::milliseconds(300)));
  Route = findRoute(*Config, Request.Headers.find("host").value_or(""),
                    Request.Target);
  if (!Route)
    return refuse(404, "no-route", run_state::NotRun);
  readRoute(*Route);
  if (!authenticate(*Route))
    return;
  E.Deps.Rates.admit(Metadata.Workspace, [Self = shared_from_this()](
                                             bool Admitted, duration After) {
    Self->onAdmitted(Admitted, After);
  });
}

void request_router::active_request::readRoute(const route &Route) {
  const header_names &Names = E.Deps.Names;
  auto Wait = toNumber<int64_t>(Request.Headers.find(Names.TimeLeft));
  auto Time = Wait ? std::chrono::milliseconds(std::max<int64_t>(0, *Wait))
                   : DefaultTime;
  if (Route.Timeout.count() > 0)
    Time = std::min(Time, Route.Timeout);
  Deadline = StartedAt + Time;
  WaitEnd = StartedAt + Time * HostWaitPercent / 100;
  Metadata.Route = Route.Name;
  Metadata.Priority = Route.Priority;
  Metadata.OriginService = E.Deps.Settings.LocalService;
  Metadata.Point = toNumber<key_point>(Request.Headers.find(Names.KeyPoint));
}

bool request_router::active_request::authenticate(const route &Route) {
  auto Key = Request.Headers.find(E.Deps.Names.CallerKey);
  Request.Headers.remove(E.Deps.Names.CallerKey);
  removeHopByHop(Request.Headers);
  removeInternal(Request.Headers);
  Request.Headers.remove("expect");
  if (Config->Workspaces.empty() || (Route.AllowsAnonymous && !Key)) {
    Metadata.Priority = Route.AllowsAnonymous ? InnerPriority : Route.Priority;
    return true;
  }
  if (E.Deps.OperatorState.confirmationAge(E.Deps.Clock.now()) >
      E.Deps.Settings.MaxConfirmationAge) {
    refuse(503, "configuration-not-confirmed", run_state::NotRun,
           spread(std::chrono::milliseconds(500)));
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
  const workspace &Workspace = Config->Workspaces.at(Metadata.Workspace);
  if (Workspace.Priority >= 0)
    Metadata.Priority = Workspace.Priority;
  return true;
}

void request_router::active_request::onAdmitted(bool Admitted,
                                                duration RetryAfter) {
  if (IsDone)
    return;
  if (!Admitted)
    return refuse(429, "over-rate", run_state::NotRun,
                  std::max<duration>(RetryAfter, LeastRetryAfter));
  HasToken = true;
  chooseService();
  E.budgetOf(Metadata.Service).onRequest();
  dispatch();
}

void request_router::active_request::chooseService() {
  double Total = 0;
  for (const weighted_service &Part : Route->Services)
    Total += Part.Weight;
  double Mark = std::uniform_real_distribution<double>(0, Total)(E.Random);
  Metadata.Service = Route->Services.back().Service;
  for (const weighted_service &Part : Route->Services) {
    Mark -= Part.Weight;
    if (Mark >= 0)
      continue;
    Metadata.Service = Part.Service;
    break;
  }
  auto Found = Config->Services.find(Metadata.Service);
  IsKeyed = Found != Config->Services.end() && Found->second.Keyed;
  if (!IsKeyed)
    Metadata.Point.reset();
}

std::optional<std::string> request_router::active_request::chooseHost() {
  if (!IsKeyed)
    return E.HostSelector.pick(Metadata.Service,
                               E.Costs.responseBytesOf(Metadata.Route), Tried);
  const versioned<ownership_map> *Map = E.Deps.View.map(Metadata.Service);
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
  if (left() < LeastTimeLeft)
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
      std::chrono::duration_cast<std::chrono::milliseconds>(left());
  Metadata.SoftTimeLeft = Metadata.TimeLeft;
  // The answer has to cross this host's link in time, too.
  duration Link =
      E.Deps.Link.transferTime(E.Costs.responseBytesOf(Metadata.Route));
  if (Route->SoftTimeout.count() > 0)
    Metadata.SoftTimeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            StartedAt + Route->SoftTimeout - Link - E.Deps.Clock.now());
  if (Link > duration{0} && Metadata.SoftTimeLeft.count() < 0)
    return refuseUnserved(
        "link-full",
        std::chrono::duration_cast<std::chrono::milliseconds>(Link));
  SentTo = Host;
  Metadata.IsLocal = Host == E.Deps.Settings.Host;
  if (Metadata.IsLocal) {
    E.HostSelector.onSent(Host);
    AtDoor = E.Deps.Dispatcher.submit(
        Metadata, Request, [Self = shared_from_this(), Host](forward_result R) {
          Self->onResult(Host, std::move(R));
        });
    return;
  }
  const host_info *Info = E.Deps.View.host(Host);
  if (!Info)
    return waitForHost("owner-unknown");
  if (IsKeyed && E.HostSelector.isSuspect(Host))
    return refuseUnserved("owner-unreachable", OwnerRetryAfter);
  sendToPeer(Host, *Info);
}

void request_router::active_request::sendToPeer(const std::string &Host,
                                                const host_info &Info) {
  http_request Forwarded = Request;
  writeMetadata(Metadata, Forwarded.Headers);
  E.HostSelector.onSent(Host);
  AtPeer = E.Deps.Peers.send(
      parseEndpoint(Info.PeerAddress), std::move(Forwarded), Metadata.TimeLeft,
      [Self = shared_from_this(), Host](call_result Result) {
        Self->onPeerResult(Host, std::move(Result));
      });
}

void request_router::active_request::onPeerResult(const std::string &Host,
                                                  call_result Result) {
  AtPeer = 0;
  if (Result.Outcome == call_outcome::Completed)
    return onResult(Host, decodeResult(std::move(Result.Response)));
  forward_result Ended;
  bool Certain = Result.Outcome == call_outcome::NotSent ||
                 Result.Outcome == call_outcome::ConnectionRefused;
  Ended.Outcome = Certain ? forward_outcome::NotRun : forward_outcome::Unknown;
  Ended.Code = Certain ? "peer-unreachable" : "peer-lost";
  if (Result.Outcome == call_outcome::TimedOut)
    Ended.Code = "deadline";
  else
    E.HostSelector.onUnreachable(Host);
  Ended.Reached = !Certain;
  onResult(Host, std::move(Ended));
}

void request_router::active_request::onResult(const std::string &Host,
                                              forward_result Result) {
  AtDoor = 0;
  E.HostSelector.onEnded(Host, Result.Load);
  if (IsDone)
    return;
  Tried.insert(Host);
  if (Result.Reached)
    ++Reached;
  MayHaveRun |= Result.Outcome != forward_outcome::NotRun;
  if (Result.Outcome == forward_outcome::Answered &&
      Result.Response.Status < 500) {
    E.Costs.observe(Metadata.Route, E.Deps.Clock.now() - StartedAt,
                    Result.Response.Body.size());
    return answer(std::move(Result.Response));
  }
  if (Result.Outcome == forward_outcome::NotRun) {
    ++Refusals;
    bool MapIsStale =
        Result.Code == "not-owner" || Result.Code == "server-leaving-or-down" ||
        Result.Code == "evacuated" || Result.Code == "peer-unreachable" ||
        Result.Code == "stopping";
    if (IsKeyed && MapIsStale)
      return waitForHost(Result.Code);
  }
  if (Result.Code == "quarantined")
    return refuseUnserved(Result.Code, QuarantineRetryAfter);
  if (mayRepeat(Result))
    return tryAgain();
  if (Result.Outcome == forward_outcome::Answered)
    return answer(std::move(Result.Response));
  if (Result.Outcome == forward_outcome::NotRun)
    return refuseUnserved(Result.Code, Result.RetryAfter);
  refuseUnserved(Result.Code, {});
}

bool request_router::active_request::mayRepeat(const forward_result &Result) {
  if (left() < LeastTimeLeft)
    return false;
  bool NotRun = Result.Outcome == forward_outcome::NotRun;
  if (!NotRun && (!Route->Idempotent || Reached >= Route->MaxAttempts))
    return false;
  if (NotRun && Refusals >= MostRefusals)
    return false;
  if (NotRun && !Result.Reached)
    return !IsKeyed;
  if (Reached >= Route->MaxAttempts)
    return false;
  return E.budgetOf(Metadata.Service).take(E.Deps.Clock.now());
}

void request_router::active_request::tryAgain() {
  E.Deps.Metrics.count("retries_total", {{"service", Metadata.Service}});
  E.Deps.Loop.post([Self = shared_from_this()] { Self->dispatch(); });
}

void request_router::active_request::waitForHost(const std::string &Code) {
  time_point Now = E.Deps.Clock.now();
  if (Now >= WaitEnd)
    return refuseUnserved(Code, OwnerRetryAfter);
  WaitCode = Code;
  IsWaiting = true;
  E.Waiting.push_back(weak_from_this());
  duration Pause = std::min<duration>(WaitEnd - Now, LookAgainPause);
  // The timer keeps the journey alive.
  Timer = E.Deps.Loop.after(Pause,
                            [Self = shared_from_this()] { Self->lookAgain(); });
}

void request_router::active_request::lookAgain() {
  if (!IsWaiting || IsDone)
    return;
  auto Self = shared_from_this();
  IsWaiting = false;
  if (E.Deps.Clock.now() >= WaitEnd)
    return refuseUnserved(WaitCode, OwnerRetryAfter);
  E.Deps.Loop.post([Self] {
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
  if (AtDoor != 0)
    E.Deps.Dispatcher.cancel(AtDoor);
  if (AtPeer != 0)
    E.Deps.Peers.cancel(AtPeer);
  if (AtDoor != 0 || AtPeer != 0)
    E.HostSelector.onEnded(SentTo, {});
  E.Deps.Metrics.count("requests_total", {{"end", "caller-left"}});
}

duration request_router::active_request::spread(duration Mean) {
  double Factor = std::uniform_real_distribution<double>(0.5, 1.5)(E.Random);
  return std::chrono::duration_cast<duration>(Mean * Factor);
}

void request_router::active_request::refuseUnserved(
    const std::string &Code, std::chrono::milliseconds RetryAfter) {
  if (MayHaveRun)
    return refuse(left() < LeastTimeLeft ? 504 : 502, Code, run_state::Unknown);
  duration After = std::max<duration>(RetryAfter, LeastRetryAfter);
  refuse(503, Code, run_state::NotRun, spread(After));
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
  Response.Headers.add(E.Deps.Names.RequestId, requestId());
  E.Deps.Metrics.count("refusals_total", {{"code", Code}});
  time_point Now = E.Deps.Clock.now();
  writeRequestLog("refused",
                  {{"request_id", requestId()},
                   {"status", Status},
                   {"code", Code},
                   {"ran", toString(Ran)},
                   {"route", Metadata.Route},
                   {"workspace", Metadata.Workspace},
                   {"peer", SentTo},
                   {"reached", Reached},
                   {"config", Config ? Config->Version : 0},
                   {"evidence_ms",
                    inMilliseconds(E.Deps.OperatorState.confirmationAge(Now))},
                   {"took_ms", inMilliseconds(Now - StartedAt)}});
  answer(std::move(Response));
}

void request_router::active_request::answer(http_response Response) {
  if (IsDone)
    return;
  IsDone = true;
  Timer.cancel();
  if (HasToken && !MayHaveRun)
    E.Deps.Rates.refund(Metadata.Workspace);
  duration Took = E.Deps.Clock.now() - StartedAt;
  E.Deps.Metrics.observe("request_seconds", {{"workspace", Metadata.Workspace}},
                         Took);
  Exchange->respond(std::move(Response));
}

} // namespace dragonflyvane
