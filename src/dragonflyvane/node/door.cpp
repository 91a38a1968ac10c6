#include "dragonflyvane/node/door.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{25};
/// Requests that a cold server may get in a row.
constexpr double ColdBurst = 2;
/// The part of its time that a request may wait for the grant of its key.
constexpr int GrantWaitPercent = 50;
constexpr std::chrono::milliseconds ServerConnectTimeout{250};
/// Backend servers end idle connections after some seconds.
constexpr std::chrono::milliseconds ServerMaxIdle{4000};

forward_result notRun(std::string Code) {
  forward_result Result;
  Result.Outcome = forward_outcome::NotRun;
  Result.Code = std::move(Code);
  return Result;
}

forward_result unknown(std::string Code) {
  forward_result Result;
  Result.Outcome = forward_outcome::Unknown;
  Result.Code = std::move(Code);
  Result.Reached = true;
  return Result;
}

} // namespace

door::door(parts P) : Parts(std::move(P)), ReportedAt(Parts.Clock.now()) {
  Tick = Parts.Loop.every(TickPeriod, [this] { tick(); });
}

std::string door::whyNot(const forward_order &Order) const {
  const local_server &Server = Parts.Server;
  if (IsClosing)
    return "stopping";
  if (Server.service() != Order.Service)
    return "no-server";
  if (!Server.takesRequests(Parts.Clock.now()))
    return "server-leaving-or-down";
  if (Order.Point && !Parts.IsOwner(Order.Service, *Order.Point))
    return "not-owner";
  return "";
}

bool door::mustWaitForGrant(const forward_order &Order) const {
  return Order.Point && !Parts.Server.holds(*Order.Point, Parts.Clock.now());
}

waiting_request door::waitingOf(door_id Id, const entry &Entry) const {
  return {Id, Entry.Order.Priority, Entry.Deadline, Entry.Aim,
          Costs.workOf(Entry.Order.Route)};
}

uint32_t door::room() const { return Parts.Server.slots(); }

door_id door::submit(forward_order Order, http_request Request,
                     callback Callback) {
  door_id Id = ++LastId;
  time_point Now = Parts.Clock.now();
  ++Arrivals;
  if (Order.Point)
    Sample.record(*Order.Point, Now);
  entry &Entry = Entries[Id];
  Entry.Deadline = Now + Order.TimeLeft;
  Entry.Aim = Now + Order.AimLeft;
  Entry.Order = std::move(Order);
  Entry.Request = std::move(Request);
  Entry.Callback = std::move(Callback);
  std::string Why = whyNot(Entry.Order);
  if (Why.empty() &&
      Parts.Guard.isQuarantined(Entry.Request, Entry.Order.Workspace))
    Why = "quarantined";
  if (!Why.empty()) {
    refuse(Id, Why);
    return 0;
  }
  if (mustWaitForGrant(Entry.Order)) {
    AwaitingGrant.push_back(Id);
    return Id;
  }
  waiting_request Waiting = waitingOf(Id, Entry);
  if (!hasRoom(Entry, Waiting)) {
    writeRequestLog(
        "no room at the door",
        {{"request_id",
          Entry.Request.Headers.find(Parts.Names.RequestId).value_or("")},
         {"running", Running},
         {"waiting", Queue.size()},
         {"awaiting_grant", AwaitingGrant.size()},
         {"work_ms", inMilliseconds(Waiting.Work)},
         {"queued_work_ms", inMilliseconds(Queue.work())},
         {"link_ms", inMilliseconds(Parts.Link.backlog())},
         {"aim_left_ms", inMilliseconds(Waiting.Aim - Now)},
         {"time_left_ms", inMilliseconds(Waiting.Deadline - Now)},
         {"cold", Parts.Server.isCold(Now) ? "yes" : "no"}});
    refuse(Id, "queue-full");
    return 0;
  }
  Queue.push(Waiting);
  pump();
  return Id;
}

/// Whether an answer can be ready, and across the link, in time.
bool door::hasRoom(const entry &Entry, const waiting_request &Waiting) const {
  duration Link{0};
  if (!Entry.Order.IsLocal)
    Link = Parts.Link.timeFor(Costs.bytesOf(Entry.Order.Route));
  return Queue.fits(Waiting, room(), Running, Parts.Clock.now(), Link);
}

