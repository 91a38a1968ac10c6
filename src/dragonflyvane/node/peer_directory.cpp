#include "dragonflyvane/node/peer_directory.hpp"

#include <algorithm>
#include <vector>

namespace dragonflyvane {

namespace {

/// How long a host that could not be reached is left alone.
constexpr std::chrono::milliseconds SuspectTime{400};
/// A reported load older than this says nothing any more.
constexpr std::chrono::milliseconds LoadLife{600};
constexpr double UnknownWorkMs = 50;
/// What a host of another failure domain must be better by.
constexpr double FarPenaltyMs = 4;

} // namespace

void peer_directory::onEnded(const std::string &Host, const door_load &Load) {
  state &State = Hosts[Host];
  if (State.Outstanding > 0)
    --State.Outstanding;
  if (Load.Slots == 0)
    return;
  State.Load = Load;
  State.LoadAt = Clock.now();
  State.SuspectUntil = {};
}

void peer_directory::onUnreachable(const std::string &Host) {
  Hosts[Host].SuspectUntil = Clock.now() + SuspectTime;
}

bool peer_directory::isSuspect(const std::string &Host) const {
  auto Found = Hosts.find(Host);
  return Found != Hosts.end() && Clock.now() < Found->second.SuspectUntil;
}

double peer_directory::expectedTime(const std::string &Host) const {
  const host_info *Info = View.host(Host);
  double Far = Info && Info->FailureDomain != FailureDomain ? FarPenaltyMs : 0;
  double Slots = Info ? std::max(1U, Info->Slots) : 1;
  auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return UnknownWorkMs + Far;
  const state &State = Found->second;
  double WorkMs = State.Load.Work.count() > 0
                      ? static_cast<double>(State.Load.Work.count())
                      : UnknownWorkMs;
  bool Fresh = Clock.now() - State.LoadAt < LoadLife;
  double Busy =
      std::max<double>(Fresh ? State.Load.Busy : 0, State.Outstanding);
  double Waiting = std::max(0.0, Busy + 1 - Slots);
  // A little for each busy slot, so that equal hosts share the work.
  return WorkMs * (1 + Waiting / Slots + 0.3 * Busy / Slots) + Far;
}

std::optional<std::string>
peer_directory::pick(const std::string &Service,
                     const std::set<std::string> &Tried) {
  std::vector<std::string> Good;
  std::vector<std::string> Poor;
  for (const auto &[Name, Row] : View.hosts()) {
    const host_info &Info = Row.Content;
    bool Usable = Info.Service == Service &&
                  Info.Standing == server_standing::Ready &&
                  !Orders.isEvacuated(Info.FailureDomain);
    if (Usable)
      (Tried.contains(Name) || isSuspect(Name) ? Poor : Good).push_back(Name);
  }
  std::vector<std::string> &From = Good.empty() ? Poor : Good;
  if (From.empty())
    return std::nullopt;
  std::shuffle(From.begin(), From.end(), Random);
  if (From.size() > 1 && expectedTime(From[1]) < expectedTime(From[0]))
    return From[1];
  return From[0];
}

} // namespace dragonflyvane
