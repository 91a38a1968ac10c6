#include "dragonflyvane/node/steward.hpp"

#include "dragonflyvane/core/cluster/collectors.hpp"
#include "dragonflyvane/net/log.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
constexpr std::chrono::milliseconds LeaseReadPeriod{1000};
/// Changes that come together are planned together.
constexpr std::chrono::milliseconds PlanDelay{10};
/// A steward that has not been heard of for so long is replaced; each weaker
/// host waits a little longer.
constexpr std::chrono::milliseconds OfficeTimeout{2100};
/// While hosts start for the first time, the strongest is to be known.
constexpr std::chrono::milliseconds VacancyTime{1000};
constexpr std::chrono::milliseconds OfficeStep{400};
constexpr size_t LastRank = 10;
/// Before the first map of a service, the number of its backend servers must
/// have stood for so long.
constexpr std::chrono::milliseconds SettleTime{1200};
constexpr std::chrono::milliseconds BalancePeriod{1000};
/// Weight of the newest report of a rate.
constexpr double NewestWeight = 0.6;

/// `HOST=PERCENT` of its slots in use, for each candidate.
std::string describeLoads(const std::vector<candidate> &Candidates,
                          const std::map<std::string, load_report> &Loads) {
  std::string Text;
  for (const candidate &C : Candidates) {
    auto Found = Loads.find(C.Host);
    double Load = Found == Loads.end() ? 0 : Found->second.Utilization;
    Text += C.Host + "=" + std::to_string(std::lround(Load * 100)) + " ";
  }
  return Text;
}

} // namespace

steward::steward(const parts &P) : Parts(P), LastHeard(P.Clock.now()) {
  Tick = Parts.Loop.every(TickPeriod, [this] { tick(); });
  LeaseTick = Parts.Loop.every(LeaseReadPeriod, [this] { readLeases(); });
}

bool steward::isActive() const {
  return Parts.Sync.view().steward().Content == Parts.Host &&
         Parts.Sync.holdsLease();
}

void steward::onClusterChange() {
  row_version Office = Parts.Sync.view().steward().Version;
  if (std::exchange(KnownOffice, Office) != Office)
    LastHeard = Parts.Clock.now();
  if (PlanIsDue)
    return;
  PlanIsDue = true;
  Soon = Parts.Loop.after(PlanDelay, [this] {
    PlanIsDue = false;
    plan();
  });
}

void steward::onReport(const std::string &Host, const load_report &Report) {
  load_report &Known = Loads[Host];
  double Before = Known.Rate;
  Known = Report;
  Known.Rate = Before * (1 - NewestWeight) + Report.Rate * NewestWeight;
}

void steward::tick() {
  considerOffice();
  plan();
}

void steward::considerOffice() {
  const std::string &Holder = Parts.Sync.view().steward().Content;
  time_point Now = Parts.Clock.now();
  if (Holder == Parts.Host) {
    LastHeard = Now;
    return;
  }
  if (!Parts.Sync.holdsLease() || TakingOffice)
    return;
  size_t Rank = std::min(rankOf(Parts.Sync.view(), Parts.Host), LastRank);
  duration Patience = Holder.empty() ? VacancyTime : OfficeTimeout;
  Patience += OfficeStep * Rank;
  if (Now - LastHeard >= Patience)
    takeOffice();
}

void steward::takeOffice() {
  TakingOffice = true;
  const versioned<std::string> &Row = Parts.Sync.view().steward();
  std::string Before = Row.Content;
  store_transaction Transaction;
  Transaction.Conditions.push_back({stewardRow(), Row.Version});
  Transaction.Writes.push_back({stewardRow(), Parts.Host});
  Parts.Sync.transact(Transaction, [this,
                                    Before](const transaction_result &Result) {
    TakingOffice = false;
    LastHeard = Parts.Clock.now();
    if (Result.Outcome != transaction_outcome::Committed)
      return;
    writeLog(log_level::Info, "steward from now on",
             {{"step", "steward"}, {"before", Before}});
    // The pool of the one before ends with its lease at the latest.
    PoolOpens =
        Parts.Clock.now() +
        (Before.empty() ? duration{0} : duration{LeaseLength + LeaseMargin});
    Pool.clear();
    Leases.clear();
    readLeases();
  });
}

double steward::takeTokens(const std::string &Workspace, double Amount,
                           duration &AskAfter) {
  time_point Now = Parts.Clock.now();
  AskAfter = std::chrono::milliseconds(100);
  auto Config = Parts.Orders.config();
  if (!isActive() || !Config)
    return 0;
  Pool.configure(Config->Workspaces, Now);
  return Now < PoolOpens ? 0 : Pool.take(Workspace, Amount, AskAfter, Now);
}

void steward::readLeases() {
  if (!isActive() || ReadingLeases)
    return;
  ReadingLeases = true;
  Parts.Sync.readLeases([this](const read_result &Result) {
    ReadingLeases = false;
    if (Result.Outcome != read_outcome::Answered || !isActive())
      return;
    Leases.observe(Result.Batch, Parts.Sync.isSteady());
    takeOverLapsed();
  });
}