void door::cancel(door_id Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  Queue.remove(Id);
  std::erase(AwaitingGrant, Id);
  if (Found->second.IsRunning) {
    --Running;
    Parts.Client.cancel(Found->second.Call);
  }
  Entries.erase(Found);
  pump();
}

bool door::mayDispatchCold() {
  time_point Now = Parts.Clock.now();
  if (!Parts.Server.isCold(Now))
    return true;
  auto Config = Parts.Orders.config();
  auto Service = Config ? Config->Services.find(Parts.Server.service())
                        : decltype(Config->Services.begin()){};
  if (!Config || Service == Config->Services.end())
    return false;
  double Rate = Service->second.ColdRate;
  if (Rate <= 0)
    return true;
  Cold.resize(Rate, ColdBurst, Now);
  return Cold.take(1, Now);
}

void door::pump() {
  std::deque<door_id> StillWaiting;
  for (door_id Id : std::exchange(AwaitingGrant, {})) {
    entry &Entry = Entries.at(Id);
    std::string Why = whyNot(Entry.Order);
    if (!Why.empty())
      refuse(Id, Why);
    else if (mustWaitForGrant(Entry.Order))
      StillWaiting.push_back(Id);
    else
      Queue.push(waitingOf(Id, Entry));
  }
  AwaitingGrant.insert(AwaitingGrant.begin(), StillWaiting.begin(),
                       StillWaiting.end());
  std::vector<door_id> TooLate;
  while (Running < room() && Queue.size() > 0 && mayDispatchCold()) {
    auto Id = Queue.pop(Parts.Clock.now(), TooLate);
    if (!Id)
      break;
    std::string Why = whyNot(Entries.at(*Id).Order);
    if (!Why.empty())
      refuse(*Id, Why);
    else if (mustWaitForGrant(Entries.at(*Id).Order))
      AwaitingGrant.push_back(*Id);
    else
      dispatch(*Id);
  }
  for (door_id Id : TooLate)
    refuse(Id, "waited-too-long");
}

http_request door::toServer(const entry &Entry) const {
  const wire_names &Names = Parts.Names;
  http_request Request = Entry.Request;
  header_list &Headers = Request.Headers;
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Deadline - Parts.Clock.now());
  Headers.set(Names.TimeLeft,
              std::to_string(std::max<int64_t>(1, Left.count())));
  Headers.set(Names.OriginService, Entry.Order.OriginService);
  Headers.set(Names.ExpectedInstance, Parts.Server.life().Instance);
  Headers.remove(Names.Workspace);
  if (!Entry.Order.Workspace.empty())
    Headers.add(Names.Workspace, Entry.Order.Workspace);
  return Request;
}

bool door::maySend(door_id Id) const {
  auto Found = Entries.find(Id);
  return Found != Entries.end() && whyNot(Found->second.Order).empty() &&
         !mustWaitForGrant(Found->second.Order) &&
         Found->second.Life == Parts.Server.life();
}

void door::dispatch(door_id Id) {
  entry &Entry = Entries.at(Id);
  Entry.IsRunning = true;
  Entry.SentAt = Parts.Clock.now();
  Entry.Life = Parts.Server.life();
  ++Running;
  call_options Options;
  Options.Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      Entry.Deadline - Entry.SentAt);
  Options.ConnectTimeout = ServerConnectTimeout;
  Options.MaxIdle = ServerMaxIdle;
  Options.MaySend = [this, Id] { return maySend(Id); };
  if (auto RequestId = Entry.Request.Headers.find(Parts.Names.RequestId))
    Options.IsMine = [Name = Parts.Names.RequestId,
                      RequestId = *RequestId](const http_response &Response) {
      auto Echo = Response.Headers.find(Name);
      return !Echo || *Echo == RequestId;
    };
  Entry.Call = Parts.Client.send(
      Parts.Server.address(), toServer(Entry), std::move(Options),
      [this, Id](call_result Result) { onResult(Id, std::move(Result)); });
}

void door::onResult(door_id Id, call_result Result) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  entry &Entry = Found->second;
  --Running;
  Entry.IsRunning = false;
  duration Took = Parts.Clock.now() - Entry.SentAt;
  BusyTime += Took;
  if (Result.Outcome == call_outcome::Answered && Result.Response.Status < 400)
    Costs.observe(Entry.Order.Route, Took, Result.Response.Body.size());
  if (Result.Outcome == call_outcome::Lost)
    Parts.Guard.onLost(Entry.Request, Entry.Order.Workspace, Entry.Life);
  if (Result.Outcome == call_outcome::Answered)
    Parts.Guard.onAnswered(Entry.Request, Entry.Order.Workspace);
  bool Refused = Result.Outcome == call_outcome::Refused;
  bool SameLife = Entry.Life == Parts.Server.life();
  finish(Id, judge(Entry, std::move(Result)));
  if (Refused && SameLife)
    Parts.OnRefusedConnection();
  pump();
}

