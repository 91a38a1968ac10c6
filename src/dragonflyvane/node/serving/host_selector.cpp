#include "dragonflyvane/node/serving/host_selector.hpp"

#include "dragonflyvane/core/rollout/version_filter.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace dragonflyvane {

namespace {

/// Time during which an unreachable host is avoided.
constexpr std::chrono::milliseconds UnreachableBackoff{400};
/// The busy slots and the delays of older load reports are ignored.
constexpr std::chrono::milliseconds MaxLoadAge{600};
/// Assumed processing time of a request while no host of the service has
/// reported it.
constexpr double DefaultProcessingTimeMs = 50;
/// The weight of the newest report in the processing time of a service.
constexpr double NewestWeight = 0.05;
/// Bounds of a reported speed, which may be based on few hosts of the service.
constexpr double MinSpeed = 0.2;
constexpr double MaxSpeed = 5;
/// Without news of a host, half of the difference of its speed from the usual
/// one (as a ratio) is forgotten in this time. Otherwise a server that was slow
/// and gets no requests would never show that it has recovered.
constexpr std::chrono::duration<double> SpeedHalfLife{3.0};
/// Added to the expected time of other hosts of the local failure domain and of
/// hosts of other failure domains. Such a host is preferred to this host only
/// if it is faster by this much.
constexpr double LocalDomainPenaltyMs = 2;
constexpr double CrossDomainPenaltyMs = 4;
/// Messages of at least this size are large.
constexpr size_t LargeMessageBytes = size_t{16} << 10;
/// The penalties for large responses, which use the links of both hosts.
constexpr double LargeLocalDomainPenaltyMs = 20;
constexpr double LargeCrossDomainPenaltyMs = 150;
/// Half of the delay that a host reported for its incoming link is forgotten in
/// this time.
constexpr std::chrono::duration<double> IncomingDelayHalfLife{1.0};
/// Number of random hosts that are compared ("power of two choices").
constexpr size_t RandomChoices = 2;

} // namespace

void host_selector::onFinished(const std::string &Host,
                               const dispatcher_load &Load) {
  state &State = Hosts[Host];
  if (State.Outstanding > 0)
    --State.Outstanding;
  if (Load.Slots == 0)
    return;
  State.Load = Load;
  State.LoadAt = Clock.now();
  State.BackoffUntil = {};
  observeServiceTime(Host, Load);
}

void host_selector::observeServiceTime(const std::string &Host,
                                       const dispatcher_load &Load) {
  const host_info *Info = View.host(Host);
  if (!Info || Load.ProcessingTime.count() <= 0)
    return;
  double Speed = std::clamp(Load.Speed.value_or(1), MinSpeed, MaxSpeed);
  double Time = static_cast<double>(Load.ProcessingTime.count()) * Speed;
  auto [Entry, IsNew] = ServiceTimes.try_emplace(Info->Service, Time);
  if (!IsNew)
    Entry->second += (Time - Entry->second) * NewestWeight;
}

double host_selector::serviceTime(const std::string &Service) const {
  auto Found = ServiceTimes.find(Service);
  return Found == ServiceTimes.end() ? DefaultProcessingTimeMs : Found->second;
}

double host_selector::processingTime(const std::string &Service,
                                     const state &State) const {
  double ServiceTime = serviceTime(Service);
  if (State.Load.ProcessingTime.count() <= 0)
    return ServiceTime;
  if (!State.Load.Speed)
    return static_cast<double>(State.Load.ProcessingTime.count());
  double Speed = std::clamp(*State.Load.Speed, MinSpeed, MaxSpeed);
  std::chrono::duration<double> Age = Clock.now() - State.LoadAt;
  return ServiceTime / std::pow(Speed, std::exp2(-Age / SpeedHalfLife));
}

void host_selector::onUnreachable(const std::string &Host) {
  Hosts[Host].BackoffUntil = Clock.now() + UnreachableBackoff;
}

bool host_selector::isInBackoff(const std::string &Host) const {
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Clock.now() < Found->second.BackoffUntil;
}