std::vector<candidate> steward::candidatesOf(const std::string &Service) const {
  std::vector<candidate> Candidates;
  for (const auto &[Name, Row] : Parts.Sync.view().hosts()) {
    const host_info &Info = Row.Content;
    bool Usable = Info.Service == Service &&
                  Info.Standing == server_standing::Ready &&
                  Leases.isInOffice(Name) &&
                  !Parts.Orders.isEvacuated(Info.FailureDomain);
    if (Usable)
      Candidates.push_back(
          {Name, Info.Life, static_cast<double>(std::max(1U, Info.Slots))});
  }
  return Candidates;
}

bool steward::isSettled(const std::string &Service,
                        const std::vector<candidate> &Candidates) {
  time_point Now = Parts.Clock.now();
  settling &State = Settling[Service];
  if (State.Candidates != Candidates.size())
    State = {Candidates.size(), Now};
  return Now - State.Since >= SettleTime;
}

void steward::plan() {
  auto Config = Parts.Orders.config();
  if (!isActive() || !Config) {
    WasActive = false;
    return;
  }
  if (!WasActive)
    Pool.configure(Config->Workspaces, Parts.Clock.now());
  WasActive = true;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Keyed)
      planService(Name);
}

void steward::planService(const std::string &Service) {
  std::vector<candidate> Candidates = candidatesOf(Service);
  if (Candidates.empty())
    return;
  bool IsFirst = !Parts.Sync.view().map(Service);
  if (IsFirst && !isSettled(Service, Candidates))
    return;
  time_point Now = Parts.Clock.now();
  bool MayBalance = Now - LastBalance[Service] >= BalancePeriod;
  Parts.Sync.change(
      {Service,
       [this, Candidates, MayBalance, Service](ownership_map &Map,
                                               uint64_t Token) {
         plan_options Options;
         Options.Token = Token;
         bool Changed = assignFree(Map, Candidates, Options);
         Changed |= orderMoves(Map, Candidates);
         if (!MayBalance || Changed)
           return Changed;
         LastBalance[Service] = Parts.Clock.now();
         bool Moves = orderBalance(Map, Candidates, Loads, Options);
         if (Moves)
           writeLog(log_level::Info, "moving keys",
                    {{"step", "steward"},
                     {"service", Service},
                     {"loads", describeLoads(Candidates, Loads)}});
         return Moves;
       },
       {}});
}

bool steward::ownsAnything(const std::string &Host) const {
  for (const auto &[Service, Map] : Parts.Sync.view().maps())
    for (const owned_range &Range : Map.Content.Ranges)
      if (Range.Owner == Host)
        return true;
  return false;
}

void steward::takeOverLapsed() {
  std::set<std::string> Lapsed = Leases.lapsed();
  Lapsed.erase(Parts.Host);
  if (Lapsed.empty())
    return;
  for (const auto &[Service, Map] : Parts.Sync.view().maps())
    planTakeOver(Service, Lapsed);
  removeHosts(Lapsed);
}

void steward::planTakeOver(const std::string &Service,
                           const std::set<std::string> &Lapsed) {
  store_transaction Also;
  std::set<std::string> Owners;
  for (const owned_range &Range :
       Parts.Sync.view().map(Service)->Content.Ranges)
    if (Lapsed.contains(Range.Owner))
      Owners.insert(Range.Owner);
  if (Owners.empty())
    return;
  for (const std::string &Owner : Owners) {
    writeLog(log_level::Warning, "taking over from a lapsed host",
             {{"step", "steward"},
              {"peer", Owner},
              {"service", Service},
              {"lease_version", Leases.versionOf(Owner)}});
    // The row changes, so that a late renewal of the lapsed host fails.
    Also.Conditions.push_back({leaseRow(Owner), Leases.versionOf(Owner)});
    Also.Writes.push_back({leaseRow(Owner), TakenOverLease});
    Leases.onTakeOver(Owner);
  }
  Parts.Sync.change(
      {Service,
       [Owners](ownership_map &Map, uint64_t) { return takeOver(Map, Owners); },
       Also});
}

void steward::removeHosts(const std::set<std::string> &Lapsed) {
  for (const std::string &Host : Lapsed) {
    auto Row = Parts.Sync.view().hosts().find(Host);
    if (Row == Parts.Sync.view().hosts().end() || ownsAnything(Host))
      continue;
    store_transaction Transaction;
    Transaction.Conditions = {{hostRow(Host), Row->second.Version},
                              {leaseRow(Host), Leases.versionOf(Host)}};
    Transaction.Writes = {{hostRow(Host), std::nullopt},
                          {leaseRow(Host), TakenOverLease}};
    Parts.Sync.transact(Transaction, [](const transaction_result &) {});
  }
}

} // namespace dragonflyvane
