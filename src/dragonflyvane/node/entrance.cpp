#include "dragonflyvane/node/entrance.hpp"

#include "dragonflyvane/node/internal_headers.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace dragonflyvane {

namespace {

constexpr const char *ApiKeyHeader = "x-api-key";
constexpr const char *AuthorizationHeader = "authorization";
constexpr const char *CallerTimeoutHeader = "x-request-timeout-ms";
constexpr const char *CallerClassHeader = "x-request-class";
/// Share of a request's time that it may wait for a token of the rate.
constexpr double TokenWaitShare = 0.8;
constexpr std::chrono::milliseconds RateRetryAfter{1000};
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr size_t MaxRequestIdLength = 128;
/// Pause before an owner is looked up again.
constexpr std::chrono::milliseconds OwnerRetryPause{25};
constexpr int MaxUnknownRetries = 1;
/// Less time than this is not worth another try.
constexpr std::chrono::milliseconds LeastTime{5};

std::optional<int64_t> toNumber(const std::optional<std::string> &Text) {
  int64_t Number = 0;
  if (!Text)
    return std::nullopt;
  const char *End = Text->data() + Text->size();
  auto Read = std::from_chars(Text->data(), End, Number);
  if (Read.ec != std::errc() || Read.ptr != End || Number < 0)
    return std::nullopt;
  return Number;
}

std::optional<std::string> callerKeyOf(const header_list &Headers) {
  if (auto Key = Headers.find(ApiKeyHeader))
    return Key;
  auto Authorization = Headers.find(AuthorizationHeader);
  bool IsBearer =
      Authorization &&
      equalNames(
          std::string_view(*Authorization).substr(0, BearerPrefix.size()),
          BearerPrefix);
  if (!IsBearer)
    return std::nullopt;
  return Authorization->substr(BearerPrefix.size());
}

bool isGoodRequestId(const std::string &Id) {
  return !Id.empty() && Id.size() <= MaxRequestIdLength &&
         std::all_of(Id.begin(), Id.end(),
                     [](char C) { return C > ' ' && C < 127; });
}

/// Whether a refusal came back that is true to say "not run".
bool isNotRun(const http_response &Response) {
  return Response.Headers.find(RefusalHeader) == "not-run";
}

/// Codes of a door that another try elsewhere may get round.
bool isWorthAnotherTry(const http_response &Response) {
  return isNotRun(Response) && Response.Status == 503;
}

} // namespace

/// One request on its way, from the caller to the answer.
class entrance::journey : public std::enable_shared_from_this<journey> {
public:
  journey(entrance &Owner, exchange_pointer Exchange)
      : Owner(Owner), Exchange(std::move(Exchange)),
        Request(this->Exchange->request()), Begun(Owner.Parts.Clock.now()) {
    ++Owner.Open;
  }

  ~journey() { --Owner.Open; }

  journey(const journey &) = delete;
  journey &operator=(const journey &) = delete;

  void begin() {
    if (Owner.Phase == stop_phase::Refusing)
      return refuse(503, "stopping");
    const configuration *Config = Owner.config();
    if (!Config)
      return refuse(503, "no-configuration");
    const route *Found = findRoute(*Config, Request.Target);
    if (!Found)
      return refuse(404, "no-route");
    Route = *Found;
    setDeadline();
    watchCaller();
    admit();
  }

private:
  /// Goes on once the configuration is known to be current; that may take a
  /// moment after a pause of this process.
  void admit() {
    if (Done)
      return;
    time_point Now = Owner.Parts.Clock.now();
    if (!Route.Open && !Owner.Parts.Member.isConfigurationCurrent(Now))
      return awaitConfiguration();
    const configuration &Config = *Owner.config();
    if (!Route.Open && !authenticate(Config))
      return;
    cleanRequest();
    if (Route.Kind == route_kind::Keyed && !findSlice(Config))
      return refuse(400, "no-key");
    if (Route.Open)
      return forward();
    takeToken();
  }

  void awaitConfiguration() {
    if (timeLeft() < LeastTime + OwnerRetryPause)
      return refuse(503, "configuration-not-current");
    later(&journey::admit);
  }

