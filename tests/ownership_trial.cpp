#include "ownership_trial.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr const char *Service = "s";
constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds CheckPeriod{10};
constexpr std::chrono::milliseconds PollPeriod{500};
constexpr std::chrono::milliseconds StartUp{5000};
/// Half of what the leases allow for two clocks.
constexpr double MaxDrift = 0.004;
constexpr size_t Domains = 3;

} // namespace

ownership_trial::ownership_trial(const trial_settings &Settings)
    : Settings(Settings), Random(Settings.Seed) {
  setConfiguration(R"({"services":{"s":{"slices":)" +
                   std::to_string(Settings.Slices) + "}}}");
  for (size_t Host = 0; Host < Settings.Hosts; ++Host)
    start(Host);
}

std::string ownership_trial::hostName(size_t Host) {
  return "h" + std::to_string(Host);
}

size_t ownership_trial::hostIndex(const std::string &Name) const {
  return std::stoul(Name.substr(1));
}

trial_result ownership_trial::run() {
  advance(StartUp);
  std::function<void()> Inject = [&] {
    injectFault();
    schedule(between(1, static_cast<int>(2 * Settings.Faults.MeanGap.count())),
             Inject);
  };
  if (Settings.Faults.MeanGap.count() > 0)
    schedule(Settings.Faults.MeanGap, Inject);
  advance(Settings.Length - StartUp);
  Result.Served = Checks == 0 ? 0
                              : static_cast<double>(ServedChecks) /
                                    static_cast<double>(Checks);
  return Result;
}

void ownership_trial::advance(std::chrono::milliseconds Span) {
  runUntil(Now + Span);
}

void ownership_trial::runUntil(time_point End) {
  time_point NextCheck = Now;
  while (Result.Violation.empty()) {
    time_point Next = Events.empty() ? End : Events.top().Time;
    while (NextCheck <= std::min(Next, End) && Result.Violation.empty()) {
      Now = NextCheck;
      check();
      NextCheck += CheckPeriod;
    }
    if (Next >= End)
      break;
    event Event = Events.top();
    Events.pop();
    Now = Event.Time;
    ++Result.Events;
    Event.Work();
  }
  if (Result.Violation.empty())
    Now = End;
}

void ownership_trial::schedule(duration Delay, std::function<void()> Work) {
  Events.push({Now + Delay, ++Order, std::move(Work)});
}

double ownership_trial::draw() {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

std::chrono::milliseconds ownership_trial::between(int LowMs, int HighMs) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(LowMs, HighMs)(Random));
}

time_point ownership_trial::localTime(const process &Process) const {
  auto Elapsed = std::chrono::duration<double, std::nano>(Now - Begun);
  auto Local =
      std::chrono::duration_cast<duration>(Elapsed * (1 + Process.Drift));
  return Begun + Local + std::chrono::seconds(Process.Host * 1000);
}

bool ownership_trial::isPaused(const process &Process) const {
  return Now < Process.PausedUntil;
}

void ownership_trial::start(size_t Host) {
  process Process;
  Process.Host = Host;
  Process.Drift = (2 * draw() - 1) * MaxDrift;
  member_identity Identity;
  Identity.Host = hostName(Host);
  Identity.Domain = "d" + std::to_string(Host % Domains);
  Identity.Incarnation = ++LastIncarnation;
  Process.Member = std::make_unique<member>(Identity, localTime(Process),
                                            ownership_timing(), Settings.Rules);
  Process.Member->setServices({{Service, 4}});
  Current[Host] = Processes.size();
  Processes.push_back(std::move(Process));
  size_t Index = Processes.size() - 1;
  record("start " + hostName(Host));
  schedule(between(0, 50), [this, Index] { tick(Index); });
  schedule(between(0, 500), [this, Index] { pollTable(Index); });
}

void ownership_trial::kill(size_t Host) {
  process &Process = Processes[Current.at(Host)];
  Process.Alive = false;
  Process.Held.clear();
  record("kill " + hostName(Host));
}

void ownership_trial::pause(size_t Host, std::chrono::milliseconds Span) {
  process &Process = Processes[Current.at(Host)];
  Process.PausedUntil = std::max(Process.PausedUntil, Now + Span);
  record("pause " + hostName(Host) + " for " + std::to_string(Span.count()) +
         " ms");
}

void ownership_trial::cut(size_t From, size_t To,
                          std::chrono::milliseconds Span) {
  Cuts[{From, To}] = Now + Span;
}

void ownership_trial::cutDomain(size_t Domain, std::chrono::milliseconds Span) {
  record("cut domain d" + std::to_string(Domain) + " for " +
         std::to_string(Span.count()) + " ms");
  for (size_t A = 0; A < Settings.Hosts; ++A)
    for (size_t B = 0; B < Settings.Hosts; ++B)
      if ((A % Domains == Domain) != (B % Domains == Domain))
        cut(A, B, Span);
}

