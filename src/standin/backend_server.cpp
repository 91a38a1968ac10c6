/// Stand-in for a backend server: runs requests for a while in a number of
/// slots and echoes them, so that a load program can check every answer.
///
/// It announces itself to its daemon, refuses stale tokens if told so, sheds
/// load beyond its slots, starts cold, honours cancellation and time limits,
/// and can freeze, crash on a marked request, and lie about its health.
///
///     POST /control    {"cold": bool, "freeze_ms": N, "health":
///     "ok|bad|silent",
///                       "service_ms": N, "checks_tokens": bool}
///     GET  /control/report
#include <dragonflyvane/core.hpp>
#include <dragonflyvane/net.hpp>
#include <dragonflyvane/node.hpp>

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>

ABSL_FLAG(std::string, name, "", "name of this backend server");
ABSL_FLAG(std::string, service, "", "service that it serves");
ABSL_FLAG(std::string, listen, "127.0.0.1:6000", "IP:PORT to listen on");
ABSL_FLAG(std::string, daemon_admin, "", "IP:PORT to announce itself at");
ABSL_FLAG(std::string, slots, "9", "requests that it runs at once");
ABSL_FLAG(std::string, service_ms, "4", "time that a request runs");
ABSL_FLAG(std::string, cold_ms, "0", "time to warm up");
ABSL_FLAG(std::string, checks_tokens, "true", "refuse stale tokens");
ABSL_FLAG(std::string, journal, "false", "print a line for each run");

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

constexpr const char *CrashHeader = "x-standin-crash";
constexpr const char *ServiceTimeHeader = "x-standin-service-ms";
/// Requests that wait inside, for each slot, before it sheds.
constexpr size_t WaitingPerSlot = 4;
/// Share of its slots that a cold server can use.
constexpr double ColdShare = 0.25;
constexpr std::chrono::milliseconds AnnouncePeriod{500};

struct behaviour {
  std::string Name;
  std::string Service;
  uint32_t Slots = 1;
  std::chrono::milliseconds ServiceTime{4};
  std::chrono::milliseconds ColdTime{0};
  bool ChecksTokens = true;
  bool Journal = false;
  std::string Health = "ok";
};

class backend_server {
public:
  backend_server(event_loop &Loop, behaviour Behaviour)
      : Loop(Loop), Behaviour(std::move(Behaviour)), WarmFrom(Clock.now()) {}

  void serve(const exchange_pointer &Exchange) {
    std::string_view Path = pathOf(Exchange->request().Target);
    if (Path == "/control")
      return control(Exchange);
    if (Path == "/control/report")
      return report(Exchange);
    if (Clock.now() < FrozenUntil)
      return holdUntilThaw(Exchange);
    if (Path == "/health")
      return health(Exchange);
    if (Exchange->request().Headers.find(CrashHeader))
      std::_Exit(3);
    accept(Exchange);
  }

private:
  struct job {
    exchange_pointer Exchange;
    time_point Arrived;
    bool Cancelled = false;
  };

  void accept(const exchange_pointer &Exchange) {
    if (!acceptToken(Exchange->request()))
      return answer(Exchange, 409, R"({"error":"stale token"})");
    if (Waiting.size() >= WaitingPerSlot * Behaviour.Slots) {
      ++Shed;
      return answer(Exchange, 503, R"({"error":"shed"})");
    }
    auto Job = std::make_shared<job>();
    Job->Exchange = Exchange;
    Job->Arrived = Clock.now();
    Exchange->onGone([Job] { Job->Cancelled = true; });
    Waiting.push_back(Job);
    startMore();
  }

  /// The highest token seen of each slice; a lower one comes from a host that
  /// has lost its office.
  bool acceptToken(const http_request &Request) {
    auto Token = Request.Headers.find("x-dragonflyvane-token");
    auto Slice = Request.Headers.find("x-dragonflyvane-slice");
    if (!Token || !Slice)
      return true;
    fencing_token Given;
    size_t Dot = Token->find('.');
    Given.Epoch = std::stoull(Token->substr(0, Dot));
    Given.Rank = static_cast<uint32_t>(std::stoul(Token->substr(Dot + 1)));
    fencing_token &Highest = Tokens[*Slice];
    if (Given < Highest) {
      ++Stale;
      return !Behaviour.ChecksTokens;
    }
    Highest = Given;
    return true;
  }

