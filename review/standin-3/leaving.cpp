// A case about a target that leaves while its daemon is stopped and started again.
//
//   leaving ROOT FOLDER RECORD TROUBLE
//
// Exits with 1 if the rule DRAIN was broken, 0 if it held, and 2 if the case
// could not run.
#include "fleet.hpp"

#include <map>

using namespace review;

namespace {

constexpr int64_t DrainMs = 2000;
/// The target serves for this long after its acknowledgement: `drainMs` and a
/// little longer.
constexpr int64_t ServeMs = 3000;

/// The request that a target ran, if the rule forbids that.
class judge {
public:
  judge(const std::vector<sent_request> &Requests, int Leaver)
      : Leaver(Leaver) {
    for (const sent_request &Request : Requests) {
      ById[Request.Id] = Request;
      Served += Request.IsServed;
      if (!Request.SaysLeaving)
        continue;
      auto [Known, IsNew] =
          ToldAt.try_emplace(Request.Machine, Request.EndedAt);
      Known->second = std::min(Known->second, Request.EndedAt);
    }
  }

  size_t sent() const { return ById.size(); }
  int served() const { return Served; }
  size_t machinesTold() const { return ToldAt.size(); }

  /// How long before the request its machine had first passed on an answer with
  /// `Server-Leaving`; nothing if that is allowed. Requests that began at the
  /// machine that was restarted don't count.
  std::optional<int64_t> lateness(const sent_request &Request) const {
    auto Told = ToldAt.find(Request.Machine);
    if (Request.Machine == Leaver || Told == ToldAt.end() ||
        Request.SentAt <= Told->second + DrainMs)
      return std::nullopt;
    return Request.SentAt - Told->second;
  }

  const sent_request *find(const std::string &Id) const {
    auto Found = ById.find(Id);
    return Found == ById.end() ? nullptr : &Found->second;
  }

private:
  int Leaver;
  /// When each machine had first passed on an answer with `Server-Leaving`.
  std::map<int, int64_t> ToldAt;
  std::map<std::string, sent_request> ById;
  int Served = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 5)
    return 2;
  bool HasTrouble = std::string(Arguments[4]) != "0";
  recorder Record(Arguments[3]);
  fleet_options Options;
  Options.Root = Arguments[1];
  Options.Program = Options.Root + "/target/dragonflyvaned";
  Options.Folder = Arguments[2];
  Options.HasBookings = true;
  Options.WorkMs = 60;
  auto Fleet = std::make_unique<fleet>(Options, Record);
  auto End = [&](int Result) {
    Fleet->stopDaemons();
    std::_Exit(Result);
  };
  Fleet->configure(0);
  Fleet->startDaemons();
  Fleet->startTargets();
  sleepMs(8000);
  Fleet->startClients(5, 120);
  Record.line("clients: traffic starts");
  sleepMs(3000);
  constexpr int Leaver = 2;
  target &Target = Fleet->targetOf(Leaver);
  std::thread Restart([&] {
    if (!HasTrouble)
      return;
    Fleet->terminateDaemon(Leaver);
    sleepMs(200);
    Fleet->startDaemon(Leaver);
    Record.line("platform: it is started again");
  });
  sleepMs(2000);
  Record.line("target of machine %d: leaves, and says so in heartbeats and "
              "answers",
              Leaver);
  Target.drain();
  int64_t Deadline = nowMs() + 1500;
  while (Target.drainAcknowledgedAt() == 0 && nowMs() < Deadline)
    sleepMs(5);
  if (Target.drainAcknowledgedAt() == 0) {
    Record.line("the leaving was not acknowledged; cannot run");
    End(2);
  }
  int64_t AcknowledgedAt = Target.drainAcknowledgedAt();
  Record.line("daemon of machine %d: acknowledges it", Leaver);
  sleepMs(AcknowledgedAt + ServeMs - nowMs());
  Target.leave();
  Record.line("target of machine %d: has given notice and ended", Leaver);
  sleepMs(3000);
  Restart.join();
  Fleet->stopClients();
  Fleet->listRequests();
  judge Judge(Fleet->requests(), Leaver);
  Record.line("%zu requests, %d served; %zu machines have passed on "
              "Server-Leaving",
              Judge.sent(), Judge.served(), Judge.machinesTold());
  int Late = 0;
  int Lost = 0;
  for (const target::arrival &Arrival : Target.arrivals()) {
    const sent_request *Request = Judge.find(Arrival.RequestId);
    auto Lateness = Request ? Judge.lateness(*Request) : std::nullopt;
    if (!Lateness)
      continue;
    ++Late;
    bool IsLost = Arrival.EndedAt == 0;
    Lost += IsLost;
    Record.line("%s of machine %d (%s) runs at the target%s; it was sent %lld ms "
                "after this machine had passed on Server-Leaving; its answer is "
                "%d",
                Arrival.RequestId.c_str(), Request->Machine,
                Request->Route.c_str(),
                IsLost ? ", and is cut off by its end" : "",
                static_cast<long long>(*Lateness), Request->Status);
  }
  bool WasTold = !HasTrouble || Judge.machinesTold() >= 3;
  if (Judge.sent() < 500 || Judge.served() * 2 < static_cast<int>(Judge.sent()) ||
      !WasTold) {
    Record.line("too little traffic; cannot run");
    End(2);
  }
  Record.line("%d requests reached the leaving target too late, %d of them were "
              "cut off by its end",
              Late, Lost);
  Record.line(Late > 0 ? "DRAIN is broken" : "DRAIN holds");
  End(Late > 0 ? 1 : 0);
}