void ownership_trial::setOutage(std::chrono::milliseconds Span) {
  record("table outage for " + std::to_string(Span.count()) + " ms");
  OutageUntil = Now + Span;
}

void ownership_trial::setConfiguration(const std::string &Document) {
  row_version Version = 0;
  auto Found = Table.rows().find(ConfigurationRowKey);
  if (Found != Table.rows().end())
    Version = Found->second.Version;
  Table.commit(
      {{{ConfigurationRowKey, Version}}, {{ConfigurationRowKey, Document}}});
  record("configuration " + Document);
}

member &ownership_trial::at(size_t Host) {
  return *Processes[Current.at(Host)].Member;
}

bool ownership_trial::isCut(size_t From, size_t To) const {
  auto Found = Cuts.find({From, To});
  return Found != Cuts.end() && Now < Found->second;
}

void ownership_trial::deliver(size_t Index,
                              std::function<void(process &)> Work) {
  process &Process = Processes[Index];
  if (!Process.Alive)
    return;
  if (isPaused(Process)) {
    if (Process.Held.empty())
      schedule(Process.PausedUntil - Now, [this, Index] {
        auto Held = std::exchange(Processes[Index].Held, {});
        for (auto &Item : Held)
          Item();
      });
    Process.Held.push_back(
        [this, Index, Work = std::move(Work)] { deliver(Index, Work); });
    return;
  }
  Work(Process);
  act(Index);
}

void ownership_trial::tick(size_t Index) {
  deliver(Index, [this, Index](process &Process) {
    Process.Member->tick(localTime(Process));
    schedule(TickPeriod, [this, Index] { tick(Index); });
  });
}

void ownership_trial::act(size_t Index) {
  process &Process = Processes[Index];
  member_actions Actions = Process.Member->takeActions();
  for (const outgoing_message &Message : Actions.Messages)
    sendMessage(Index, Message);
  for (const outgoing_write &Write : Actions.Writes)
    sendWrite(Index, Write);
  if (Actions.ReadTable)
    readTable(Index);
  for (const member_event &Event : Process.Member->takeEvents())
    record(hostName(Process.Host) + ": " + Event.What + " " + Event.Detail);
  if (Process.Member->isReplaced())
    Process.Alive = false;
}

void ownership_trial::sendMessage(size_t From,
                                  const outgoing_message &Message) {
  ++Result.Messages;
  size_t Sender = Processes[From].Host;
  size_t To = hostIndex(Message.To);
  double Loss = Settings.Faults.MessageLoss + ExtraLoss;
  if (isCut(Sender, To) || draw() < Loss || !Current.contains(To))
    return;
  std::string Bytes = encodeMessage({hostName(Sender), Message.Body});
  schedule(between(1, 15), [this, To, Bytes] {
    deliver(Current.at(To), [this, Bytes](process &Process) {
      auto Envelope = decodeMessage(Bytes);
      Process.Member->onMessage(*Envelope, localTime(Process));
    });
  });
}

void ownership_trial::sendWrite(size_t Index, const outgoing_write &Write) {
  bool IsList = Write.Transaction.Writes.front().Key.substr(0, 7) == "slices/";
  bool Late = draw() < Settings.Faults.LateWrites;
  if (IsList && Settings.Faults.Aim == trial_aim::LateWrites && draw() < 0.5) {
    Late = true;
    pause(Processes[Index].Host, between(1500, 4000));
  }
  bool LoseAnswer = Late || draw() < Settings.Faults.LostAnswers;
  duration Delay = Late ? between(500, 5000) : between(2, 20);
  uint64_t Id = Write.Id;
  auto Reply = [this, Index, Id](transaction_result Outcome, duration After) {
    schedule(After, [this, Index, Id, Outcome] {
      deliver(Index, [this, Id, Outcome](process &Process) {
        Process.Member->onTransaction(Id, Outcome, localTime(Process));
      });
    });
  };
  if (Now < OutageUntil && draw() < 0.5)
    return Reply({transaction_outcome::NotSent, 0}, between(1, 20));
  if (Now < OutageUntil)
    return Reply({transaction_outcome::Unknown, 0}, std::chrono::seconds(3));
  if (LoseAnswer)
    Reply({transaction_outcome::Unknown, 0}, between(100, 1000));
  schedule(Delay, [this, Reply, LoseAnswer, Write] {
    transaction_result Outcome = Table.commit(Write.Transaction);
    if (!LoseAnswer)
      Reply(Outcome, between(2, 20));
  });
}

void ownership_trial::pollTable(size_t Index) {
  readTable(Index);
  schedule(PollPeriod, [this, Index] {
    deliver(Index, [this, Index](auto &) { pollTable(Index); });
  });
}

