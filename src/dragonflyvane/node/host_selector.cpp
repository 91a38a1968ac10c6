#include "dragonflyvane/node/host_selector.hpp"

#include <algorithm>
#include <vector>

namespace dragonflyvane {

namespace {

/// How long a host that could not be reached is left alone.
constexpr std::chrono::milliseconds SuspectTime{400};
/// A reported load older than this says nothing any more.
constexpr std::chrono::milliseconds MaxLoadAge{600};
constexpr double UnknownWorkMs = 50;
/// What another host must be better by, and one of another failure domain.
constexpr double HopMs = 2;
constexpr double FarPenaltyMs = 4;
/// The same for large answers, which cost bytes on both links.
constexpr size_t LargeAnswer = size_t{16} << 10;
constexpr double LargeHopMs = 20;
constexpr double LargeFarPenaltyMs = 150;
constexpr size_t RandomChoices = 2;

} // namespace

void host_selector::onEnded(const std::string &Host,
                            const dispatcher_load &Load) {
  state &State = Hosts[Host];
  if (State.Outstanding > 0)
    --State.Outstanding;
  if (Load.Slots == 0)
    return;
  State.Load = Load;
  State.LoadAt = Clock.now();
  State.SuspectUntil = {};
}

void host_selector::onUnreachable(const std::string &Host) {
  Hosts[Host].SuspectUntil = Clock.now() + SuspectTime;
}

bool host_selector::isSuspect(const std::string &Host) const {
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Clock.now() < Found->second.SuspectUntil;
}

bool host_selector::isNear(const std::string &Name) const {
  const host_info *Info = View.host(Name);
  return Info && Info->FailureDomain == FailureDomain;
}

double host_selector::expectedTime(const std::string &Name,
                                   size_t Bytes) const {
  const host_info *Info = View.host(Name);
  double Slots = Info ? std::max(1U, Info->Slots) : 1;
  bool IsLarge = Bytes >= LargeAnswer;
  double Way = IsLarge ? LargeHopMs : HopMs;
  if (Name == Host)
    Way = 0;
  else if (!isNear(Name))
    Way = IsLarge ? LargeFarPenaltyMs : FarPenaltyMs;
  auto Found = Hosts.find(Name);
  if (Found == Hosts.end())
    return UnknownWorkMs + Way;
  const state &State = Found->second;
  double WorkMs = State.Load.Work.count() > 0
                      ? static_cast<double>(State.Load.Work.count())
                      : UnknownWorkMs;
  bool Fresh = Clock.now() - State.LoadAt < MaxLoadAge;
  double Busy =
      std::max<double>(Fresh ? State.Load.Busy : 0, State.Outstanding);
  double Waiting = std::max(0.0, Busy + 1 - Slots);
  if (IsLarge && Fresh)
    Way += static_cast<double>(State.Load.LinkDelay.count());
  // A little for each busy slot, so that equal hosts share the work.
  return WorkMs * (1 + Waiting / Slots + 0.3 * Busy / Slots) + Way;
}

std::optional<std::string>
host_selector::pick(const std::string &Service, size_t Bytes,
                    const std::set<std::string> &Tried) {
  std::vector<std::string> Good;
  std::vector<std::string> Poor;
  for (const auto &[Name, Row] : View.hosts()) {
    const host_info &Info = Row.Content;
    bool Usable = Info.Service == Service &&
                  Info.Availability == server_availability::Ready &&
                  !OperatorState.isEvacuated(Info.FailureDomain);
    if (Usable)
      (Tried.contains(Name) || isSuspect(Name) ? Poor : Good).push_back(Name);
  }
  std::vector<std::string> &From = Good.empty() ? Poor : Good;
  if (From.empty())
    return std::nullopt;
  std::shuffle(From.begin(), From.end(), Random);
  const std::string *Best = nullptr;
  double BestTime = 0;
  for (size_t I = 0; I < From.size(); ++I) {
    bool IsChoice = I < RandomChoices || From[I] == Host ||
                    (Bytes >= LargeAnswer && isNear(From[I]));
    if (!IsChoice)
      continue;
    double Time = expectedTime(From[I], Bytes);
    if (Best && Time >= BestTime)
      continue;
    Best = &From[I];
    BestTime = Time;
  }
  return *Best;
}

} // namespace dragonflyvane
