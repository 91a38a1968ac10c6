#include "dragonflyvane/node/door.hpp"

#include "dragonflyvane/node/internal_headers.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

/// Requests of one workspace that wait for a slot, for each slot.
constexpr size_t QueuePerSlot = 32;
constexpr std::chrono::milliseconds BusyRetryAfter{100};

std::chrono::milliseconds toMilliseconds(duration Span) {
  return std::chrono::ceil<std::chrono::milliseconds>(Span);
}

} // namespace

door::door(std::string Host, http_client &Client, const clock_source &Clock,
           const member &Member, metrics &Metrics, caller_check CallerCheck,
           weight_of WeightOf)
    : Host(std::move(Host)), Client(Client), Clock(Clock), Member(Member),
      Metrics(Metrics), CallerCheck(std::move(CallerCheck)),
      WeightOf(std::move(WeightOf)),
      ServesUntil(std::make_shared<std::atomic<int64_t>>(0)) {}

void door::setBackend(const std::string &Service, const endpoint &Address,
                      uint32_t Slots) {
  backend &Backend = Backends[Service];
  bool IsNew = Backend.Address != Address;
  Backend.Address = Address;
  Backend.Slots = Slots;
  if (IsNew)
    Backend.Limit = concurrency_limit(Slots);
  Backend.Limit.setSlots(Slots);
  pump(Service);
}

void door::removeBackend(const std::string &Service) {
  auto Found = Backends.find(Service);
  if (Found == Backends.end())
    return;
  Backends.erase(Found);
  std::vector<door_id> Ids;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Request.Service == Service)
      Ids.push_back(Id);
  for (door_id Id : Ids)
    giveUp(Id, "backend-lost");
}

/// Refuses a request, and cancels it at the backend server if it runs there.
void door::giveUp(door_id Id, const std::string &Code) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  bool Ran = Found->second.Dispatched;
  if (Ran)
    Client.cancel(Found->second.Call);
  refuse(Id, 503, Code, Ran ? run_state::Unknown : run_state::NotRun);
}

door_id door::submit(door_request Request, callback Callback) {
  door_id Id = ++LastId;
  entry &Entry = Entries[Id];
  Entry.Id = Id;
  Entry.Request = std::move(Request);
  Entry.Callback = std::move(Callback);
  Entry.Arrived = Clock.now();
  const std::string Service = Entry.Request.Service;
  auto Backend = Backends.find(Service);
  if (Backend == Backends.end()) {
    refuse(Id, 503, "no-backend", run_state::NotRun);
    return Id;
  }
  std::optional<fencing_token> Token;
  if (auto Refusal = refusalFor(Entry, Token)) {
    finish(Id, toResponse(*Refusal));
    return Id;
  }
  const std::string &Workspace = Entry.Request.Workspace;
  if (Backend->second.Queue.sizeOf(Workspace) >=
      QueuePerSlot * Backend->second.Slots) {
    refuse(Id, 503, "queue-full", run_state::NotRun);
    return Id;
  }
  Backend->second.Queue.push(Workspace, WeightOf(Workspace),
                             Entry.Request.Class, Id);
  pump(Service);
  return Id;
}

void door::pump(const std::string &Service) {
  auto Found = Backends.find(Service);
  while (Found != Backends.end() && Found->second.Queue.size() > 0 &&
         Found->second.Limit.mayStart(Found->second.Busy)) {
    auto Entry = Entries.find(*Found->second.Queue.pop());
    if (Entry != Entries.end())
      dispatch(Found->second, Entry->second);
    Found = Backends.find(Service);
  }
  if (Found != Backends.end() && Found->second.Queue.size() > 0)
    Found->second.Limit.noteSaturated();
}

std::optional<refusal>
door::refusalFor(const entry &Entry,
                 std::optional<fencing_token> &Token) const {
  refusal Refusal;
  Refusal.Step = "door";
  Refusal.Peer = Host;
  Refusal.RetryAfter = BusyRetryAfter;
  time_point Now = Clock.now();
  const door_request &Request = Entry.Request;
  if (Now >= Request.Deadline) {
    Refusal.Status = 504;
    Refusal.Code = "deadline";
    return Refusal;
  }
  if (!CallerCheck(Request)) {
    Refusal.Status = 403;
    Refusal.Code = "key-withdrawn";
    return Refusal;
  }
  if (!Request.Slice) {
    Refusal.Code = "not-in-office";
    return Member.isInOffice(Now) ? std::nullopt : std::optional(Refusal);
  }
  Token = Member.dispatchToken({Request.Service, *Request.Slice}, Now);
  Refusal.Code = "not-owner";
  return Token ? std::nullopt : std::optional(Refusal);
}

