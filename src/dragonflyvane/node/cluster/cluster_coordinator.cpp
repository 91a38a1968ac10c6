#include "dragonflyvane/node/cluster/cluster_coordinator.hpp"

#include "dragonflyvane/core/cluster/store_relays.hpp"
#include "dragonflyvane/core/rollout/key_placement.hpp"
#include "dragonflyvane/net/log.hpp"

#include <cmath>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
constexpr std::chrono::milliseconds LeaseReadPeriod{1000};
/// Changes that arrive within this time are planned together.
constexpr std::chrono::milliseconds PlanDelay{10};
/// A coordinator that has not responded to reports for this long is replaced.
constexpr std::chrono::milliseconds CoordinatorTimeout{2100};
/// Timeout while no coordinator has been elected yet: it lets the hosts of a
/// new cluster publish their rows, so that the one with the largest CPU share
/// is known.
constexpr std::chrono::milliseconds VacancyTimeout{1000};
/// Added to the timeout for each host with a larger CPU share, so that the
/// available host with the largest share claims the role first.
constexpr std::chrono::milliseconds ElectionDelayPerRank{400};
/// Higher ranks do not lengthen the timeout further, to limit it in large
/// clusters.
constexpr size_t MaxElectionRank = 10;
/// The first map of a service is planned once the number of its candidates has
/// been constant for this long.
constexpr std::chrono::milliseconds StabilizationWindow{1200};
constexpr std::chrono::milliseconds BalancePeriod{1000};
/// Weight of the newest report in the moving average of a host's request rate.
constexpr double RateEwmaWeight = 0.6;

/// Returns `HOST=PERCENT` for each candidate, the percentage of its slots in
/// use, for the log.
std::string describeLoads(const std::vector<candidate> &Candidates,
                          const std::map<std::string, load_report> &Loads) {
  std::string Text;
  for (const candidate &Candidate : Candidates) {
    auto Found = Loads.find(Candidate.Host);
    double Load = Found == Loads.end() ? 0 : Found->second.Utilization;
    Text +=
        Candidate.Host + "=" + std::to_string(std::lround(Load * 100)) + " ";
  }
  return Text;
}

} // namespace

cluster_coordinator::cluster_coordinator(const dependencies &Dependencies)
    : Deps(Dependencies),
      Takeover({Dependencies.Host, Dependencies.Sync, Leases}),
      LastContactAt(Dependencies.Clock.now()) {
  TickTimer = Deps.Loop.every(TickPeriod, [this] { tick(); });
  LeaseReadTimer = Deps.Loop.every(LeaseReadPeriod, [this] { readLeases(); });
}

bool cluster_coordinator::isActive() const {
  return Deps.Sync.view().coordinatorHost().Content == Deps.Host &&
         Deps.Sync.holdsLease();
}

void cluster_coordinator::onClusterChange() {
  row_version RoleVersion = Deps.Sync.view().coordinatorHost().Version;
  if (std::exchange(KnownRoleVersion, RoleVersion) != RoleVersion)
    LastContactAt = Deps.Clock.now();
  if (IsPlanScheduled)
    return;
  IsPlanScheduled = true;
  PlanTimer = Deps.Loop.after(PlanDelay, [this] {
    IsPlanScheduled = false;
    plan();
  });
}

void cluster_coordinator::onReport(const std::string &Host,
                                   const load_report &Report) {
  load_report &Smoothed = Loads[Host];
  double PreviousRate = Smoothed.Rate;
  Smoothed = Report;
  Smoothed.Rate =
      PreviousRate * (1 - RateEwmaWeight) + Report.Rate * RateEwmaWeight;
}

void cluster_coordinator::tick() {
  considerElection();
  plan();
}

void cluster_coordinator::considerElection() {
  const std::string &Holder = Deps.Sync.view().coordinatorHost().Content;
  time_point Now = Deps.Clock.now();
  if (Holder == Deps.Host) {
    LastContactAt = Now;
    return;
  }
  // A coordinator confirms reports only while it holds its lease. A host that
  // has none may miss that for the same reason.
  if (!Deps.Sync.holdsLease() && !Holder.empty())
    LastContactAt = Now;
  if (!Deps.Sync.holdsLease() || IsClaimInFlight)
    return;
  size_t Rank =
      std::min(hostRank(Deps.Sync.view(), Deps.Host), MaxElectionRank);
  duration Timeout = Holder.empty() ? VacancyTimeout : CoordinatorTimeout;
  Timeout += ElectionDelayPerRank * Rank;
  if (Now - LastContactAt >= Timeout)
    claimRole();
}

