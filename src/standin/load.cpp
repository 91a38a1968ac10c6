/// Load program: sends keyed requests through all daemons, checks every answer
/// against its request, and prints what came back.
#include <dragonflyvane/core.hpp>
#include <dragonflyvane/net.hpp>
#include <dragonflyvane/node.hpp>

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>

ABSL_FLAG(std::string, targets, "", "entrances, IP:PORT, comma-separated");
ABSL_FLAG(std::string, caller_keys, "", "WORKSPACE=KEY, comma-separated");
ABSL_FLAG(std::string, prefix, "/parts/", "path before the key");
ABSL_FLAG(std::string, requests, "1000", "requests in all; 0 for no bound");
ABSL_FLAG(std::string, duration_ms, "600000", "time after which it ends");
ABSL_FLAG(std::string, concurrency, "16", "closed loop: requests at once");
ABSL_FLAG(std::string, rate, "0", "open loop: requests a second; 0 for closed");
ABSL_FLAG(std::string, keys, "2000", "different keys");
ABSL_FLAG(std::string, cycle, "false", "take the keys in turn, not at random");
ABSL_FLAG(std::string, direct, "false",
          "the targets are backend servers: check only what they see");
ABSL_FLAG(std::string, post_share, "0.25", "share of non-idempotent requests");
ABSL_FLAG(std::string, timeout_ms, "5000", "time for a request");
ABSL_FLAG(std::string, urgent_share, "0", "share of urgent requests");
ABSL_FLAG(std::string, idempotency_keys, "false", "send Idempotency-Key");
ABSL_FLAG(std::string, seed, "1", "seed of the choices");
ABSL_FLAG(std::string, slices, "0", "slices, to tell unserved time; 0 for off");
ABSL_FLAG(std::string, service, "bookings", "service, to tell slices");
ABSL_FLAG(std::string, output, "text", "text or json");

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

struct workload {
  std::vector<endpoint> Targets;
  std::vector<std::pair<std::string, std::string>> CallerKeys;
  std::string Prefix;
  uint64_t Requests = 0;
  std::chrono::milliseconds Duration{0};
  uint64_t Concurrency = 1;
  double Rate = 0;
  uint64_t Keys = 1;
  double PostShare = 0;
  double UrgentShare = 0;
  bool IdempotencyKeys = false;
  bool Cycle = false;
  bool Direct = false;
  std::chrono::milliseconds Timeout{0};
  uint32_t Slices = 0;
  std::string Service;
};

struct tally {
  uint64_t Sent = 0;
  uint64_t Answered = 0;
  uint64_t Lost = 0;
  uint64_t Wrong = 0;
  uint64_t TwoOwners = 0;
  uint64_t SentElsewhere = 0;
  std::map<std::string, uint64_t> Refused;
  std::map<std::string, uint64_t> ByServer;
  std::map<std::string, uint64_t> ByWorkspace;
  std::vector<double> LatenciesMs;
  double WorstGapMs = 0;
  std::vector<std::string> Notes;
};

struct shot {
  std::string Workspace;
  std::string Key;
  std::string Id;
  http_request Request;
  time_point Begun;
  /// Position among the targets.
  uint64_t Target = 0;
  size_t Tries = 0;
};

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  auto Rank = static_cast<size_t>(Share * static_cast<double>(Values.size()));
  Rank = std::min(Rank, Values.size() - 1);
  std::nth_element(Values.begin(), Values.begin() + Rank, Values.end());
  return Values[Rank];
}

class load_run {
public:
  load_run(event_loop &Loop, http_client &Client, workload Load, uint64_t Seed)
      : Loop(Loop), Client(Client), Load(std::move(Load)), Random(Seed),
        RunId(std::random_device()()), Begun(Clock.now()) {}

  void start() {
    End = Loop.after(Load.Duration, [this] { stopSending(); });
    if (Load.Rate > 0) {
      Ticks = Loop.every(std::chrono::milliseconds(2), [this] { sendDue(); });
      return;
    }
    for (uint64_t I = 0; I < Load.Concurrency; ++I)
      sendOne();
  }

  const tally &result() const { return Tally; }
  double seconds() const {
    return std::chrono::duration<double>(Clock.now() - Begun).count();
  }

private:
  bool isOver() const {
    return Stopped || (Load.Requests > 0 && Tally.Sent >= Load.Requests);
  }

  void stopSending() {
    Stopped = true;
    if (Open == 0)
      Loop.stop();
  }

  void sendDue() {
    auto Due = static_cast<uint64_t>(seconds() * Load.Rate);
    while (!isOver() && Tally.Sent < Due)
      sendOne();
    if (isOver() && Open == 0)
      Loop.stop();
  }

