/// A rollout, the staged move of a service to servers of another version: what
/// the operators order, and how far it has come.
#ifndef DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_ORDER_HPP
#define DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_ORDER_HPP

#include "dragonflyvane/core/store.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace dragonflyvane {

/// The order of the operators to move the traffic of a service.
struct rollout_order {
  std::string Service;
  /// The version to move to.
  std::string To;
  /// Time from the order to its deadline.
  std::chrono::milliseconds Duration{0};
  /// The version of the operators' row, which identifies the order.
  row_version RowVersion = 0;

  bool operator==(const rollout_order &) const = default;
};

/// How a rollout stands.
enum class rollout_outcome {
  Running,
  /// All traffic goes to the new version, and its old servers may stop.
  Completed,
  /// No traffic goes to the new version.
  RolledBack,
  /// Ended, and only one of the versions still has servers.
  Closed,
};

/// The steps of a running rollout.
enum class rollout_step {
  /// No traffic goes to the new version yet.
  Waiting,
  /// A very small share goes to one new server.
  Probe,
  /// A small share goes to few new servers.
  Canary,
  /// The small share keeps a new server nearly full.
  Load,
  /// All traffic goes to the new version.
  All,
};

/// The state of the rollout of one service, as all hosts route by it.
struct rollout_state {
  /// The version of the operators' row that the state belongs to.
  row_version Order = 0;
  /// Rises with each change, over all eras of the store.
  uint64_t Sequence = 0;
  std::string To;
  rollout_outcome Outcome = rollout_outcome::Running;
  rollout_step Step = rollout_step::Waiting;
  /// The share of the service's requests that goes to the new version.
  double Share = 0;
  /// The hosts of new servers that get the share before the step `All`.
  std::set<std::string> Canaries;
  /// Versions that get no requests, because they were rolled back or their
  /// order was replaced before its end.
  std::set<std::string> Barred;
  /// When the order was first seen, and when the step began, in milliseconds by
  /// the clock of the store.
  std::chrono::milliseconds OrderedAt{0};
  std::chrono::milliseconds StepAt{0};
  std::chrono::milliseconds Duration{0};
  /// Requests of the service that had reached the new version, and all, when
  /// the step began.
  uint64_t Exposed = 0;
  uint64_t Total = 0;
  /// Why the last change was made, for operators.
  std::string Reason;

  bool isRunning() const { return Outcome == rollout_outcome::Running; }
  /// Whether all traffic has to leave the other versions.
  bool movesAll() const {
    return Outcome == rollout_outcome::Completed ||
           (isRunning() && Step == rollout_step::All);
  }

  bool operator==(const rollout_state &) const = default;
};

/// Returns the word for an outcome that operators read.
std::string formatOutcome(rollout_outcome Outcome);
/// Returns the word for a step, for logs and metrics.
std::string formatStep(rollout_step Step);

/// Encodes the row in which operators read how a rollout stands.
using rollout_status_encoder =
    std::function<std::string(const std::string &To, rollout_outcome)>;

/// Encodes a state as JSON for its row.
std::string encodeRollout(const rollout_state &State);
/// Decodes the row of a state. Throws `step_error` if a field is missing, of
/// another type or out of range.
rollout_state decodeRollout(const std::string &Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ROLLOUT_ROLLOUT_ORDER_HPP
