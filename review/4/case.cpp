// Another writer sends one heartbeat, with fields missing, to the daemon of a machine
// whose target holds keys. The daemon takes it for a new life of its target.
#include "../standin/platform.hpp"

using namespace standin;

namespace {

struct overlap {
  std::string First, Second;
  int From = 0, To = 0;
  double Begin = 0, End = 0;
};

/// Spans in which two targets held the same keys.
std::vector<overlap> overlaps(std::vector<std::unique_ptr<target>> &Targets) {
  std::vector<overlap> Found;
  for (size_t I = 0; I < Targets.size(); ++I)
    for (size_t J = I + 1; J < Targets.size(); ++J)
      for (const hold &A : Targets[I]->holds())
        for (const hold &B : Targets[J]->holds()) {
          overlap O{Targets[I]->Machine.Name, Targets[J]->Machine.Name, std::max(A.From, B.From),
                    std::min(A.To, B.To), std::max(A.Begin, B.Begin), std::min(A.End, B.End)};
          if (O.From <= O.To && O.Begin < O.End)
            Found.push_back(O);
        }
  return Found;
}

} // namespace

int main() {
  options Options = readOptions();
  constexpr int HeartbeatMs = 870;
  deployment Deployment(Options, HeartbeatMs, 260);
  run_list Runs;
  std::vector<std::unique_ptr<target>> Targets;
  const char *Zones[] = {"suva", "nadi", "lautoka"};
  for (const char *Zone : Zones)
    Targets.push_back(std::make_unique<target>(Deployment.add("perch", Zone), Runs, HeartbeatMs,
                                               true, 6, 20));
  Deployment.Store->put(
      "op", "config",
      configuration(json::array({route("r-peek", "/lohu930/", "safe", "perch", 1200, 400, 2)}),
                    json::array({service("perch", true)})));
  for (auto &Target : Targets) {
    Deployment.startDaemon(Target->Machine);
    Target->start();
  }
  if (!Deployment.awaitReady(20))
    finish(Deployment, 2, "the daemons were not ready");

  // Clients on all machines ask for keys all over the range.
  std::atomic<bool> IsEnding{false};
  std::atomic<int> Sent{0}, Served{0};
  std::vector<std::thread> Clients;
  for (size_t I = 0; I < Targets.size(); ++I)
    Clients.emplace_back([&, I] {
      const machine &M = Targets[I]->Machine;
      std::unique_ptr<connection> C;
      for (unsigned Number = 0; !IsEnding; ++Number) {
        if (!C || !C->isOpen())
          C = connection::open(M.outbound(), 1000);
        if (!C)
          continue;
        std::string Key = std::to_string((Number * 7919 + I * 101) % 65536);
        outcome Outcome = attempt(*C, M, "GET", "ficu95.example", "/lohu930/2f",
                                  {{"Request-Id", newId()}, {"Shard-Key", Key}}, "", 2500);
        ++Sent;
        Served += Outcome.Status == 200;
        if (Outcome.Status == 0 || lower(Outcome.Answer.header("Connection")) == "close")
          C.reset();
        sleepMs(60);
      }
    });

  // Waits until all keys have been held for a while.
  auto AllHeld = [&] {
    for (int Key = 100; Key < 65536; Key += 1000) {
      bool IsHeld = false;
      for (auto &Target : Targets)
        IsHeld = IsHeld || Target->holdsKey(Key, now());
      if (!IsHeld)
        return false;
    }
    return true;
  };
  double Since = now();
  for (double Until = now() + 30; now() < Until && now() - Since < 6; sleepMs(100))
    if (!AllHeld())
      Since = now();
  if (now() - Since < 6)
    finish(Deployment, 2, "the keys were not held");

  double TroubleAt = now();
  if (Options.Trouble) {
    // Fields are missing: version, holds and freed. It names no target to use.
    const machine &M = Targets[0]->Machine;
    json Body = {{"service", "perch"}, {"address", M.Ip + ":8364"}, {"zone", M.Zone},
                 {"slots", 6}, {"state", "draining"}, {"coldRemainingMs", 0}, {"sequence", 1},
                 {"born", wallMs()}};
    message Answer;
    bool IsAnswered =
        call(M.control(),
             encodeRequest("POST", "/-/rpc?call=instances.heartbeat&of=i-other",
                           {{"Host", M.control()}, {"Content-Type", "application/json"}},
                           Body.dump()),
             1000, Answer);
    RECORD("another writer sends %s to %s, answered %d %s", Body.dump().c_str(), M.Name.c_str(),
           IsAnswered ? Answer.status() : 0, Answer.Body.c_str());
  }
  sleepMs(10000);
  IsEnding = true;
  for (std::thread &Client : Clients)
    Client.join();

  double Longest = 0;
  for (const overlap &O : overlaps(Targets)) {
    RECORD("%s and %s both hold %d-%d from %.3f to %.3f", O.First.c_str(), O.Second.c_str(),
           O.From, O.To, O.Begin, O.End);
    Longest = std::max(Longest, O.End - O.Begin);
  }
  RECORD("%d requests sent, %d served; trouble at %.3f", Sent.load(), Served.load(), TroubleAt);
  char Verdict[200];
  snprintf(Verdict, sizeof Verdict, "two targets held the same keys for %.3f s at the longest",
           Longest);
  finish(Deployment, Longest > 0.5 ? 1 : 0, Verdict);
}
