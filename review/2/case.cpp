// A target rejects a request, and its rejection arrives a second time, late. The daemon
// has sent the same request again on the same connection, takes the second copy for the
// answer to that, and tells the client that the request has not run, while it runs.
#include "../standin/platform.hpp"

using namespace standin;

int main() {
  options Options = readOptions();
  constexpr int HeartbeatMs = 870;
  deployment Deployment(Options, HeartbeatMs, 260);
  run_list Runs;
  std::vector<std::unique_ptr<target>> Targets;
  for (const char *Zone : {"suva", "nadi", "lautoka"})
    Targets.push_back(std::make_unique<target>(Deployment.add("perch", Zone), Runs, HeartbeatMs,
                                               true, 6, 50));
  // One of three targets: it rejects one request in 17 (`srv_grey`, shed), and one
  // answer in 34, a rejection, comes a second time, 40 ms later (`garble`, extra late).
  target &Grey = *Targets[0];
  std::atomic<bool> IsGrey{false};
  std::atomic<int> Seconds{0}, Requests{0};
  Grey.Answer = [&](connection &C, const message &Request) {
    int Number = Requests++;
    bool IsShed = IsGrey && Number % 17 == 5;
    bool IsTwofold = IsGrey && Number % 34 == 5;
    std::string Text;
    if (IsShed) {
      Text = encodeResponse(
          503, {{"Request-Id", Request.header("Request-Id")}, {"Not-Executed", "1"}}, "");
      RECORD("target %s rejects %s", Grey.Machine.Name.c_str(),
             Request.header("Request-Id").c_str());
    } else {
      Grey.work(Request, Grey.WorkMs);
      Text = encodeResponse(200, Grey.stamped(Request), Grey.bodyFor(Request));
    }
    if (!C.write(Text))
      return false;
    if (!IsTwofold)
      return true;
    ++Seconds;
    sleepMs(40);
    // A thread of its own would do the same; what has come meanwhile on this
    // connection is read after the second copy was sent.
    RECORD("target %s sends its answer to %s a second time", Grey.Machine.Name.c_str(),
           Request.header("Request-Id").c_str());
    return C.write(Text);
  };
  Deployment.Store->put(
      "op", "config",
      configuration(json::array({route("r-order", "/pufi791/", "unsafe", "perch", 1500, 500, 2)}),
                    json::array({service("perch", true)})));
  for (auto &Target : Targets) {
    Deployment.startDaemon(Target->Machine);
    Target->start();
  }
  if (!Deployment.awaitReady(20))
    finish(Deployment, 2, "the daemons were not ready");
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

  std::mutex Mutex;
  std::map<int, int> Statuses;
  std::map<std::string, int> StatusOf;
  std::atomic<bool> IsEnding{false};
  std::atomic<int> Sent{0};
  std::vector<std::thread> Clients;
  for (unsigned I = 0; I < 18; ++I)
    Clients.emplace_back([&, I] {
      const machine &M = Targets[I % 3]->Machine;
      std::unique_ptr<connection> C;
      for (unsigned Number = 0; !IsEnding; ++Number) {
        if (!C || !C->isOpen())
          C = connection::open(M.outbound(), 1000);
        if (!C)
          continue;
        std::string Key = std::to_string((Number * 7919 + I * 3593) % 65536);
        std::string Id = newId();
        outcome Outcome = attempt(*C, M, "POST", "ficu95.example", "/pufi791/2f",
                                  {{"Request-Id", Id}, {"Shard-Key", Key}}, "one monthly box\n",
                                  3000);
        ++Sent;
        std::lock_guard<std::mutex> Lock(Mutex);
        ++Statuses[Outcome.Status];
        StatusOf[Id] = Outcome.Status;
        if (Outcome.Status == 0 || lower(Outcome.Answer.header("Connection")) == "close")
          C.reset();
        sleepMs(10);
      }
    });
  sleepMs(3000);
  IsGrey = Options.Trouble;
  sleepMs(5000);
  IsGrey = false;
  sleepMs(3000);
  IsEnding = true;
  for (std::thread &Client : Clients)
    Client.join();
  sleepMs(1000);

  int Broken = 0, Twice = 0;
  for (const auto &[Id, List] : Runs.all()) {
    int Status = StatusOf[Id];
    if (Status == 503 || Status == 429 || Status == 408 || Status == 421) {
      ++Broken;
      RECORD("REFUSED: %s was answered %d and ran at %s at %.3f", Id.c_str(), Status,
             List[0].Target.c_str(), List[0].At);
    }
    if (List.size() > 1) {
      ++Twice;
      RECORD("TWICE: %s ran %zu times", Id.c_str(), List.size());
    }
  }
  std::string Text;
  for (const auto &[Status, Count] : Statuses)
    Text += " " + std::to_string(Status) + ": " + std::to_string(Count);
  RECORD("answers by status:%s", Text.c_str());
  if (Statuses[200] < Sent / 2)
    finish(Deployment, 2, "less than half of the requests were served");
  finish(Deployment, Broken + Twice > 0 ? 1 : 0,
         std::to_string(Sent) + " requests sent, " + std::to_string(Seconds) +
             " answers came a second time, " + std::to_string(Broken) +
             " requests answered 503 have run, " + std::to_string(Twice) + " ran twice");
}
