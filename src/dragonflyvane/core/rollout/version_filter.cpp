#include "dragonflyvane/core/rollout/version_filter.hpp"

#include "dragonflyvane/core/rollout/rollout_succession.hpp"

namespace dragonflyvane {

version_filter::version_filter(const cluster_view &View,
                               const operator_state &OperatorState,
                               const std::string &Service) {
  if (const known_rollout *Known = View.rollout(Service))
    State = Known->Content;
  auto Order = OperatorState.rollouts().find(Service);
  bool HasNewOrder = Order != OperatorState.rollouts().end() &&
                     (!State || !belongsTo(*State, Order->second));
  if (HasNewOrder)
    State = firstState(Order->second, State ? &*State : nullptr);
  bool IsOver = State && State->Outcome == rollout_outcome::Closed &&
                State->Barred.empty();
  if (IsOver)
    State.reset();
}

version_use version_filter::useOf(const std::string &Host,
                                  const host_info &Info) const {
  if (!State)
    return version_use::Any;
  if (State->Barred.contains(Info.Version))
    return version_use::Barred;
  bool IsNew = Info.Version == State->To;
  switch (State->Outcome) {
  case rollout_outcome::Closed:
    return version_use::Any;
  case rollout_outcome::RolledBack:
    return IsNew ? version_use::Barred : version_use::Any;
  case rollout_outcome::Completed:
    return IsNew ? version_use::Any : version_use::LastResort;
  case rollout_outcome::Running:
    break;
  }
  if (State->Step == rollout_step::All)
    return IsNew ? version_use::Any : version_use::LastResort;
  if (!IsNew)
    return version_use::Rest;
  bool GetsShare = State->Share > 0 && State->Canaries.contains(Host);
  return GetsShare ? version_use::Share : version_use::LastResort;
}

std::vector<std::string> version_filter::select(
    const std::vector<std::pair<std::string, const host_info *>> &Hosts,
    double Draw) const {
  std::vector<std::string> Shared;
  std::vector<std::string> Rest;
  std::vector<std::string> Spare;
  for (const auto &[Host, Info] : Hosts) {
    version_use Use = useOf(Host, *Info);
    if (Use == version_use::Any || Use == version_use::Rest)
      Rest.push_back(Host);
    else if (Use == version_use::Share)
      Shared.push_back(Host);
    else if (Use == version_use::LastResort)
      Spare.push_back(Host);
  }
  if (Rest.empty()) {
    // Without another version there is nothing to spare the chosen servers for.
    Shared.insert(Shared.end(), Spare.begin(), Spare.end());
    return Shared;
  }
  return !Shared.empty() && Draw < share() ? Shared : Rest;
}

bool version_filter::mustLeave(const std::string &Host,
                               const host_info &Info) const {
  version_use Use = useOf(Host, Info);
  return Use == version_use::Barred ||
         (State && State->movesAll() && Use == version_use::LastResort);
}

} // namespace dragonflyvane