  void takeToken() {
    auto Wait = std::chrono::duration_cast<duration>((Deadline - Begun) *
                                                     TokenWaitShare);
    Owner.Parts.Member.takeToken(
        Workspace, Begun + Wait, Owner.Parts.Clock.now(),
        [Self = shared_from_this()](bool Had) {
          if (Self->Done)
            return;
          Had ? Self->forward() : Self->refuseForRate();
        });
    Owner.Parts.ActForMember();
  }

  void refuseForRate() {
    refusal Refusal = makeRefusal(429, "rate", run_state::NotRun);
    Refusal.RetryAfter = RateRetryAfter;
    answer(toResponse(Refusal));
  }

  bool authenticate(const configuration &Config) {
    std::optional<std::string> Key = callerKeyOf(Request.Headers);
    if (!Key) {
      refuse(401, "no-caller-key");
      return false;
    }
    CallerHash = hashCallerKey(*Key);
    auto Found = Config.KeyHashes.find(CallerHash);
    if (Found == Config.KeyHashes.end()) {
      refuse(401, "unknown-caller-key");
      return false;
    }
    Workspace = Found->second;
    if (Config.Workspaces.at(Workspace).Suspended) {
      refuse(403, "workspace-suspended");
      return false;
    }
    return true;
  }

  void cleanRequest() {
    Request.Headers.remove(ApiKeyHeader);
    Request.Headers.remove(AuthorizationHeader);
    Request.Headers.remove("host");
    removeHopByHop(Request.Headers);
    removeInternal(Request.Headers);
    auto Given = Request.Headers.find(RequestIdHeader);
    RequestId = Given && isGoodRequestId(*Given) ? *Given : newRequestId();
    Request.Headers.set(RequestIdHeader, RequestId);
    bool Urgent = Request.Headers.find(CallerClassHeader) == "urgent";
    Class = Urgent ? request_class::Urgent : request_class::Normal;
  }

  std::string newRequestId() {
    return Owner.Parts.Host + "-" + std::to_string(Owner.Random());
  }

  void setDeadline() {
    std::chrono::milliseconds Timeout = Owner.Parts.RequestTimeout;
    if (auto Asked = toNumber(Request.Headers.find(CallerTimeoutHeader)))
      Timeout = std::min(Timeout, std::chrono::milliseconds(*Asked));
    Request.Headers.remove(CallerTimeoutHeader);
    Deadline = Begun + Timeout;
  }

  void watchCaller() {
    Exchange->onGone([Weak = weak_from_this(), &Loop = Owner.Parts.Loop] {
      Loop.post([Weak] {
        if (auto Self = Weak.lock())
          Self->abandon();
      });
    });
  }

  bool findSlice(const configuration &Config) {
    std::optional<std::string> Key = keyOf(Route, Request);
    if (!Key)
      return false;
    uint32_t Count = Config.Services.at(Route.Service).SliceCount;
    Slice = sliceOf(Route.Service, *Key, Count);
    return true;
  }

  std::optional<std::string> chooseHost() {
    member &Member = Owner.Parts.Member;
    if (Slice) {
      auto Ref = Member.ownerOf({Route.Service, *Slice});
      return Ref ? std::optional(Ref->Host) : std::nullopt;
    }
    std::vector<std::string> Usable;
    for (const auto &[Name, Row] : Member.view().hosts())
      if (Row.Content.Services.contains(Route.Service) && !isOut(Row.Content) &&
          !Member.registry().isLapsed(Row.Content.ref(), Member.view()))
        Usable.push_back(Name);
    if (Usable.empty())
      return std::nullopt;
    return Usable[Owner.Random() % Usable.size()];
  }

  bool isOut(const host_record &Record) const {
    const configuration *Config = Owner.config();
    auto Domain = Config->FailureDomainOut.find(Record.Domain);
    bool Out = Domain != Config->FailureDomainOut.end() && Domain->second;
    const auto &Drained = Config->DrainedHosts;
    return Out || std::find(Drained.begin(), Drained.end(), Record.Host) !=
                      Drained.end();
  }

