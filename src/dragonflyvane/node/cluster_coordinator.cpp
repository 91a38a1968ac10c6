#include "dragonflyvane/node/cluster_coordinator.hpp"

#include "dragonflyvane/core/cluster/store_relays.hpp"
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

cluster_coordinator::cluster_coordinator(const dependencies &P)
    : Deps(P), LastHeard(P.Clock.now()) {
  Tick = Deps.Loop.every(TickPeriod, [this] { tick(); });
  LeaseTick = Deps.Loop.every(LeaseReadPeriod, [this] { readLeases(); });
}

bool cluster_coordinator::isActive() const {
  return Deps.Sync.view().coordinatorHost().Content == Deps.Host &&
         Deps.Sync.holdsLease();
}

void cluster_coordinator::onClusterChange() {
  row_version Office = Deps.Sync.view().coordinatorHost().Version;
  if (std::exchange(KnownOffice, Office) != Office)
    LastHeard = Deps.Clock.now();
  if (PlanIsDue)
    return;
  PlanIsDue = true;
  Soon = Deps.Loop.after(PlanDelay, [this] {
    PlanIsDue = false;
    plan();
  });
}

void cluster_coordinator::onReport(const std::string &Host,
                                   const load_report &Report) {
  load_report &Known = Loads[Host];
  double Before = Known.Rate;
  Known = Report;
  Known.Rate = Before * (1 - NewestWeight) + Report.Rate * NewestWeight;
}

void cluster_coordinator::tick() {
  considerOffice();
  plan();
}

void cluster_coordinator::considerOffice() {
  const std::string &Holder = Deps.Sync.view().coordinatorHost().Content;
  time_point Now = Deps.Clock.now();
  if (Holder == Deps.Host) {
    LastHeard = Now;
    return;
  }
  if (!Deps.Sync.holdsLease() || TakingOffice)
    return;
  size_t Rank = std::min(rankOf(Deps.Sync.view(), Deps.Host), LastRank);
  duration Patience = Holder.empty() ? VacancyTime : OfficeTimeout;
  Patience += OfficeStep * Rank;
  if (Now - LastHeard >= Patience)
    takeOffice();
}

void cluster_coordinator::takeOffice() {
  TakingOffice = true;
  const versioned<std::string> &Row = Deps.Sync.view().coordinatorHost();
  std::string Before = Row.Content;
  store_transaction Transaction;
  Transaction.Conditions.push_back({coordinatorRow(), Row.Version});
  Transaction.Writes.push_back({coordinatorRow(), Deps.Host});
  Deps.Sync.transact(Transaction, [this,
                                   Before](const transaction_result &Result) {
    TakingOffice = false;
    LastHeard = Deps.Clock.now();
    if (Result.Outcome != transaction_outcome::Committed)
      return;
    writeLog(log_level::Info, "steward from now on",
             {{"step", "steward"}, {"before", Before}});
    // The pool of the one before ends with its lease at the latest.
    PoolOpens = Deps.Clock.now() +
                (Before.empty() ? duration{0}
                                : duration{LeaseDuration + LeaseClockMargin});
    Pool.clear();
    Leases.clear();
    readLeases();
  });
}

double cluster_coordinator::takeTokens(const std::string &Workspace,
                                       double Amount,
                                       duration &PoolRetryAfter) {
  time_point Now = Deps.Clock.now();
  PoolRetryAfter = std::chrono::milliseconds(100);
  auto Config = Deps.OperatorState.config();
  if (!isActive() || !Config)
    return 0;
  Pool.configure(Config->Workspaces, Now);
  return Now < PoolOpens ? 0
                         : Pool.take(Workspace, Amount, PoolRetryAfter, Now);
}

void cluster_coordinator::readLeases() {
  if (!isActive() || ReadingLeases)
    return;
  ReadingLeases = true;
  Deps.Sync.readLeases([this](const read_result &Result) {
    ReadingLeases = false;
    if (Result.Outcome != read_outcome::Succeeded || !isActive())
      return;
    Leases.observe(Result.Batch, Deps.Sync.isStoreStable());
    takeOverExpired();
  });
}

