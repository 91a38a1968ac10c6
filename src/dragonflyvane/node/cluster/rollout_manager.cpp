#include "dragonflyvane/node/cluster/rollout_manager.hpp"

#include "dragonflyvane/core/rollout/rollout_succession.hpp"
#include "dragonflyvane/core/rollout/version_filter.hpp"
#include "dragonflyvane/net/log.hpp"

#include <cmath>
#include <set>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds TickPeriod{250};
/// A new coordinator waits this long for the reports of all hosts.
constexpr std::chrono::milliseconds CollectionTime{1500};
/// Older reports are ignored.
constexpr std::chrono::milliseconds MaxReportAge{3000};
/// Without a confirmation by the store for this long, no step is taken.
constexpr std::chrono::milliseconds MaxStoreAge{3000};
/// Evidence of this period is also judged alone, to detect a version that has
/// become bad.
constexpr std::chrono::milliseconds RecentSpan{2000};
/// An ended rollout is closed after one of the versions has had no servers for
/// this long. A restart of servers takes less.
constexpr std::chrono::milliseconds ClosingDelay{30'000};

bool isServing(const host_info &Info) {
  return Info.Availability == server_availability::Ready ||
         Info.Availability == server_availability::Leaving;
}

} // namespace

rollout_manager::rollout_manager(dependencies Dependencies)
    : Deps(std::move(Dependencies)) {
  if (Deps.Bounds)
    TickTimer = Deps.Loop.every(TickPeriod, [this] { tick(); });
}

void rollout_manager::onReport(const std::string &Host,
                               const load_report &Report) {
  if (!Deps.Bounds)
    return;
  time_point Now = Deps.Clock.now();
  Reports[Host] = {Now, Report};
  for (const version_outcomes &Outcomes : Report.Outcomes) {
    const known_rollout *Known = Deps.Sync.view().rollout(Outcomes.Service);
    auto Rollout = Rollouts.find(Outcomes.Service);
    if (!Known || Rollout == Rollouts.end() || !Known->Content.isRunning())
      continue;
    bool IsNew = Outcomes.Version == Known->Content.To;
    Rollout->second.Evidence.add(Now, Host, IsNew, {Outcomes});
  }
}

bool rollout_manager::isStoreReachable() const {
  return Deps.OperatorState.confirmationAge(Deps.Clock.now()) < MaxStoreAge;
}

void rollout_manager::tick() {
  if (!Deps.IsActive()) {
    ActiveSince.reset();
    Rollouts.clear();
    return;
  }
  if (!ActiveSince)
    ActiveSince = Deps.Clock.now();
  if (!isStoreReachable())
    return;
  std::set<std::string> Services;
  for (const auto &[Service, Order] : Deps.OperatorState.rollouts())
    Services.insert(Service);
  for (const auto &[Service, Known] : Deps.Sync.view().rollouts())
    Services.insert(Service);
  for (const std::string &Service : Services)
    manage(Service);
}

void rollout_manager::manage(const std::string &Service) {
  if (Rollouts[Service].IsWriteInFlight ||
      !Deps.Sync.view().isReadable(rolloutRow(Service)))
    return;
  const known_rollout *Known = Deps.Sync.view().rollout(Service);
  if (Known && Known->isStoreBehind())
    return write(Service, Known->Content);
  auto Order = Deps.OperatorState.rollouts().find(Service);
  bool IsOrdered = Order != Deps.OperatorState.rollouts().end();
  if (IsOrdered && (!Known || !belongsTo(Known->Content, Order->second)))
    return begin(Order->second, Known);
  if (!Known)
    return;
  // Operators have written the order again in a new era of the store.
  if (IsOrdered && Known->Content.Order != Order->second.RowVersion) {
    rollout_state Reordered = Known->Content;
    Reordered.Order = Order->second.RowVersion;
    return write(Service, Reordered);
  }
  publishStatus(Service, *Known);
  if (!Known->Content.isRunning())
    return closeEnded(Service, *Known);
  if (!IsOrdered)
    return write(Service, rolledBack(Known->Content, "withdrawn"));
  advance(Service, *Known);
}

