/// Decides when a rollout takes its next step, is completed or is rolled back.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_POLICY_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_POLICY_HPP

#include "dragonflyvane/core/rollout/rollout_bounds.hpp"
#include "dragonflyvane/core/rollout/rollout_evidence.hpp"
#include "dragonflyvane/core/rollout/rollout_order.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace dragonflyvane {

/// What a decision about a running rollout depends on.
struct rollout_situation {
  /// The current time by the clock of the store.
  std::chrono::milliseconds Now{0};
  /// Whether the keys of the service have owners, which takes time to change.
  bool IsKeyed = false;
  /// The ready hosts with servers of the new version, in a fixed order.
  std::vector<std::string> NewHosts;
  /// The slots of all ready servers of the new version and of the others.
  double NewSlots = 0;
  double OldSlots = 0;
  /// Requests per second of the service at all hosts.
  double Rate = 0;
  /// Requests per second that keep an average server fully busy; 0 if unknown.
  double ServerRate = 0;
  /// Requests that have reached the new version since the order, and all.
  uint64_t Exposed = 0;
  uint64_t Total = 0;
  /// Everything that was reported, what was reported in the last seconds, and
  /// what was reported since the step began.
  rollout_sample All;
  rollout_sample Recent;
  rollout_sample SinceStep;
  /// Whether no request is in flight to servers of other versions, and none of
  /// them owns keys.
  bool HasLeftOld = false;
};

/// Returns the next state of a running rollout; nothing if it stays as it is.
/// The caller sets the sequence number.
std::optional<rollout_state> nextState(const rollout_state &State,
                                       const rollout_bounds &Bounds,
                                       const rollout_situation &Situation);

/// Returns the state of a running rollout that is rolled back.
rollout_state rolledBack(const rollout_state &State, const std::string &Reason);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_POLICY_HPP