  std::chrono::milliseconds timeLeft() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        Deadline - Owner.Parts.Clock.now());
  }

  void forward() {
    if (Done)
      return;
    if (timeLeft() < LeastTime)
      return finishLast();
    std::optional<std::string> Host = chooseHost();
    if (!Host)
      return retryLater();
    Target = *Host;
    if (Target == Owner.Parts.Host)
      forwardToOwnDoor();
    else
      forwardToPeer();
  }

  void forwardToOwnDoor() {
    door_request Local;
    Local.Service = Route.Service;
    Local.Slice = Slice;
    Local.Workspace = Workspace;
    Local.CallerHash = CallerHash;
    Local.Class = Class;
    Local.Deadline = Deadline;
    Local.Request = Request;
    // The door may answer within the call; its id then means nothing.
    DoorId = Owner.Parts.Door.submit(
        std::move(Local),
        [Self = shared_from_this()](const http_response &Response) {
          Self->onResponse(Response);
        });
  }

  void forwardToPeer() {
    const host_record *Record = Owner.Parts.Member.view().host(Target);
    if (!Record)
      return retryLater();
    http_request Out = Request;
    Out.Headers.set(ServiceHeader, Route.Service);
    Out.Headers.set(WorkspaceHeader, Workspace);
    Out.Headers.set(CallerHeader, CallerHash);
    Out.Headers.set(TimeoutHeader, std::to_string(timeLeft().count()));
    if (Class == request_class::Urgent)
      Out.Headers.set(ClassHeader, "urgent");
    if (Slice)
      Out.Headers.set(SliceHeader, std::to_string(*Slice));
    PeerCall = Owner.Parts.Peers.send(
        parseEndpoint(Record->PeerAddress), std::move(Out), timeLeft(),
        [Self = shared_from_this()](const call_result &Result) {
          Self->onPeerResult(Result);
        });
  }

  void onPeerResult(const call_result &Result) {
    if (Done)
      return;
    if (Result.Outcome == call_outcome::Answered)
      return onResponse(Result.Response);
    Owner.Parts.Member.suspect(Target);
    bool NotRun = Result.Outcome == call_outcome::NotSent;
    LastRefusal = makeRefusal(NotRun ? 503 : 504,
                              NotRun ? "peer-unreachable" : "peer-lost",
                              NotRun ? run_state::NotRun : run_state::Unknown);
    if (NotRun || mayRunAgain())
      return retryLater();
    answer(toResponse(LastRefusal));
  }

  void onResponse(const http_response &Response) {
    if (Done)
      return;
    bool Lost = isUnknown(Response) && Response.Status == 503;
    if (!isWorthAnotherTry(Response) && !(Lost && mayRunAgain()))
      return answer(Response);
    LastResponse = Response;
    retryLater();
  }

  static bool isUnknown(const http_response &Response) {
    return Response.Headers.find(RefusalHeader) == "unknown";
  }

  /// A request whose outcome is unknown runs again only if it is idempotent,
  /// and not over and over: it may be what brings backend servers down.
  bool mayRunAgain() {
    return isIdempotent(Request.Method) && UnknownRetries++ < MaxUnknownRetries;
  }

  void retryLater() { later(&journey::forward); }

  /// Calls a step again after a pause.
  void later(void (journey::*Step)()) {
    Retry = Owner.Parts.Loop.after(OwnerRetryPause,
                                   [Weak = weak_from_this(), Step] {
                                     if (auto Self = Weak.lock()) {
                                       Self->Keep.reset();
                                       ((*Self).*Step)();
                                     }
                                   });
    // Nothing else holds the journey while it waits.
    Keep = shared_from_this();
  }

  void finishLast() {
    if (LastResponse)
      return answer(*LastResponse);
    if (!LastRefusal.Code.empty())
      return answer(toResponse(LastRefusal));
    refuse(503, "no-owner");
  }

  refusal makeRefusal(int Status, const std::string &Code, run_state Ran) {
    refusal Refusal;
    Refusal.Status = Status;
    Refusal.Code = Code;
    Refusal.Ran = Ran;
    Refusal.Step = "entrance";
    Refusal.Peer = Target;
    if (Status == 503)
      Refusal.RetryAfter = std::chrono::milliseconds(100);
    return Refusal;
  }

  void refuse(int Status, const std::string &Code) {
    answer(toResponse(makeRefusal(Status, Code, run_state::NotRun)));
  }

  void answer(http_response Response) {
    if (Done)
      return;
    Done = true;
    auto Self = std::move(Keep);
    count(Response);
    removeHopByHop(Response.Headers);
    removeInternal(Response.Headers);
    if (!RequestId.empty())
      Response.Headers.set(RequestIdHeader, RequestId);
    if (Owner.Phase != stop_phase::Running)
      Response.Headers.set("Connection", "close");
    Exchange->answer(Response);
  }

  void count(const http_response &Response) {
    metric_labels Labels = {{"workspace", Workspace}};
    Owner.Parts.Metrics.observe("request_seconds", Labels,
                                Owner.Parts.Clock.now() - Begun);
    bool Refused = Response.Headers.find(RefusalHeader).has_value();
    Labels.push_back({"status", std::to_string(Response.Status)});
    Labels.push_back({"refused", Refused ? "yes" : "no"});
    Owner.Parts.Metrics.count("requests_total", Labels);
  }

  void abandon() {
    if (Done)
      return;
    Done = true;
    auto Self = std::move(Keep);
    if (PeerCall)
      Owner.Parts.Peers.cancel(*PeerCall);
    if (DoorId)
      Owner.Parts.Door.cancel(*DoorId);
    Owner.Parts.Metrics.count("callers_gone_total");
  }

  entrance &Owner;
  exchange_pointer Exchange;
  http_request Request;
  time_point Begun;
  time_point Deadline;
  route Route;
  std::string Workspace;
  std::string CallerHash;
  std::string RequestId;
  request_class Class = request_class::Normal;
  std::optional<uint32_t> Slice;
  std::string Target;
  std::optional<call_id> PeerCall;
  std::optional<door_id> DoorId;
  refusal LastRefusal;
  std::optional<http_response> LastResponse;
  int UnknownRetries = 0;
  timer Retry;
  std::shared_ptr<journey> Keep;
  bool Done = false;
};