void rollout_manager::begin(const rollout_order &Order,
                            const known_rollout *Previous) {
  auto Config = Deps.OperatorState.config();
  // An unknown service has no servers; the order waits for the configuration.
  if (!Config || !Config->Services.contains(Order.Service))
    return;
  rollout_state State =
      firstState(Order, Previous ? &Previous->Content : nullptr);
  State.OrderedAt = Deps.Sync.storeTime();
  State.StepAt = State.OrderedAt;
  write(Order.Service, State);
}

void rollout_manager::advance(const std::string &Service,
                              const known_rollout &Known) {
  const rollout_state &State = Known.Content;
  if (Deps.Clock.now() - *ActiveSince < CollectionTime)
    return;
  progress &Progress = Rollouts[Service];
  rollout_situation Situation = situationOf(Service, State);
  if (std::exchange(Progress.Order, State.Order) != State.Order) {
    // What an earlier coordinator has counted, and an estimate of the requests
    // since then.
    double Seconds =
        std::chrono::duration<double>(Situation.Now - State.StepAt).count();
    auto Since = static_cast<uint64_t>(Situation.Rate * std::max(0.0, Seconds));
    Progress.Evidence.clear();
    Progress.TotalBefore = State.Total + Since;
    Progress.ExposedBefore =
        State.Exposed + static_cast<uint64_t>(std::ceil(
                            State.Share * static_cast<double>(Since)));
    return;
  }
  if (auto Next = nextState(State, *Deps.Bounds, Situation))
    write(Service, *Next);
}

void rollout_manager::closeEnded(const std::string &Service,
                                 const known_rollout &Known) {
  if (Known.Content.Outcome == rollout_outcome::Closed)
    return;
  version_filter Versions(Deps.Sync.view(), Deps.OperatorState, Service);
  bool HasBoth = false;
  for (const auto &[Host, Row] : Deps.Sync.view().hosts()) {
    version_use Use = Versions.useOf(Host, Row.Content);
    HasBoth |= Row.Content.Service == Service && isServing(Row.Content) &&
               Use != version_use::Any;
  }
  std::optional<time_point> &Since = Rollouts[Service].SingleVersionSince;
  time_point Now = Deps.Clock.now();
  if (HasBoth)
    return Since.reset();
  if (!Since)
    Since = Now;
  if (Now - *Since < ClosingDelay)
    return;
  rollout_state Closed = Known.Content;
  Closed.Outcome = rollout_outcome::Closed;
  Closed.Barred.clear();
  write(Service, Closed);
}

void rollout_manager::publishStatus(const std::string &Service,
                                    const known_rollout &Known) {
  progress &Progress = Rollouts[Service];
  const rollout_state &State = Known.Content;
  std::pair<std::string, rollout_outcome> Latest{State.To, State.Outcome};
  if (Progress.PublishedStatus == Latest ||
      State.Outcome == rollout_outcome::Closed)
    return;
  store_transaction Transaction;
  Transaction.Conditions = {{rolloutRow(Service), Known.Version}};
  Transaction.Writes = {
      {rolloutStatusRow(Service), Deps.EncodeStatus(State.To, State.Outcome)}};
  Progress.IsWriteInFlight = true;
  Deps.Sync.transact(Transaction,
                     [this, Service, Latest](const transaction_result &Result) {
                       progress &Progress = Rollouts[Service];
                       Progress.IsWriteInFlight = false;
                       if (Result.Outcome == transaction_outcome::Committed)
                         Progress.PublishedStatus = Latest;
                     });
}

void rollout_manager::write(const std::string &Service, rollout_state State) {
  const known_rollout *Known = Deps.Sync.view().rollout(Service);
  bool IsCopy = Known && Known->Content == State;
  if (!IsCopy)
    ++State.Sequence;
  store_transaction Transaction;
  Transaction.Conditions = {{rolloutRow(Service), Known ? Known->Version : 0}};
  Transaction.Writes = {{rolloutRow(Service), encodeRollout(State)}};
  Rollouts[Service].IsWriteInFlight = true;
  Deps.Sync.transact(Transaction, [this, Service,
                                   State](const transaction_result &Result) {
    Rollouts[Service].IsWriteInFlight = false;
    if (Result.Outcome != transaction_outcome::Committed)
      return;
    writeLog(State.Outcome == rollout_outcome::RolledBack ? log_level::Warning
                                                          : log_level::Info,
             "rollout changed",
             {{"step", "rollout"},
              {"service", Service},
              {"to", State.To},
              {"state", formatOutcome(State.Outcome)},
              {"rollout_step", formatStep(State.Step)},
              {"share_percent", std::lround(State.Share * 100)},
              {"servers", State.Canaries.size()},
              {"exposed", State.Exposed},
              {"requests", State.Total},
              {"reason", State.Reason}});
    tick();
  });
}

