// All 54 machines of a service that is divided by key lose power at once. Four come back,
// the other 50 are gone for good and are replaced by others at other addresses. The keys
// of the lost ones stay with them: the transaction that takes them over has more entries
// than the store accepts.
#include "../harness/harness.hpp"

using namespace harness;

int main() {
  constexpr int HeartbeatMs = 1500;
  const int First = atoi(environment("MACHINES", "54").c_str());
  const int Lost = atoi(environment("LOST", "50").c_str());
  fleet Fleet({"lake-erie", "lake-huron", "lake-michigan"}, HeartbeatMs, 260);
  run_list Runs;
  std::vector<std::unique_ptr<target>> Targets;
  std::atomic<int> RefusedTakeovers{0};
  Fleet.Store->OnRefused = [&](size_t Entries, const std::string &Body) {
    if (++RefusedTakeovers <= 5)
      record("the store answers 400 to a transaction of %zu entries: %.300s", Entries, Body.c_str());
  };
  Fleet.Store->put("op", "config",
                   configuration(json::array({route("r-lookup", "/lohu930/", "safe", "counter", 1200, 500, 2)}),
                                 json::array({service("counter", true)})));
  auto Add = [&](int Count, bool IsFirstStart) {
    for (int I = 0; I < Count; ++I) {
      Targets.push_back(std::make_unique<target>(Fleet.makeMachine("counter"), Runs, HeartbeatMs, true, 6, 20));
      Fleet.startDaemon(Targets.back()->Machine, IsFirstStart);
      if (!Targets.back()->start())
        Fleet.finish(2, "a target could not listen");
    }
  };
  auto AwaitReady = [&](size_t From, double Seconds) {
    double Until = now() + Seconds;
    for (size_t I = From; I < Targets.size(); ++I)
      while (!fleet::isReady(Targets[I]->Machine)) {
        if (now() > Until)
          Fleet.finish(2, "the daemons were not ready");
        sleepMs(50);
      }
  };
  auto HeldKeys = [&](size_t From) {
    size_t Held = 0;
    for (size_t I = From; I < Targets.size(); ++I)
      Held += Targets[I]->heldKeys();
    return Held;
  };
  // Returns the share of requests that were answered with success, for keys all over.
  std::atomic<int> Sent{0}, Served{0};
  auto Measure = [&](double Seconds, size_t From, const char *What) {
    Sent = Served = 0;
    std::mutex Mutex;
    std::map<int, int> Statuses;
    double Until = now() + Seconds;
    std::vector<std::thread> Clients;
    for (int I = 0; I < 12; ++I)
      Clients.emplace_back([&] {
        std::map<size_t, std::unique_ptr<connection>> Open;
        while (now() < Until) {
          size_t At = From + randomNumber() % (Targets.size() - From);
          int Key = static_cast<int>(randomNumber() % 65536);
          std::string Id = randomId();
          outcome Outcome = attempt(Open[At], Targets[At]->Machine, "GET", "/lohu930/2f",
                                    {{"Request-Id", Id}, {"Shard-Key", std::to_string(Key)}}, "", 2500);
          bool IsServed = Outcome.Status == 200 && !Outcome.Response.header("Server-Stamp").empty() &&
                          Outcome.Response.Body == "whole body for " + Id + "\n";
          ++Sent;
          Served += IsServed;
          {
            std::lock_guard Lock(Mutex);
            ++Statuses[Outcome.Status];
            if (!IsServed && Statuses[Outcome.Status] <= 3)
              record("%s: request %s with key %d at %s: %d", What, Id.c_str(), Key,
                   Targets[At]->Machine.Name.c_str(), Outcome.Status);
          }
          sleepMs(20);
        }
      });
    for (std::thread &Client : Clients)
      Client.join();
    std::string Text;
    for (const auto &[Status, Count] : Statuses)
      Text += " " + std::to_string(Status) + ": " + std::to_string(Count);
    record("%s: %d requests, %d served; answers by status:%s", What, Sent.load(), Served.load(), Text.c_str());
    return Sent ? static_cast<double>(Served) / Sent : 0;
  };

  Add(First, true);
  AwaitReady(0, 20);
  double Until = now() + 25;
  while (HeldKeys(0) < 65536 && now() < Until)
    sleepMs(200);
  record("%d machines, %zu of 65536 keys are held", First, HeldKeys(0));
  sleepMs(2000);
  double Before = Measure(4, 0, "before");
  if (Before < 0.25)
    Fleet.finish(2, "less than a quarter was served before");

  size_t From = 0;
  if (hasTrouble()) {
    record("all %d machines lose power", First);
    std::vector<std::thread> Ends;
    for (int I = 0; I < First; ++I) {
      Fleet.killDaemon(Targets[static_cast<size_t>(I)]->Machine);
      Ends.emplace_back([&, I] { Targets[static_cast<size_t>(I)]->stop(); });
    }
    for (std::thread &End : Ends)
      End.join();
    sleepMs(2000);
    From = static_cast<size_t>(Lost);
    for (size_t I = From; I < static_cast<size_t>(First); ++I) {
      Fleet.startDaemon(Targets[I]->Machine, false);
      if (!Targets[I]->start())
        Fleet.finish(2, "a target could not listen");
    }
    record("%d of them are back at their addresses", First - Lost);
    Add(Lost, false);
    record("%d other machines were started at other addresses", Lost);
    AwaitReady(From, 20);
    record("all machines are ready");
  }
  sleepMs(15000);
  record("15 s later, %zu of 65536 keys are held", HeldKeys(From));
  sleepMs(1000);
  double After = Measure(8, From, "after");
  record("largest transaction: %zu entries; refused for their size: %d",
         Fleet.Store->MaxEntries.load(), Fleet.Store->Refused.load());
  char Text[300];
  snprintf(Text, sizeof(Text),
           "served before %.3f, later than 16 s after the machines are back %.3f; %d transactions of over 100 entries",
           Before, After, Fleet.Store->Refused.load());
  Fleet.finish(After < 0.25 ? 1 : 0, Text);
}