  uint32_t usableSlots() const {
    bool Cold = Clock.now() - WarmFrom < Behaviour.ColdTime;
    auto Share = static_cast<uint32_t>(Behaviour.Slots * ColdShare);
    return Cold ? std::max(1U, Share) : Behaviour.Slots;
  }

  void startMore() {
    while (!Waiting.empty() && Busy < usableSlots()) {
      auto Job = Waiting.front();
      Waiting.pop_front();
      if (!Job->Cancelled && !isLate(*Job))
        run(Job);
    }
  }

  bool isLate(const job &Job) const {
    auto Limit =
        Job.Exchange->request().Headers.find("x-dragonflyvane-timeout-ms");
    return Limit && Clock.now() - Job.Arrived >
                        std::chrono::milliseconds(std::stoll(*Limit));
  }

  void run(const std::shared_ptr<job> &Job) {
    ++Busy;
    ++Executed;
    const http_request &Request = Job->Exchange->request();
    std::string Id = Request.Headers.find("x-request-id").value_or("");
    if (!Id.empty() && ++Runs[Id] > 1 && !isIdempotent(Request.Method))
      ++RunTwice;
    auto Time = Behaviour.ServiceTime;
    if (auto Asked = Request.Headers.find(ServiceTimeHeader))
      Time = std::chrono::milliseconds(std::stoll(*Asked));
    time_point Begun = Clock.now();
    auto Timer = std::make_shared<timer>();
    *Timer = Loop.after(Time, [this, Job, Begun, Timer] {
      --Busy;
      finish(Job, Begun);
      startMore();
      Timer->cancel();
    });
  }

  void finish(const std::shared_ptr<job> &Job, time_point Begun) {
    const http_request &Request = Job->Exchange->request();
    auto Field = [&](const char *Name) {
      return Request.Headers.find(Name).value_or("");
    };
    json Echo = {{"server", Behaviour.Name},
                 {"service", Behaviour.Service},
                 {"method", Request.Method},
                 {"target", Request.Target},
                 {"workspace", Field("x-dragonflyvane-workspace")},
                 {"slice", Field("x-dragonflyvane-slice")},
                 {"token", Field("x-dragonflyvane-token")},
                 {"request_id", Field("x-request-id")},
                 {"traceparent", Field("traceparent")},
                 {"body_size", Request.Body.size()},
                 {"body_hash", hashCallerKey(Request.Body)},
                 {"saw_caller_key", !Field("x-api-key").empty() ||
                                        !Field("authorization").empty()}};
    if (Behaviour.Journal)
      std::cout << json{{"server", Behaviour.Name},
                        {"slice", Field("x-dragonflyvane-slice")},
                        {"token", Field("x-dragonflyvane-token")},
                        {"request_id", Field("x-request-id")},
                        {"begun_ns", Begun.time_since_epoch().count()},
                        {"ended_ns", Clock.now().time_since_epoch().count()}}
                       .dump()
                << std::endl;
    http_response Response;
    Response.Headers.add("Content-Type", "application/json");
    Response.Headers.add("Set-Cookie", "standin=1");
    Response.Headers.add("Set-Cookie", "server=" + Behaviour.Name);
    if (pathOf(Request.Target).find("/echo-body") != std::string_view::npos) {
      Response.Body = Request.Body;
    } else if (pathOf(Request.Target).find("/no-content") !=
               std::string_view::npos) {
      Response.Status = 204;
    } else {
      Response.Body = Echo.dump();
    }
    if (Request.Method == "HEAD")
      Response.Headers.set("Content-Length",
                           std::to_string(Response.Body.size()));
    Job->Exchange->answer(Response);
  }

  void health(const exchange_pointer &Exchange) {
    if (Behaviour.Health == "silent")
      return;
    answer(Exchange, Behaviour.Health == "ok" ? 200 : 500,
           json{{"busy", Busy}, {"waiting", Waiting.size()}}.dump());
  }