  shot makeShot() {
    shot Shot;
    const auto &Caller = Load.CallerKeys[Random() % Load.CallerKeys.size()];
    Shot.Workspace = Caller.first;
    uint64_t Number = Load.Cycle ? Tally.Sent : Random();
    Shot.Key = "part-" + std::to_string(Number % Load.Keys);
    Shot.Id = std::to_string(RunId) + "-" + std::to_string(Tally.Sent);
    http_request &Request = Shot.Request;
    Request.Target = Load.Prefix + Shot.Key + "?n=" + Shot.Id;
    Request.Headers.add("X-Api-Key", Caller.second);
    Request.Headers.add("X-Request-Id", Shot.Id);
    Request.Headers.add("X-Request-Timeout-Ms",
                        std::to_string(Load.Timeout.count()));
    std::uniform_real_distribution<double> Share(0, 1);
    if (Share(Random) < Load.PostShare) {
      Request.Method = "POST";
      Request.Body = "order " + Shot.Id;
      if (Load.IdempotencyKeys)
        Request.Headers.add("Idempotency-Key", Shot.Id);
    }
    if (Share(Random) < Load.UrgentShare)
      Request.Headers.add("X-Request-Class", "urgent");
    return Shot;
  }

  void sendOne() {
    auto Shot = std::make_shared<shot>(makeShot());
    Shot->Target = Tally.Sent;
    ++Tally.Sent;
    ++Open;
    Shot->Begun = Clock.now();
    sendTo(Shot);
  }

  void sendTo(const std::shared_ptr<shot> &Shot) {
    const endpoint &Target = Load.Targets[Shot->Target % Load.Targets.size()];
    auto Patience = Load.Timeout + std::chrono::seconds(2);
    http_request Request = Shot->Request;
    Client.send(Target, std::move(Request), {Patience, nullptr},
                [this, Shot](const call_result &Result) {
                  if (triesElsewhere(*Shot, Result))
                    return sendTo(Shot);
                  --Open;
                  take(*Shot, Result);
                  next();
                });
  }

  /// As a client with several addresses does: what was not sent, or may run
  /// twice, goes to the next one.
  bool triesElsewhere(shot &Shot, const call_result &Result) {
    bool Safe = Result.Outcome == call_outcome::NotSent ||
                (Result.Outcome == call_outcome::Lost &&
                 isIdempotent(Shot.Request.Method));
    if (!Safe || ++Shot.Tries >= Load.Targets.size())
      return false;
    ++Shot.Target;
    ++Tally.SentElsewhere;
    return true;
  }

  void next() {
    if (isOver() && Open == 0)
      Loop.stop();
    else if (!isOver() && Load.Rate <= 0)
      sendOne();
  }

  void take(const shot &Shot, const call_result &Result) {
    if (Result.Outcome != call_outcome::Answered) {
      ++Tally.Lost;
      note("lost: " + Result.Error);
      return;
    }
    json Body = json::parse(Result.Response.Body, nullptr, false);
    if (Body.is_object() && Body.contains("ran")) {
      ++Tally.Refused[Body.value("code", "?") + std::string(", ") +
                      Body.value("ran", "?")];
      return;
    }
    if (Result.Response.Status != 200) {
      ++Tally.Refused["status " + std::to_string(Result.Response.Status)];
      return;
    }
    check(Shot, Result.Response, Body);
  }

  void check(const shot &Shot, const http_response &Response,
             const json &Body) {
    time_point Now = Clock.now();
    bool Right =
        Body.is_object() && Body.value("target", "") == Shot.Request.Target &&
        Body.value("method", "") == Shot.Request.Method &&
        Body.value("request_id", "") == Shot.Id &&
        Body.value("body_hash", "") == hashCallerKey(Shot.Request.Body);
    bool Routed = Body.value("workspace", "") == Shot.Workspace &&
                  !Body.value("saw_caller_key", true) &&
                  Response.Headers.find("x-request-id") == Shot.Id;
    Right = Right && (Load.Direct || Routed);
    if (!Right) {
      ++Tally.Wrong;
      note("wrong answer to " + Shot.Id + ": " + Response.Body);
      return;
    }
    ++Tally.Answered;
    std::string Server = Body.value("server", "");
    ++Tally.ByServer[Server];
    ++Tally.ByWorkspace[Shot.Workspace];
    Tally.LatenciesMs.push_back(inMilliseconds(Now - Shot.Begun));
    checkOwner(Shot, Body.value("token", ""), Server);
    noteServed(Shot, Now);
  }

  /// Under one token a key has one owner.
  void checkOwner(const shot &Shot, const std::string &Token,
                  const std::string &Server) {
    if (Token.empty())
      return;
    auto [Place, IsNew] = Owners.try_emplace({Shot.Key, Token}, Server);
    if (IsNew || Place->second == Server)
      return;
    ++Tally.TwoOwners;
    note("two owners of " + Shot.Key + " under " + Token);
  }

  /// The longest time between two served requests of a slice.
  void noteServed(const shot &Shot, time_point Now) {
    if (Load.Slices == 0)
      return;
    uint32_t Slice = sliceOf(Load.Service, Shot.Key, Load.Slices);
    auto [Place, IsNew] = LastServed.try_emplace(Slice, Now);
    Tally.WorstGapMs =
        std::max(Tally.WorstGapMs, inMilliseconds(Now - Place->second));
    Place->second = Now;
  }

  static double inMilliseconds(duration Span) {
    return std::chrono::duration<double, std::milli>(Span).count();
  }

