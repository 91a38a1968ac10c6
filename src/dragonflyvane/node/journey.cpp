#include "dragonflyvane/node/journey.hpp"

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

entrance::journey::journey(entrance &Entrance, exchange_pointer Exchange)
    : E(Entrance), Exchange(std::move(Exchange)),
      Request(this->Exchange->request()),
      Config(Entrance.Parts.Orders.config()),
      StartedAt(Entrance.Parts.Clock.now()) {
  ++E.Open;
}

entrance::journey::~journey() { --E.Open; }

std::string entrance::journey::requestId() const {
  return Request.Headers.find(E.Parts.Names.RequestId).value_or("");
}

duration entrance::journey::left() const {
  return Deadline - E.Parts.Clock.now();
}

void entrance::journey::begin() {
  Exchange->onGone([Weak = weak_from_this()] {
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
  E.Parts.Rates.admit(Order.Workspace, [Self = shared_from_this()](
                                           bool Admitted, duration After) {
    Self->onAdmitted(Admitted, After);
  });
}

void entrance::journey::readRoute(const route &Route) {
  const wire_names &Names = E.Parts.Names;
  auto Wait = toNumber<int64_t>(Request.Headers.find(Names.TimeLeft));
  auto Time = Wait ? std::chrono::milliseconds(std::max<int64_t>(0, *Wait))
                   : DefaultTime;
  if (Route.Timeout.count() > 0)
    Time = std::min(Time, Route.Timeout);
  Deadline = StartedAt + Time;
  WaitEnd = StartedAt + Time * HostWaitPercent / 100;
  Order.Route = Route.Name;
  Order.Priority = Route.Priority;
  Order.OriginService = E.Parts.Settings.LocalService;
  Order.Point = toNumber<key_point>(Request.Headers.find(Names.KeyPoint));
}

bool entrance::journey::authenticate(const route &Route) {
  auto Key = Request.Headers.find(E.Parts.Names.CallerKey);
  Request.Headers.remove(E.Parts.Names.CallerKey);
  removeHopByHop(Request.Headers);
  removeInternal(Request.Headers);
  Request.Headers.remove("expect");
  if (Config->Workspaces.empty() || (Route.Open && !Key)) {
    Order.Priority = Route.Open ? InnerPriority : Route.Priority;
    return true;
  }
  if (E.Parts.Orders.evidenceAge(E.Parts.Clock.now()) >
      E.Parts.Settings.EvidenceLimit) {
    refuse(503, "configuration-not-confirmed", run_state::NotRun,
           spread(std::chrono::milliseconds(500)));
    return false;
  }
  auto Found = Config->CallerKeys.find(Key.value_or(""));
  if (Found == Config->CallerKeys.end()) {
    if (Route.Open)
      return true;
    refuse(401, "unknown-key", run_state::NotRun);
    return false;
  }
  Order.Workspace = Found->second;
  const workspace &Workspace = Config->Workspaces.at(Order.Workspace);
  if (Workspace.Priority >= 0)
    Order.Priority = Workspace.Priority;
  return true;
}

void entrance::journey::onAdmitted(bool Admitted, duration RetryAfter) {
  if (IsDone)
    return;
  if (!Admitted)
    return refuse(429, "over-rate", run_state::NotRun,
                  std::max<duration>(RetryAfter, LeastRetryAfter));
  HasToken = true;
  chooseService();
  E.budgetOf(Order.Service).onRequest();
  dispatch();
}

void entrance::journey::chooseService() {
  double Total = 0;
  for (const weighted_service &Part : Route->Services)
    Total += Part.Weight;
  double Mark = std::uniform_real_distribution<double>(0, Total)(E.Random);
  Order.Service = Route->Services.back().Service;
  for (const weighted_service &Part : Route->Services) {
    Mark -= Part.Weight;
    if (Mark >= 0)
      continue;
    Order.Service = Part.Service;
    break;
  }
  auto Found = Config->Services.find(Order.Service);
  IsKeyed = Found != Config->Services.end() && Found->second.Keyed;
  if (!IsKeyed)
    Order.Point.reset();
}

std::optional<std::string> entrance::journey::chooseHost() {
  if (!IsKeyed)
    return E.Directory.pick(Order.Service, E.Costs.bytesOf(Order.Route), Tried);
  const versioned<ownership_map> *Map = E.Parts.View.map(Order.Service);
  if (!Map)
    return std::nullopt;
  const std::string &Owner = Map->Content.find(Order.Point.value_or(0)).Owner;
  if (Owner.empty())
    return std::nullopt;
  return Owner;
}

void entrance::journey::dispatch() {
  if (IsDone)
    return;
  if (left() < LeastTimeLeft)
    return refuseUnserved("no-time-left", {});
  if (IsKeyed && (!Order.Point || *Order.Point > LastPoint))
    return refuse(400, "no-key-point", run_state::NotRun);
  std::optional<std::string> Host = chooseHost();
  if (!Host)
    return waitForHost("no-owner");
  send(*Host);
}

void entrance::journey::send(const std::string &Host) {
  Order.TimeLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(left());
  Order.AimLeft = Order.TimeLeft;
  // The answer has to cross this host's link in time, too.
  duration Link = E.Parts.Link.timeFor(E.Costs.bytesOf(Order.Route));
  if (Route->Aim.count() > 0)
    Order.AimLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
        StartedAt + Route->Aim - Link - E.Parts.Clock.now());
  if (Link > duration{0} && Order.AimLeft.count() < 0)
    return refuseUnserved(
        "link-full",
        std::chrono::duration_cast<std::chrono::milliseconds>(Link));
  SentTo = Host;
  Order.IsLocal = Host == E.Parts.Settings.Host;
  if (Order.IsLocal) {
    E.Directory.onSent(Host);
    AtDoor = E.Parts.Door.submit(
        Order, Request, [Self = shared_from_this(), Host](forward_result R) {
          Self->onResult(Host, std::move(R));
        });
    return;
  }
  const host_info *Info = E.Parts.View.host(Host);
  if (!Info)
    return waitForHost("owner-unknown");
  if (IsKeyed && E.Directory.isSuspect(Host))
    return refuseUnserved("owner-unreachable", OwnerRetryAfter);
  sendToPeer(Host, *Info);
}

void entrance::journey::sendToPeer(const std::string &Host,
                                   const host_info &Info) {
  http_request Forwarded = Request;
  writeOrder(Order, Forwarded.Headers);
  E.Directory.onSent(Host);
  AtPeer = E.Parts.Peers.send(
      parseEndpoint(Info.PeerAddress), std::move(Forwarded), Order.TimeLeft,
      [Self = shared_from_this(), Host](call_result Result) {
        Self->onPeerResult(Host, std::move(Result));
      });
}

void entrance::journey::onPeerResult(const std::string &Host,
                                     call_result Result) {
  AtPeer = 0;
  if (Result.Outcome == call_outcome::Answered)
    return onResult(Host, decodeResult(std::move(Result.Response)));
  forward_result Ended;
  bool Certain = Result.Outcome == call_outcome::NotSent ||
                 Result.Outcome == call_outcome::Refused;
  Ended.Outcome = Certain ? forward_outcome::NotRun : forward_outcome::Unknown;
  Ended.Code = Certain ? "peer-unreachable" : "peer-lost";
  if (Result.Outcome == call_outcome::TimedOut)
    Ended.Code = "deadline";
  else
    E.Directory.onUnreachable(Host);
  Ended.Reached = !Certain;
  onResult(Host, std::move(Ended));
}

void entrance::journey::onResult(const std::string &Host,
                                 forward_result Result) {
  AtDoor = 0;
  E.Directory.onEnded(Host, Result.Load);
  if (IsDone)
    return;
  Tried.insert(Host);
  if (Result.Reached)
    ++Reached;
  MayHaveRun |= Result.Outcome != forward_outcome::NotRun;
  if (Result.Outcome == forward_outcome::Answered &&
      Result.Response.Status < 500) {
    E.Costs.observe(Order.Route, E.Parts.Clock.now() - StartedAt,
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

bool entrance::journey::mayRepeat(const forward_result &Result) {
  if (left() < LeastTimeLeft)
    return false;
  bool NotRun = Result.Outcome == forward_outcome::NotRun;
  if (!NotRun && (!Route->Idempotent || Reached >= Route->Attempts))
    return false;
  if (NotRun && Refusals >= MostRefusals)
    return false;
  if (NotRun && !Result.Reached)
    return !IsKeyed;
  if (Reached >= Route->Attempts)
    return false;
  return E.budgetOf(Order.Service).take(E.Parts.Clock.now());
}

void entrance::journey::tryAgain() {
  E.Parts.Metrics.count("retries_total", {{"service", Order.Service}});
  E.Parts.Loop.post([Self = shared_from_this()] { Self->dispatch(); });
}

void entrance::journey::waitForHost(const std::string &Code) {
  time_point Now = E.Parts.Clock.now();
  if (Now >= WaitEnd)
    return refuseUnserved(Code, OwnerRetryAfter);
  WaitCode = Code;
  IsWaiting = true;
  E.Waiting.push_back(weak_from_this());
  duration Pause = std::min<duration>(WaitEnd - Now, LookAgainPause);
  // The timer keeps the journey alive.
  Timer = E.Parts.Loop.after(
      Pause, [Self = shared_from_this()] { Self->lookAgain(); });
}

void entrance::journey::lookAgain() {
  if (!IsWaiting || IsDone)
    return;
  auto Self = shared_from_this();
  IsWaiting = false;
  if (E.Parts.Clock.now() >= WaitEnd)
    return refuseUnserved(WaitCode, OwnerRetryAfter);
  E.Parts.Loop.post([Self] {
    Self->Timer.cancel();
    Self->dispatch();
  });
}

void entrance::journey::cancel() {
  if (IsDone)
    return;
  IsDone = true;
  auto Self = shared_from_this();
  Timer.cancel();
  if (AtDoor != 0)
    E.Parts.Door.cancel(AtDoor);
  if (AtPeer != 0)
    E.Parts.Peers.cancel(AtPeer);
  if (AtDoor != 0 || AtPeer != 0)
    E.Directory.onEnded(SentTo, {});
  E.Parts.Metrics.count("requests_total", {{"end", "caller-left"}});
}

duration entrance::journey::spread(duration Mean) {
  double Factor = std::uniform_real_distribution<double>(0.5, 1.5)(E.Random);
  return std::chrono::duration_cast<duration>(Mean * Factor);
}

void entrance::journey::refuseUnserved(const std::string &Code,
                                       std::chrono::milliseconds RetryAfter) {
  if (MayHaveRun)
    return refuse(left() < LeastTimeLeft ? 504 : 502, Code, run_state::Unknown);
  duration After = std::max<duration>(RetryAfter, LeastRetryAfter);
  refuse(503, Code, run_state::NotRun, spread(After));
}

void entrance::journey::refuse(int Status, const std::string &Code,
                               run_state Ran, duration RetryAfter) {
  refusal Refusal;
  Refusal.Status = Status;
  Refusal.Code = Code;
  Refusal.Ran = Ran;
  Refusal.RetryAfter =
      std::chrono::duration_cast<std::chrono::milliseconds>(RetryAfter);
  http_response Response = toResponse(Refusal);
  Response.Headers.add(E.Parts.Names.RequestId, requestId());
  E.Parts.Metrics.count("refusals_total", {{"code", Code}});
  time_point Now = E.Parts.Clock.now();
  writeRequestLog("refused", {{"request_id", requestId()},
                              {"status", Status},
                              {"code", Code},
                              {"ran", toString(Ran)},
                              {"route", Order.Route},
                              {"workspace", Order.Workspace},
                              {"peer", SentTo},
                              {"reached", Reached},
                              {"config", Config ? Config->Version : 0},
                              {"evidence_ms",
                               inMilliseconds(E.Parts.Orders.evidenceAge(Now))},
                              {"took_ms", inMilliseconds(Now - StartedAt)}});
  answer(std::move(Response));
}

void entrance::journey::answer(http_response Response) {
  if (IsDone)
    return;
  IsDone = true;
  Timer.cancel();
  if (HasToken && !MayHaveRun)
    E.Parts.Rates.giveBack(Order.Workspace);
  duration Took = E.Parts.Clock.now() - StartedAt;
  E.Parts.Metrics.observe("request_seconds", {{"workspace", Order.Workspace}},
                          Took);
  Exchange->answer(std::move(Response));
}

} // namespace dragonflyvane
