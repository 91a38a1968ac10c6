#include "process/steady_callers.hpp"

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "platform/header_names.hpp"

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds CallerTimeout{10'000};
constexpr std::chrono::milliseconds KeptFor{14'000};
/// Spreads the keys of the requests over all hosts.
constexpr uint64_t KeyStep = 7919;

} // namespace

struct steady_callers::caller {
  explicit caller(event_loop &Loop) : Client(Loop) {}

  http_client Client;
  bool Idempotent = false;
  timer Pause;
};

steady_callers::steady_callers(const endpoint &Daemon, int Count,
                               std::chrono::milliseconds Pause,
                               std::chrono::milliseconds Spread,
                               std::string Target)
    : Daemon(Daemon), Pause(Pause), Target(std::move(Target)) {
  for (int I = 0; I < Count; ++I) {
    auto &Caller = *Callers.emplace_back(std::make_unique<caller>(Loop));
    Caller.Idempotent = I % 2 == 0;
    Caller.Pause =
        Loop.after(Spread * I / Count, [this, &Caller] { sendNext(Caller); });
  }
  Thread = std::thread([this] { Loop.run(); });
}

steady_callers::~steady_callers() { finish(); }

std::vector<ended_call> steady_callers::finish() {
  if (Thread.joinable()) {
    Loop.stop();
    Thread.join();
  }
  return Calls;
}

void steady_callers::sendNext(caller &Caller) {
  header_names Names = platform::headerNames();
  ++LastId;
  http_request Request;
  Request.Target = !Target.empty()     ? Target
                   : Caller.Idempotent ? "/parts/1"
                                       : "/orders/1";
  Request.Headers.add("Host", "cluster.example");
  ended_call Call;
  Call.RequestId = Daemon.Address + "-" + std::to_string(LastId);
  Request.Headers.add(Names.RequestId, Call.RequestId);
  Request.Headers.add(Names.KeyPoint,
                      std::to_string(LastId * KeyStep % (LastPoint + 1)));
  Request.Headers.add(Names.TimeLeft, std::to_string(CallerTimeout.count()));
  call_options Options;
  Options.Timeout = CallerTimeout;
  Options.MaxIdle = KeptFor;
  Call.SentAt = Clock.now();
  Call.Idempotent = Caller.Idempotent;
  Caller.Client.send(Daemon, Request, std::move(Options),
                     [this, &Caller, Call](const call_result &Result) {
                       onResult(Caller, Call, Result);
                     });
}

void steady_callers::onResult(caller &Caller, ended_call Call,
                              const call_result &Result) {
  Call.Took = Clock.now() - Call.SentAt;
  Call.Outcome = Result.Outcome;
  if (Result.Outcome == call_outcome::Completed)
    Call.Status = Result.Response.Status;
  Calls.push_back(Call);
  Caller.Pause = Loop.after(Pause, [this, &Caller] { sendNext(Caller); });
}

void warmUp(const endpoint &Daemon) {
  steady_callers Callers(Daemon, 10, std::chrono::milliseconds(10),
                         std::chrono::milliseconds(10));
  std::this_thread::sleep_for(std::chrono::seconds(1));
}

} // namespace dragonflyvane