  void note(const std::string &Text) {
    constexpr size_t MaxNotes = 5;
    if (Tally.Notes.size() < MaxNotes)
      Tally.Notes.push_back(Text);
  }

  event_loop &Loop;
  http_client &Client;
  boot_clock Clock;
  workload Load;
  std::mt19937_64 Random;
  uint32_t RunId;
  time_point Begun;
  tally Tally;
  std::map<std::pair<std::string, std::string>, std::string> Owners;
  std::map<uint32_t, time_point> LastServed;
  uint64_t Open = 0;
  bool Stopped = false;
  timer End;
  timer Ticks;
};

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

workload readWorkload() {
  workload Load;
  for (const std::string &Target : split(flagText("targets")))
    Load.Targets.push_back(parseEndpoint(Target));
  for (const std::string &Pair : split(flagText("caller_keys"))) {
    size_t Equals = Pair.find('=');
    if (Equals == std::string::npos)
      rejectFlag("caller_keys", Pair, "WORKSPACE=KEY");
    Load.CallerKeys.emplace_back(Pair.substr(0, Equals),
                                 Pair.substr(Equals + 1));
  }
  if (Load.Targets.empty())
    rejectFlag("targets", "", "IP:PORT, comma-separated");
  if (Load.CallerKeys.empty())
    rejectFlag("caller_keys", "", "WORKSPACE=KEY, comma-separated");
  Load.Prefix = requiredText("prefix");
  Load.Requests = wholeNumber("requests", 0, 100'000'000);
  Load.Duration = millisecondsFlag("duration_ms", 1, 3'600'000);
  Load.Concurrency = wholeNumber("concurrency", 1, 10'000);
  Load.Rate = realNumber("rate", 0, 1'000'000);
  Load.Keys = wholeNumber("keys", 1, 1'000'000'000);
  Load.PostShare = realNumber("post_share", 0, 1);
  Load.UrgentShare = realNumber("urgent_share", 0, 1);
  Load.IdempotencyKeys = oneOf("idempotency_keys", {"true", "false"}) == "true";
  Load.Direct = oneOf("direct", {"true", "false"}) == "true";
  Load.Cycle = oneOf("cycle", {"true", "false"}) == "true";
  Load.Timeout = millisecondsFlag("timeout_ms", 1, 600'000);
  Load.Slices = static_cast<uint32_t>(wholeNumber("slices", 0, 65'536));
  Load.Service = requiredText("service");
  return Load;
}

json toJson(const tally &Tally, double Seconds) {
  return {{"sent", Tally.Sent},
          {"answered", Tally.Answered},
          {"refused", Tally.Refused},
          {"lost", Tally.Lost},
          {"wrong", Tally.Wrong},
          {"two_owners", Tally.TwoOwners},
          {"sent_elsewhere", Tally.SentElsewhere},
          {"rate", static_cast<double>(Tally.Answered) / Seconds},
          {"p50_ms", percentile(Tally.LatenciesMs, 0.5)},
          {"p99_ms", percentile(Tally.LatenciesMs, 0.99)},
          {"max_ms", percentile(Tally.LatenciesMs, 1)},
          {"worst_gap_ms", Tally.WorstGapMs},
          {"by_server", Tally.ByServer},
          {"by_workspace", Tally.ByWorkspace},
          {"notes", Tally.Notes}};
}

void printText(const json &Report) {
  auto Line = [](const std::string &Name, const json &Value) {
    std::printf("  %-26s %s\n", Name.c_str(), Value.dump().c_str());
  };
  for (const char *Name : {"sent", "answered", "lost", "wrong", "two_owners"})
    Line(Name, Report[Name]);
  for (const auto &[Reason, Count] : Report["refused"].items())
    Line("refused: " + Reason, Count);
  for (const char *Name : {"rate", "p50_ms", "p99_ms", "max_ms"})
    std::printf("  %-26s %.2f\n", Name, Report[Name].get<double>());
  for (const auto &[Server, Count] : Report["by_server"].items())
    std::printf("  share of %-17s %5.1f %%\n", Server.c_str(),
                100.0 * Count.get<double>() / Report["answered"].get<double>());
  for (const auto &Note : Report["notes"])
    std::printf("  note: %s\n", Note.get<std::string>().c_str());
}

} // namespace

} // namespace dragonflyvane

int main(int Count, char **Arguments) {
  using namespace dragonflyvane;
  parseFlags(Count, Arguments, "standin_load: sends requests and checks them");
  workload Load = readWorkload();
  auto Seed = static_cast<uint64_t>(wholeNumber("seed", 0, 1'000'000'000));
  std::string Output = oneOf("output", {"text", "json"});
  event_loop Loop;
  http_client Client(Loop);
  load_run Run(Loop, Client, Load, Seed);
  Run.start();
  Loop.run();
  json Report = toJson(Run.result(), Run.seconds());
  if (Output == "json")
    std::cout << Report.dump() << std::endl;
  else
    printText(Report);
  const tally &Tally = Run.result();
  bool Clean = Tally.Lost == 0 && Tally.Wrong == 0 && Tally.TwoOwners == 0;
  return Clean ? 0 : 1;
}