bool rollout_manager::isKeyed(const std::string &Service) const {
  auto Config = Deps.OperatorState.config();
  if (!Config)
    return false;
  auto Found = Config->Services.find(Service);
  return Found != Config->Services.end() && Found->second.Keyed;
}

const rollout_manager::host_report *
rollout_manager::recentReport(const std::string &Host) const {
  auto Found = Reports.find(Host);
  bool IsRecent = Found != Reports.end() &&
                  Deps.Clock.now() - Found->second.At < MaxReportAge;
  return IsRecent ? &Found->second : nullptr;
}

rollout_situation
rollout_manager::situationOf(const std::string &Service,
                             const rollout_state &State) const {
  const progress &Progress = Rollouts.at(Service);
  time_point Now = Deps.Clock.now();
  rollout_situation Situation;
  Situation.Now = Deps.Sync.storeTime();
  Situation.IsKeyed = isKeyed(Service);
  Situation.All = Progress.Evidence.all();
  Situation.Recent = Progress.Evidence.since(Now - RecentSpan);
  Situation.SinceStep =
      Progress.Evidence.since(Now - (Situation.Now - State.StepAt));
  version_pair Total = Situation.All.total();
  Situation.Exposed = Progress.ExposedBefore + Total.New.Responses;
  Situation.Total =
      Progress.TotalBefore + Total.New.Responses + Total.Old.Responses;
  addServers(Service, State, Situation);
  Situation.HasLeftOld = hasLeftOld(Service, State);
  return Situation;
}

void rollout_manager::addServers(const std::string &Service,
                                 const rollout_state &State,
                                 rollout_situation &Situation) const {
  double ServerRates = 0;
  double Reporting = 0;
  for (const auto &[Host, Row] : Deps.Sync.view().hosts()) {
    const host_info &Info = Row.Content;
    if (Info.Service != Service)
      continue;
    const host_report *Report = recentReport(Host);
    if (Report)
      Situation.Rate += Report->Load.Rate;
    if (Report && Report->Load.ProcessingTime > 0) {
      ServerRates += Info.Slots / Report->Load.ProcessingTime;
      ++Reporting;
    }
    if (Info.Availability != server_availability::Ready ||
        Deps.OperatorState.isEvacuated(Info.FailureDomain))
      continue;
    bool IsNew = Info.Version == State.To;
    (IsNew ? Situation.NewSlots : Situation.OldSlots) += Info.Slots;
    if (IsNew)
      Situation.NewHosts.push_back(Host);
  }
  if (Reporting > 0)
    Situation.ServerRate = ServerRates / Reporting;
}

bool rollout_manager::hasLeftOld(const std::string &Service,
                                 const rollout_state &State) const {
  const cluster_view &View = Deps.Sync.view();
  for (const auto &[Host, Row] : View.hosts()) {
    const host_info &Info = Row.Content;
    if (Info.Service != Service || Info.Version == State.To || !isServing(Info))
      continue;
    const host_report *Report = recentReport(Host);
    bool HasLeft = Report && Report->Load.RolloutSequence >= State.Sequence &&
                   Report->Load.InFlight == 0;
    if (!HasLeft)
      return false;
  }
  const known_map *Map = isKeyed(Service) ? View.map(Service) : nullptr;
  if (!Map)
    return true;
  for (const owned_range &Range : Map->Content.Ranges) {
    const host_info *Owner = View.host(Range.Owner);
    if (!Owner || Owner->Version != State.To)
      return false;
  }
  return true;
}

} // namespace dragonflyvane
