// Cases about the recovery after a final fault beside drills of the store.
//
//   recover CASE ROOT FOLDER RECORD TROUBLE
//
// CASE is `same-copy-twice` or `copy-before-start`. Exits with 1 if the rule
// RECOVER was broken, 0 if it held, and 2 if the case could not run.
#include "fleet.hpp"

#include <map>

using namespace review;

namespace {

constexpr int64_t RecoverMs = 15'000;
constexpr int64_t TouchMs = 3'000;
/// The requests of this long are judged.
constexpr int64_t JudgedMs = 12'000;

struct share {
  int Sent = 0;
  int Served = 0;
  std::map<int, int> Statuses;
  double value() const { return Sent == 0 ? 0 : double(Served) / Sent; }
};

share shareOf(const std::vector<sent_request> &Requests, int64_t From,
              int64_t To) {
  share Share;
  for (const sent_request &Request : Requests) {
    if (Request.SentAt < From || Request.SentAt >= To)
      continue;
    ++Share.Sent;
    Share.Served += Request.IsServed;
    ++Share.Statuses[Request.Status];
  }
  return Share;
}

void print(recorder &Record, const char *Name, const share &Share) {
  std::string Statuses;
  for (const auto &[Status, Count] : Share.Statuses)
    Statuses += " " + std::to_string(Status) + ":" + std::to_string(Count);
  Record.line("%s: %d sent, %d served (%.3f); answers by status (0: none)%s",
              Name, Share.Sent, Share.Served, Share.value(), Statuses.c_str());
}

class recover_case {
public:
  recover_case(std::string Name, bool HasTrouble, fleet &Fleet,
               recorder &Record)
      : Name(std::move(Name)), HasTrouble(HasTrouble), Fleet(Fleet),
        Record(Record) {}

  int run() {
    Fleet.configure(0);
    bool IsBeforeStart = Name == "copy-before-start";
    if (IsBeforeStart)
      copy();
    Fleet.startDaemons();
    Fleet.startTargets();
    sleepMs(8000);
    if (Fleet.heldKeys() < 65000) {
      Record.line("only %d keys are held before the traffic; cannot run",
                  Fleet.heldKeys());
      return 2;
    }
    Fleet.startClients(3, 150);
    Record.line("clients: traffic starts");
    int64_t TrafficAt = nowMs();
    if (!IsBeforeStart) {
      sleepMs(3000);
      copy();
      sleepMs(2000);
      drill();
      sleepMs(2000);
    } else {
      sleepMs(2000);
    }
    // The final fault, right after an acknowledgement.
    Fleet.configure(1);
    int64_t FaultAt = nowMs();
    if (HasTrouble) {
      Fleet.killDaemons();
      sleepMs(700);
      Fleet.startDaemons();
    }
    int64_t BackAt = nowMs();
    sleepMs(1500);
    drill();
    // The core counts as stable again, and then the machines have `recoverS`.
    sleepMs(TouchMs);
    int64_t JudgedAt = nowMs() + RecoverMs;
    Record.line("the machines are back since %.1f s; requests sent later than "
                "%.1f s from now are judged",
                double(nowMs() - BackAt) / 1000, double(RecoverMs) / 1000);
    while (nowMs() < JudgedAt + JudgedMs) {
      sleepMs(3000);
      Record.line("state: %d of %d daemons ready, %d of 65536 keys held, %llu "
                  "store calls, %llu of them refused transactions, %d ended "
                  "daemons",
                  Fleet.readyDaemons(), Fleet.size(), Fleet.heldKeys(),
                  static_cast<unsigned long long>(Fleet.platformStore().calls()),
                  static_cast<unsigned long long>(
                      Fleet.platformStore().refusedTransactions()),
                  Fleet.endedDaemons());
    }
    Fleet.stopClients();
    Fleet.listRequests();
    std::vector<sent_request> Requests = Fleet.requests();
    share Before = shareOf(Requests, TrafficAt, FaultAt);
    share After = shareOf(Requests, JudgedAt, JudgedAt + JudgedMs);
    print(Record, "before the final fault", Before);
    print(Record, "between", shareOf(Requests, FaultAt, JudgedAt));
    print(Record, "judged", After);
    if (Before.Sent < 100 || Before.value() < 0.25) {
      Record.line("too little was served before; cannot run");
      return 2;
    }
    bool IsBroken = After.value() < 0.25;
    Record.line(IsBroken ? "RECOVER is broken" : "RECOVER holds");
    return IsBroken ? 1 : 0;
  }

private:
  void copy() {
    Fleet.platformStore().copy();
    Record.line("store: a copy is made");
  }

  /// The store is away for half a second, and comes back from the copy.
  void drill() {
    if (!HasTrouble)
      return;
    Fleet.platformStore().setDown(true);
    Record.line("store: away");
    sleepMs(500);
    int64_t Age = Fleet.platformStore().restore();
    Fleet.platformStore().setDown(false);
    Record.line("store: back from a copy that is %.1f s old, Store-Era %d",
                double(Age) / 1000, Fleet.platformStore().era());
  }

  std::string Name;
  bool HasTrouble;
  fleet &Fleet;
  recorder &Record;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 6)
    return 2;
  recorder Record(Arguments[4]);
  fleet_options Options;
  Options.Root = Arguments[2];
  Options.Program = Options.Root + "/target/dragonflyvaned";
  Options.Folder = Arguments[3];
  auto Fleet = std::make_unique<fleet>(Options, Record);
  int Result = recover_case(Arguments[1], std::string(Arguments[5]) != "0",
                            *Fleet, Record)
                   .run();
  Fleet->stopDaemons();
  std::_Exit(Result);
}