void ownership_trial::readTable(size_t Index) {
  process &Process = Processes[Index];
  if (!Process.Alive)
    return;
  row_version After = Process.Member->view().revision();
  if (Now < OutageUntil)
    return;
  time_point ReadBegun = localTime(Process);
  schedule(between(2, 20), [this, Index, After, ReadBegun] {
    table_changes Changes = Table.changesAfter(After);
    schedule(between(2, 20), [this, Index, Changes, ReadBegun] {
      deliver(Index, [this, Changes, ReadBegun](auto &Reader) {
        Reader.Member->onTable(Changes, ReadBegun, localTime(Reader));
      });
    });
  });
}

std::vector<std::string> ownership_trial::ownersOf(uint32_t Slice) {
  std::vector<std::string> Owners;
  for (process &Process : Processes) {
    if (!Process.Alive || isPaused(Process))
      continue;
    auto Token =
        Process.Member->dispatchToken({Service, Slice}, localTime(Process));
    if (!Token)
      continue;
    Owners.push_back(hostName(Process.Host));
    checkTokens(Slice, *Token, Owners.back());
  }
  return Owners;
}

void ownership_trial::check() {
  for (uint32_t Slice = 0; Slice < Settings.Slices; ++Slice) {
    std::vector<std::string> Owners = ownersOf(Slice);
    if (Owners.size() > 1)
      violation("slice " + std::to_string(Slice) + " has two owners, " +
                Owners[0] + " and " + Owners[1]);
    if (Now - Begun < StartUp)
      continue;
    ++Checks;
    auto [Last, IsNew] = LastServed.try_emplace(Slice, Now);
    if (!Owners.empty()) {
      ++ServedChecks;
      Last->second = Now;
    }
    Result.LongestGap =
        std::max(Result.LongestGap,
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     Now - Last->second));
  }
}

/// The token with which requests of a slice are dispatched never falls.
void ownership_trial::checkTokens(uint32_t Slice, const fencing_token &Token,
                                  const std::string &Host) {
  fencing_token &High = Highest[Slice];
  if (Token < High)
    violation("slice " + std::to_string(Slice) + ": " + Host +
              " dispatches under " + toString(Token) + " after " +
              toString(High));
  High = std::max(High, Token);
}

void ownership_trial::violation(const std::string &What) {
  if (!Result.Violation.empty())
    return;
  Result.Violation = What;
  record("VIOLATION " + What);
}

void ownership_trial::record(const std::string &Line) {
  auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - Begun);
  Log.push_back(std::to_string(Millis.count()) + " " + Line);
}

void ownership_trial::injectFault() {
  size_t Host = Random() % Settings.Hosts;
  size_t Other = Random() % Settings.Hosts;
  bool Alive = Processes[Current.at(Host)].Alive;
  double Kind = draw();
  if (Settings.Faults.Aim == trial_aim::Witnesses && draw() < 0.7)
    Kind = draw() < 0.5 ? 0.1 : 0.5;
  if (Settings.Faults.Aim == trial_aim::Replacements && draw() < 0.8)
    Kind = draw() < 0.6 ? 0.95 : 0.5;
  bool ManyMoves = Settings.Faults.Aim == trial_aim::HandOvers ||
                   Settings.Faults.Aim == trial_aim::LateWrites;
  if (ManyMoves && draw() < 0.8)
    Kind = 0.85;
  if (Kind < 0.2) {
    if (Alive)
      kill(Host);
    schedule(between(20, 4000), [this, Host] {
      if (!Processes[Current.at(Host)].Alive)
        start(Host);
    });
  } else if (Kind < 0.4) {
    pause(Host, between(200, 5000));
  } else if (Kind < 0.55) {
    record("cut " + hostName(Host) + " to " + hostName(Other));
    cut(Host, Other, between(500, 5000));
  } else if (Kind < 0.65) {
    for (size_t To = 0; To < Settings.Hosts; ++To) {
      cut(Host, To, std::chrono::milliseconds(2500));
      if (Kind < 0.6)
        cut(To, Host, std::chrono::milliseconds(2500));
    }
    record("isolate " + hostName(Host));
  } else if (Kind < 0.7) {
    cutDomain(Random() % Domains, between(500, 4000));
  } else if (Kind < 0.77) {
    setOutage(between(500, 8000));
  } else if (Kind < 0.82) {
    ExtraLoss = draw() < 0.5 ? 0 : 0.3 * draw();
  } else if (Kind < 0.92) {
    bool Drain = draw() < 0.6;
    setConfiguration(
        R"({"services":{"s":{"slices":)" + std::to_string(Settings.Slices) +
        "}}" +
        (Drain ? R"(,"hosts":{")" + hostName(Host) + R"(":{"state":"drained"}})"
               : std::string()) +
        "}");
  } else if (Kind < 0.97) {
    // The same name starts elsewhere while the old process is paused.
    if (Alive) {
      pause(Host, between(100, 3000));
      start(Host);
    }
  } else if (Alive) {
    record("backend server of " + hostName(Host) + " lost");
    at(Host).setServices({});
    schedule(between(500, 3000), [this, Host] {
      at(Host).setServices({{Service, 4}});
    });
  }
}

} // namespace dragonflyvane