entrance::entrance(parts Parts)
    : Parts(std::move(Parts)), Random(std::random_device()()) {}

entrance::~entrance() = default;

const configuration *entrance::config() const {
  const auto &Row = Parts.Member.view().configurationRow();
  return Row ? &Row->Content : nullptr;
}

void entrance::serve(const exchange_pointer &Exchange) {
  std::make_shared<journey>(*this, Exchange)->begin();
}

bool entrance::isCallerValid(const door_request &Request) const {
  if (Request.CallerHash.empty())
    return true;
  const configuration *Config = config();
  if (!Config || !Parts.Member.isConfigurationCurrent(Parts.Clock.now()))
    return false;
  auto Found = Config->KeyHashes.find(Request.CallerHash);
  return Found != Config->KeyHashes.end() &&
         Found->second == Request.Workspace &&
         !Config->Workspaces.at(Request.Workspace).Suspended;
}

double entrance::weightOf(const std::string &Workspace) const {
  const configuration *Config = config();
  if (!Config || !Config->Workspaces.contains(Workspace))
    return 1;
  return Config->Workspaces.at(Workspace).Rate;
}

void entrance::serveForwarded(const exchange_pointer &Exchange) {
  door_request Local;
  Local.Request = Exchange->request();
  header_list &Headers = Local.Request.Headers;
  Local.Service = Headers.find(ServiceHeader).value_or("");
  Local.Workspace = Headers.find(WorkspaceHeader).value_or("");
  Local.CallerHash = Headers.find(CallerHeader).value_or("");
  if (Headers.find(ClassHeader) == "urgent")
    Local.Class = request_class::Urgent;
  if (auto Slice = toNumber(Headers.find(SliceHeader)))
    Local.Slice = static_cast<uint32_t>(*Slice);
  int64_t Left = toNumber(Headers.find(TimeoutHeader)).value_or(0);
  Local.Deadline = Parts.Clock.now() + std::chrono::milliseconds(Left);
  removeInternal(Headers);
  door_id Id = Parts.Door.submit(std::move(Local),
                                 [Exchange](const http_response &Response) {
                                   Exchange->answer(Response);
                                 });
  // An id whose request has ended means nothing to the door.
  Exchange->onGone([this, Id] { Parts.Door.cancel(Id); });
}

} // namespace dragonflyvane