  void holdUntilThaw(const exchange_pointer &Exchange) {
    auto Timer = std::make_shared<timer>();
    *Timer = Loop.after(FrozenUntil - Clock.now(), [this, Exchange, Timer] {
      serve(Exchange);
      Timer->cancel();
    });
  }

  void control(const exchange_pointer &Exchange) {
    json Wanted = json::parse(Exchange->request().Body, nullptr, false);
    if (!Wanted.is_object())
      return answer(Exchange, 400, "{}");
    if (Wanted.value("cold", false))
      WarmFrom = Clock.now();
    if (Wanted.contains("freeze_ms"))
      FrozenUntil =
          Clock.now() + std::chrono::milliseconds(Wanted["freeze_ms"]);
    Behaviour.Health = Wanted.value("health", Behaviour.Health);
    Behaviour.ChecksTokens =
        Wanted.value("checks_tokens", Behaviour.ChecksTokens);
    Behaviour.ServiceTime = std::chrono::milliseconds(
        Wanted.value("service_ms", Behaviour.ServiceTime.count()));
    answer(Exchange, 200, "{}");
  }

  void report(const exchange_pointer &Exchange) {
    answer(Exchange, 200,
           json{{"server", Behaviour.Name},
                {"executed", Executed},
                {"run_twice", RunTwice},
                {"stale_tokens", Stale},
                {"shed", Shed},
                {"busy", Busy}}
               .dump());
  }

  static void answer(const exchange_pointer &Exchange, int Status,
                     std::string Body) {
    Exchange->answer(jsonResponse(Status, std::move(Body)));
  }

  event_loop &Loop;
  boot_clock Clock;
  behaviour Behaviour;
  time_point WarmFrom;
  time_point FrozenUntil;
  std::deque<std::shared_ptr<job>> Waiting;
  std::map<std::string, fencing_token> Tokens;
  std::map<std::string, int> Runs;
  uint32_t Busy = 0;
  uint64_t Executed = 0;
  uint64_t RunTwice = 0;
  uint64_t Stale = 0;
  uint64_t Shed = 0;
};

/// Announces the server until the daemon has heard it, and again after, since
/// the daemon may have been replaced.
void announce(http_client &Client, const endpoint &Daemon,
              const behaviour &Behaviour, const endpoint &Listen) {
  http_request Request;
  Request.Method = "POST";
  Request.Target = "/v1/announcements";
  Request.Body = json{{"service", Behaviour.Service},
                      {"address", toString(Listen)},
                      {"slots", Behaviour.Slots}}
                     .dump();
  Client.send(Daemon, std::move(Request),
              {std::chrono::milliseconds(400), nullptr},
              [](const call_result &) {});
}

} // namespace

} // namespace dragonflyvane

int main(int Count, char **Arguments) {
  using namespace dragonflyvane;
  parseFlags(Count, Arguments, "standin_backend: a backend server");
  behaviour Behaviour;
  Behaviour.Name = requiredText("name");
  Behaviour.Service = requiredText("service");
  Behaviour.Slots = static_cast<uint32_t>(wholeNumber("slots", 1, 10'000));
  Behaviour.ServiceTime = millisecondsFlag("service_ms", 0, 60'000);
  Behaviour.ColdTime = millisecondsFlag("cold_ms", 0, 600'000);
  Behaviour.ChecksTokens = oneOf("checks_tokens", {"true", "false"}) == "true";
  Behaviour.Journal = oneOf("journal", {"true", "false"}) == "true";
  endpoint Listen = endpointFlag("listen");
  event_loop Loop;
  http_client Client(Loop);
  backend_server Server(Loop, Behaviour);
  http_server Http(Listen, 1, {}, [&](const exchange_pointer &Exchange) {
    Loop.post([&Server, Exchange] { Server.serve(Exchange); });
  });
  timer Announcements;
  if (!flagText("daemon_admin").empty()) {
    endpoint Daemon = endpointFlag("daemon_admin");
    announce(Client, Daemon, Behaviour, Listen);
    Announcements = Loop.every(AnnouncePeriod, [&, Daemon] {
      announce(Client, Daemon, Behaviour, Listen);
    });
  }
  Loop.onTermination([&] { Loop.stop(); });
  Loop.run();
  return 0;
}
