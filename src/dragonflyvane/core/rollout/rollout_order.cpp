#include "dragonflyvane/core/rollout/rollout_order.hpp"

#include "dragonflyvane/core/error.hpp"
#include "dragonflyvane/core/json_fields.hpp"

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Far beyond any clock, and small enough to calculate with.
constexpr int64_t MaxTimeMs = int64_t{1} << 52;

std::chrono::milliseconds timeField(const json &Json, const char *Field) {
  return std::chrono::milliseconds(
      requireInteger<int64_t>(Json, Field, 0, MaxTimeMs));
}

std::set<std::string> textsIn(const json &Json, const char *Field) {
  std::set<std::string> Texts;
  for (const json &Entry : requireList(Json, Field))
    Texts.insert(Entry.get<std::string>());
  return Texts;
}

rollout_state decodeFields(const json &Json) {
  rollout_state State;
  State.Order = requireInteger<row_version>(Json, "order");
  State.Sequence = requireInteger<uint64_t>(Json, "sequence");
  State.To = requireText(Json, "to");
  State.Outcome = static_cast<rollout_outcome>(requireInteger<int>(
      Json, "outcome", 0, static_cast<int>(rollout_outcome::Closed)));
  State.Step = static_cast<rollout_step>(requireInteger<int>(
      Json, "step", 0, static_cast<int>(rollout_step::All)));
  State.Share = requireNumber(Json, "share", 1);
  State.Canaries = textsIn(Json, "canaries");
  State.Barred = textsIn(Json, "barred");
  State.OrderedAt = timeField(Json, "ordered_at");
  State.StepAt = timeField(Json, "step_at");
  State.Duration = timeField(Json, "duration");
  State.Exposed = requireInteger<uint64_t>(Json, "exposed");
  State.Total = requireInteger<uint64_t>(Json, "total");
  State.Reason = requireField(Json, "reason").get<std::string>();
  return State;
}

} // namespace

std::string formatOutcome(rollout_outcome Outcome) {
  switch (Outcome) {
  case rollout_outcome::Running:
    return "running";
  case rollout_outcome::Completed:
    return "completed";
  case rollout_outcome::RolledBack:
    return "rolled_back";
  case rollout_outcome::Closed:
    return "closed";
  }
  return "";
}

std::string formatStep(rollout_step Step) {
  switch (Step) {
  case rollout_step::Waiting:
    return "waiting";
  case rollout_step::Probe:
    return "probe";
  case rollout_step::Canary:
    return "canary";
  case rollout_step::Load:
    return "load";
  case rollout_step::All:
    return "all";
  }
  return "";
}

std::string encodeRollout(const rollout_state &State) {
  return json{{"order", State.Order},
              {"sequence", State.Sequence},
              {"to", State.To},
              {"outcome", static_cast<int>(State.Outcome)},
              {"step", static_cast<int>(State.Step)},
              {"share", State.Share},
              {"canaries", State.Canaries},
              {"barred", State.Barred},
              {"ordered_at", State.OrderedAt.count()},
              {"step_at", State.StepAt.count()},
              {"duration", State.Duration.count()},
              {"exposed", State.Exposed},
              {"total", State.Total},
              {"reason", State.Reason}}
      .dump();
}

rollout_state decodeRollout(const std::string &Text) {
  try {
    return decodeFields(parseJson(Text));
  } catch (const std::exception &Error) {
    throw step_error("rollout row", "", Error.what());
  }
}

} // namespace dragonflyvane