std::vector<candidate>
cluster_coordinator::candidatesOf(const std::string &Service) const {
  std::vector<candidate> Candidates;
  for (const auto &[Name, Row] : Deps.Sync.view().hosts()) {
    const host_info &Info = Row.Content;
    bool Usable = Info.Service == Service &&
                  Info.Availability == server_availability::Ready &&
                  Leases.isEligible(Name) &&
                  !Deps.OperatorState.isEvacuated(Info.FailureDomain);
    if (Usable)
      Candidates.push_back({Name, Info.Incarnation,
                            static_cast<double>(std::max(1U, Info.Slots))});
  }
  return Candidates;
}

bool cluster_coordinator::isSettled(const std::string &Service,
                                    const std::vector<candidate> &Candidates) {
  time_point Now = Deps.Clock.now();
  settling &State = Settling[Service];
  if (State.Candidates != Candidates.size())
    State = {Candidates.size(), Now};
  return Now - State.Since >= SettleTime;
}

void cluster_coordinator::plan() {
  auto Config = Deps.OperatorState.config();
  if (!isActive() || !Config) {
    WasActive = false;
    return;
  }
  if (!WasActive)
    Pool.configure(Config->Workspaces, Deps.Clock.now());
  WasActive = true;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Keyed)
      planService(Name);
}

void cluster_coordinator::planService(const std::string &Service) {
  std::vector<candidate> Candidates = candidatesOf(Service);
  if (Candidates.empty())
    return;
  bool IsFirst = !Deps.Sync.view().map(Service);
  if (IsFirst && !isSettled(Service, Candidates))
    return;
  time_point Now = Deps.Clock.now();
  bool MayBalance = Now - LastBalance[Service] >= BalancePeriod;
  Deps.Sync.change({Service,
                    [this, Candidates, MayBalance, Service](ownership_map &Map,
                                                            uint64_t Token) {
                      plan_options Options;
                      Options.Token = Token;
                      bool Changed =
                          assignUnownedRanges(Map, Candidates, Options);
                      Changed |= planMoves(Map, Candidates);
                      if (!MayBalance || Changed)
                        return Changed;
                      LastBalance[Service] = Deps.Clock.now();
                      bool Moves =
                          planRebalance(Map, Candidates, Loads, Options);
                      if (Moves)
                        writeLog(log_level::Info, "moving keys",
                                 {{"step", "steward"},
                                  {"service", Service},
                                  {"loads", describeLoads(Candidates, Loads)}});
                      return Moves;
                    },
                    {}});
}

bool cluster_coordinator::ownsAnything(const std::string &Host) const {
  for (const auto &[Service, Map] : Deps.Sync.view().maps())
    for (const owned_range &Range : Map.Content.Ranges)
      if (Range.Owner == Host)
        return true;
  return false;
}

void cluster_coordinator::takeOverExpired() {
  std::set<std::string> Expired = Leases.expired();
  Expired.erase(Deps.Host);
  if (Expired.empty())
    return;
  for (const auto &[Service, Map] : Deps.Sync.view().maps())
    planTakeOver(Service, Expired);
  removeHosts(Expired);
}

void cluster_coordinator::planTakeOver(const std::string &Service,
                                       const std::set<std::string> &Expired) {
  store_transaction Also;
  std::set<std::string> Owners;
  for (const owned_range &Range : Deps.Sync.view().map(Service)->Content.Ranges)
    if (Expired.contains(Range.Owner))
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
    Also.Writes.push_back({leaseRow(Owner), TakeoverMarker});
    Leases.onTakeover(Owner);
  }
  Deps.Sync.change({Service,
                    [Owners](ownership_map &Map, uint64_t) {
                      return unassignRanges(Map, Owners);
                    },
                    Also});
}

void cluster_coordinator::removeHosts(const std::set<std::string> &Expired) {
  for (const std::string &Host : Expired) {
    auto Row = Deps.Sync.view().hosts().find(Host);
    if (Row == Deps.Sync.view().hosts().end() || ownsAnything(Host))
      continue;
    store_transaction Transaction;
    Transaction.Conditions = {{hostRow(Host), Row->second.Version},
                              {leaseRow(Host), Leases.versionOf(Host)}};
    Transaction.Writes = {{hostRow(Host), std::nullopt},
                          {leaseRow(Host), TakeoverMarker}};
    Deps.Sync.transact(Transaction, [](const transaction_result &) {});
  }
}

} // namespace dragonflyvane