bool host_selector::isInLocalDomain(const std::string &Name) const {
  const host_info *Info = View.host(Name);
  return Info && Info->FailureDomain == LocalFailureDomain;
}

double host_selector::expectedTime(const std::string &Name,
                                   const message_sizes &Sizes) const {
  const host_info *Info = View.host(Name);
  bool IsLarge = Sizes.Response >= LargeMessageBytes;
  double PenaltyMs = IsLarge ? LargeLocalDomainPenaltyMs : LocalDomainPenaltyMs;
  if (Name == LocalHost)
    PenaltyMs = 0;
  else if (!isInLocalDomain(Name))
    PenaltyMs = IsLarge ? LargeCrossDomainPenaltyMs : CrossDomainPenaltyMs;
  auto Found = Hosts.find(Name);
  if (!Info || Found == Hosts.end())
    return (Info ? serviceTime(Info->Service) : DefaultProcessingTimeMs) +
           PenaltyMs;
  const state &State = Found->second;
  double ProcessingTimeMs = processingTime(Info->Service, State);
  double Slots = std::max(1U, Info->Slots);
  if (State.Load.Slots > 0)
    Slots = std::min<double>(Slots, State.Load.Slots);
  bool IsFresh = Clock.now() - State.LoadAt < MaxLoadAge;
  double Busy =
      std::max<double>(IsFresh ? State.Load.Busy : 0, State.Outstanding);
  double Waiting = std::max(0.0, Busy + 1 - Slots);
  if (IsLarge && IsFresh)
    PenaltyMs += static_cast<double>(State.Load.LinkDelay.count());
  if (IsFresh)
    PenaltyMs += static_cast<double>(State.Load.TokenDelay.count());
  if (Sizes.Request >= LargeMessageBytes && Name != LocalHost)
    PenaltyMs += incomingDelay(State);
  // The term for busy slots spreads requests over hosts without a queue.
  return ProcessingTimeMs * (1 + Waiting / Slots + 0.3 * Busy / Slots) +
         PenaltyMs;
}

double host_selector::incomingDelay(const state &State) const {
  std::chrono::duration<double> Age = Clock.now() - State.LoadAt;
  return static_cast<double>(State.Load.IncomingDelay.count()) *
         std::exp2(-Age / IncomingDelayHalfLife);
}

std::optional<std::string>
host_selector::pick(const std::string &Service, const message_sizes &Sizes,
                    const std::set<std::string> &TriedHosts) {
  std::vector<std::pair<std::string, const host_info *>> Usable;
  for (const auto &[Name, Row] : View.hosts()) {
    const host_info &Info = Row.Content;
    bool IsUsable = Info.Service == Service &&
                    Info.Availability == server_availability::Ready &&
                    !OperatorState.isEvacuated(Info.FailureDomain);
    if (IsUsable)
      Usable.emplace_back(Name, &Info);
  }
  // A request that failed at one version is not sent to the new one again.
  double Draw = TriedHosts.empty()
                    ? std::uniform_real_distribution<double>(0, 1)(Random)
                    : 1;
  version_filter Versions(View, OperatorState, Service);
  std::vector<std::string> Preferred;
  std::vector<std::string> Fallback;
  for (const std::string &Name : Versions.select(Usable, Draw))
    (TriedHosts.contains(Name) || isInBackoff(Name) ? Fallback : Preferred)
        .push_back(Name);
  std::vector<std::string> &Candidates =
      Preferred.empty() ? Fallback : Preferred;
  if (Candidates.empty())
    return std::nullopt;
  std::shuffle(Candidates.begin(), Candidates.end(), Random);
  const std::string *Best = nullptr;
  double BestTime = 0;
  for (size_t I = 0; I < Candidates.size(); ++I) {
    bool IsCompared =
        I < RandomChoices || Candidates[I] == LocalHost ||
        (Sizes.Response >= LargeMessageBytes && isInLocalDomain(Candidates[I]));
    if (!IsCompared)
      continue;
    double Time = expectedTime(Candidates[I], Sizes);
    if (Best && Time >= BestTime)
      continue;
    Best = &Candidates[I];
    BestTime = Time;
  }
  return *Best;
}

} // namespace dragonflyvane