void door::dispatch(backend &Backend, entry &Entry) {
  std::optional<fencing_token> Token;
  if (auto Refusal = refusalFor(Entry, Token))
    return finish(Entry.Id, toResponse(*Refusal));
  door_request &Request = Entry.Request;
  auto Left = toMilliseconds(Request.Deadline - Clock.now());
  http_request Out = std::move(Request.Request);
  Out.Headers.set(WorkspaceHeader, Request.Workspace);
  Out.Headers.set(TimeoutHeader, std::to_string(Left.count()));
  if (Request.Slice) {
    slice_id Slice{Request.Service, *Request.Slice};
    Out.Headers.set(SliceHeader, std::to_string(Slice.Index));
    Out.Headers.set(TokenHeader, toString(*Token));
    ++InFlight[Slice];
    ++Counts[Slice];
  }
  Entry.Dispatched = true;
  Entry.Sent = Clock.now();
  ++Running;
  ++Backend.Busy;
  ServesUntil->store(Member.servesUntil().time_since_epoch().count());
  call_options Options;
  Options.Timeout = Left;
  Options.MaySend = [Until = ServesUntil, Clock = &Clock] {
    return Clock->now().time_since_epoch().count() < Until->load();
  };
  Entry.Call = Client.send(Backend.Address, std::move(Out), std::move(Options),
                           [this, Id = Entry.Id](call_result Result) {
                             onResult(Id, std::move(Result));
                           });
}

void door::onResult(door_id Id, call_result Result) {
  if (!Entries.contains(Id))
    return;
  learn(Entries.at(Id), Result);
  switch (Result.Outcome) {
  case call_outcome::Answered:
    return finish(Id, std::move(Result.Response));
  case call_outcome::NotSent:
    return refuse(Id, 503, "backend-unreachable", run_state::NotRun);
  case call_outcome::TimedOut:
    return refuse(Id, 504, "deadline", run_state::Unknown);
  case call_outcome::Lost:
    return refuse(Id, 503, "backend-lost", run_state::Unknown);
  }
}

/// What a request's end says about the load that the server can bear.
void door::learn(const entry &Entry, const call_result &Result) {
  auto Backend = Backends.find(Entry.Request.Service);
  if (Backend == Backends.end())
    return;
  bool Shed = Result.Outcome == call_outcome::Answered &&
              (Result.Response.Status == 503 || Result.Response.Status == 429);
  bool Late = Result.Outcome == call_outcome::TimedOut;
  time_point Now = Clock.now();
  Backend->second.Limit.onEnd(Shed || Late ? request_end::Overloaded
                                           : request_end::Good,
                              Now - Entry.Sent, Now);
}

void door::release(entry &Entry) {
  if (!Entry.Dispatched)
    return;
  Entry.Dispatched = false;
  --Running;
  auto Backend = Backends.find(Entry.Request.Service);
  if (Backend != Backends.end() && Backend->second.Busy > 0)
    --Backend->second.Busy;
  if (!Entry.Request.Slice)
    return;
  auto Count = InFlight.find({Entry.Request.Service, *Entry.Request.Slice});
  if (Count != InFlight.end() && --Count->second == 0)
    InFlight.erase(Count);
}

void door::finish(door_id Id, http_response Response) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  entry Entry = std::move(Found->second);
  Entries.erase(Found);
  std::string Service = Entry.Request.Service;
  Metrics.observe("door_seconds", {{"workspace", Entry.Request.Workspace}},
                  Clock.now() - Entry.Arrived);
  release(Entry);
  Entry.Callback(std::move(Response));
  pump(Service);
}

void door::refuse(door_id Id, int Status, const std::string &Code,
                  run_state Ran) {
  refusal Refusal;
  Refusal.Status = Status;
  Refusal.Code = Code;
  Refusal.Ran = Ran;
  Refusal.Step = "door";
  Refusal.Peer = Host;
  Refusal.RetryAfter = BusyRetryAfter;
  finish(Id, toResponse(Refusal));
}

void door::cancel(door_id Id) {
  auto Found = Entries.find(Id);
  if (Found == Entries.end())
    return;
  if (Found->second.Dispatched)
    Client.cancel(Found->second.Call);
  std::string Service = Found->second.Request.Service;
  release(Found->second);
  Entries.erase(Found);
  pump(Service);
}

void door::tick() {
  time_point Now = Clock.now();
  time_point Until = Member.servesUntil();
  ServesUntil->store(Until.time_since_epoch().count());
  std::vector<door_id> Late;
  for (const auto &[Id, Entry] : Entries)
    if (!Entry.Dispatched && Now >= Entry.Request.Deadline)
      Late.push_back(Id);
  for (door_id Id : Late)
    refuse(Id, 504, "deadline", run_state::NotRun);
  if (Running > 0 && Now >= Until)
    cancelRunning();
}

/// The lease has ended: another host may serve these slices soon.
void door::cancelRunning() {
  std::vector<door_id> Ids;
  for (const auto &[Id, Entry] : Entries)
    if (Entry.Dispatched && Entry.Request.Slice)
      Ids.push_back(Id);
  for (door_id Id : Ids)
    giveUp(Id, "lease-ended");
}

size_t door::ofSlice(const slice_id &Slice) const {
  auto Found = InFlight.find(Slice);
  return Found == InFlight.end() ? 0 : Found->second;
}

size_t door::queued() const { return Entries.size() - Running; }

std::map<slice_id, uint64_t> door::takeCounts() {
  return std::exchange(Counts, {});
}

} // namespace dragonflyvane