void cluster_coordinator::claimRole() {
  IsClaimInFlight = true;
  const versioned<std::string> &Row = Deps.Sync.view().coordinatorHost();
  std::string Previous = Row.Content;
  store_transaction Transaction;
  Transaction.Conditions.push_back({coordinatorRow(), Row.Version});
  Transaction.Writes.push_back({coordinatorRow(), Deps.Host});
  Deps.Sync.transact(Transaction, [this,
                                   Previous](const transaction_result &Result) {
    IsClaimInFlight = false;
    LastContactAt = Deps.Clock.now();
    if (Result.Outcome != transaction_outcome::Committed)
      return;
    writeLog(log_level::Info, "coordinator role acquired",
             {{"step", "steward"}, {"before", Previous}});
    // The previous coordinator may grant tokens until its lease has expired.
    PoolAvailableAt =
        Deps.Clock.now() + (Previous.empty()
                                ? duration{0}
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
  return Now < PoolAvailableAt
             ? 0
             : Pool.take(Workspace, Amount, PoolRetryAfter, Now);
}

void cluster_coordinator::readLeases() {
  if (!isActive() || IsLeaseReadInFlight)
    return;
  IsLeaseReadInFlight = true;
  Deps.Sync.readLeases([this](const read_result &Result) {
    IsLeaseReadInFlight = false;
    if (Result.Outcome != read_outcome::Succeeded || !isActive())
      return;
    Leases.observe(Result.Batch, Deps.Sync.view().knownHosts(),
                   Deps.Sync.isStoreStable());
    Takeover.onLeasesObserved();
  });
}

bool cluster_coordinator::mayOwnRanges(const host_info &Info,
                                       const std::string &Service) const {
  return Info.Service == Service &&
         Info.Availability == server_availability::Ready &&
         !Deps.OperatorState.isEvacuated(Info.FailureDomain);
}

std::vector<candidate>
cluster_coordinator::candidatesOf(const std::string &Service) const {
  std::vector<candidate> Candidates;
  for (const auto &[Name, Row] : Deps.Sync.view().hosts()) {
    const host_info &Info = Row.Content;
    if (mayOwnRanges(Info, Service) && Leases.isEligible(Name))
      Candidates.push_back({Name, Info.Incarnation,
                            static_cast<double>(std::max(1U, Info.Slots))});
  }
  return Candidates;
}

std::set<std::string>
cluster_coordinator::unleasedHosts(const std::string &Service) const {
  std::set<std::string> Hosts;
  for (const auto &[Name, Row] : Deps.Sync.view().hosts())
    if (mayOwnRanges(Row.Content, Service) && !Leases.isEligible(Name))
      Hosts.insert(Name);
  return Hosts;
}

bool cluster_coordinator::isCandidateCountStable(
    const std::string &Service, const std::vector<candidate> &Candidates) {
  time_point Now = Deps.Clock.now();
  candidate_count &State = CandidateCounts[Service];
  if (State.Count != Candidates.size())
    State = {Candidates.size(), Now};
  return Now - State.Since >= StabilizationWindow;
}

void cluster_coordinator::plan() {
  auto Config = Deps.OperatorState.config();
  if (!isActive() || !Config) {
    WasActive = false;
    return;
  }
  // The buckets of a new coordinator fill from now on, not only from the first
  // request for tokens.
  if (!WasActive) {
    // Another host may have handed out the tokens that have come in meanwhile.
    row_version RoleVersion = Deps.Sync.view().coordinatorHost().Version;
    if (std::exchange(PoolRoleVersion, RoleVersion) != RoleVersion)
      Pool.clear();
    Pool.configure(Config->Workspaces, Deps.Clock.now());
  }
  WasActive = true;
  Takeover.takeOverRanges();
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Keyed)
      planService(Name);
}

void cluster_coordinator::planService(const std::string &Service) {
  version_filter Versions(Deps.Sync.view(), Deps.OperatorState, Service);
  key_placement Placement =
      placeKeys(Versions, Deps.Sync.view(), candidatesOf(Service));
  const std::vector<candidate> &Candidates = Placement.Owners;
  if (Candidates.empty())
    return;
  bool IsFirst = !Deps.Sync.view().map(Service);
  if (IsFirst && !isCandidateCountStable(Service, Candidates))
    return;
  Deps.Sync.maps().settle(Service, Leases);
  time_point Now = Deps.Clock.now();
  bool MayBalance = Now - LastBalance[Service] >= BalancePeriod;
  Deps.Sync.maps().update(
      {Service, [this, Placement, MayBalance, Service](ownership_map &Map,
                                                       uint64_t Token) {
         const std::vector<candidate> &Candidates = Placement.Owners;
         plan_options Options;
         Options.Token = Token;
         bool Changed = assignUnownedRanges(Map, Candidates, Options);
         Changed |= renewIncarnations(Map, Candidates, Options);
         Changed |= planMoves(Map, Candidates, unleasedHosts(Service));
         Changed |= planShare(Map, Placement);
         if (!MayBalance || Changed)
           return Changed;
         LastBalance[Service] = Deps.Clock.now();
         bool HasMoves = planRebalance(Map, Placement.Balanced, Loads, Options);
         if (HasMoves)
           writeLog(log_level::Info, "moving ranges to balance load",
                    {{"step", "steward"},
                     {"service", Service},
                     {"loads", describeLoads(Candidates, Loads)}});
         return HasMoves;
       }});
}

} // namespace dragonflyvane
