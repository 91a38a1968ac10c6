#include "dragonflyvane/core/admission/nested_calls.hpp"

namespace dragonflyvane {

namespace {

/// How long a caller from another address shows that addresses differ.
constexpr std::chrono::seconds ElsewhereMemory{60};
/// The weight of the newest request in the share of a route.
constexpr double NewestWeight = 0.05;
/// A route with a larger share of requests from other addresses is used by
/// callers, so a request on it is not taken for a nested call.
constexpr double MaxShareOfNestedRoute = 0.5;

} // namespace

bool nested_calls::observe(const call_origin &Origin, time_point Now) {
  if (Origin.IsAnonymous)
    return Origin.IsServerActive;
  if (Origin.HasWorkspaces || Origin.Address.empty() ||
      Origin.ServerAddress.empty())
    return false;
  bool IsElsewhere = Origin.Address != Origin.ServerAddress;
  if (IsElsewhere)
    LastFromElsewhere = Now;
  double Newest = IsElsewhere ? 1 : 0;
  double &Share =
      ShareFromElsewhere.try_emplace(Origin.Route, Newest).first->second;
  Share += (Newest - Share) * NewestWeight;
  bool AddressesDiffer =
      LastFromElsewhere && Now - *LastFromElsewhere < ElsewhereMemory;
  return !IsElsewhere && AddressesDiffer && Origin.IsServerRunning &&
         Share < MaxShareOfNestedRoute;
}

} // namespace dragonflyvane