bool door::isFromServer(const http_response &Response) const {
  return Response.Headers.find(Parts.Names.Signature) &&
         !Response.Headers.find("content-encoding");
}

forward_result door::judge(const entry &Entry, call_result Result) const {
  switch (Result.Outcome) {
  case call_outcome::Refused:
    return notRun("server-refused-connection");
  case call_outcome::NotSent:
    return notRun("server-unreachable");
  case call_outcome::Lost:
    return unknown("connection-lost");
  case call_outcome::TimedOut:
    return unknown("server-timeout");
  case call_outcome::Answered:
    break;
  }
  http_response &Response = Result.Response;
  if (Response.Headers.find(Parts.Names.NotRun) || Response.Status == 421) {
    forward_result Refusal =
        notRun("server-refused-" + std::to_string(Response.Status));
    Refusal.Reached = true;
    return Refusal;
  }
  auto Echo = Response.Headers.find(Parts.Names.RequestId);
  if (!Echo ||
      *Echo != Entry.Request.Headers.find(Parts.Names.RequestId).value_or("") ||
      !isFromServer(Response))
    return unknown("bad-answer");
  forward_result End;
  End.Outcome = forward_outcome::Answered;
  End.Reached = true;
  End.Response = std::move(Response);
  removeHopByHop(End.Response.Headers);
  End.Response.Headers.remove(Parts.Names.Load);
  return End;
}

void door::startClosing() {
  IsClosing = true;
  pump();
}

door_load door::load() const {
  return {
      Running + static_cast<uint32_t>(Queue.size() + AwaitingGrant.size()),
      Parts.Server.slots(),
      std::chrono::duration_cast<std::chrono::milliseconds>(Costs.meanWork()),
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Parts.Link.backlog())};
}

std::chrono::milliseconds door::retryAfter() const {
  duration Drain = Queue.work() / std::max(1U, room());
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max<duration>(Drain, std::chrono::milliseconds(50)));
}

void door::finish(door_id Id, forward_result Result) {
  auto Found = Entries.find(Id);
  callback Callback = std::move(Found->second.Callback);
  Entries.erase(Found);
  Result.Load = load();
  Callback(std::move(Result));
}

void door::refuse(door_id Id, const std::string &Code) {
  forward_result Result = notRun(Code);
  Result.RetryAfter = retryAfter();
  finish(Id, std::move(Result));
}

void door::tick() {
  time_point Now = Parts.Clock.now();
  Parts.Guard.observe(Parts.Server);
  std::vector<door_id> TooLate;
  Queue.expire(Now, TooLate);
  for (door_id Id : TooLate)
    refuse(Id, "waited-too-long");
  std::vector<door_id> Ungranted;
  for (door_id Id : AwaitingGrant) {
    const entry &Entry = Entries.at(Id);
    duration Left = Entry.Order.TimeLeft * GrantWaitPercent / 100;
    if (Now > Entry.Deadline - Left)
      Ungranted.push_back(Id);
  }
  for (door_id Id : Ungranted) {
    std::erase(AwaitingGrant, Id);
    refuse(Id, "key-not-granted");
  }
  if (Queue.size() > 0 || !AwaitingGrant.empty())
    pump();
}

load_report door::takeReport() {
  load_report Report;
  time_point Now = Parts.Clock.now();
  double Seconds = std::chrono::duration<double>(Now - ReportedAt).count();
  if (Seconds <= 0)
    return Report;
  Report.Rate = static_cast<double>(Arrivals) / Seconds;
  Report.Utilization = std::chrono::duration<double>(BusyTime).count() /
                       Seconds / std::max(1U, Parts.Server.slots());
  Report.Work = std::chrono::duration<double>(Costs.meanWork()).count();
  Report.Sample = Sample.take(Now);
  ReportedAt = Now;
  Arrivals = 0;
  BusyTime = duration{0};
  return Report;
}

} // namespace dragonflyvane
