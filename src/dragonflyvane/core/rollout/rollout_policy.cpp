#include "dragonflyvane/core/rollout/rollout_policy.hpp"

#include "dragonflyvane/core/rollout/rollout_verdict.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

using std::chrono::milliseconds;

/// The fraction of the exposure bound that is used at most. The rest covers
/// requests that are sent before hosts know of a rollback, and a rate that
/// falls before the deadline.
constexpr double BudgetUse = 0.6;
/// The fraction that a new coordinator may use until it has seen some responses
/// itself.
constexpr double SuccessorBudgetUse = 0.85;
constexpr uint64_t OwnResponses = 20;
/// All traffic moves this long before the deadline. The keys of a keyed service
/// change owners one after another.
constexpr milliseconds MoveTime{4500};
constexpr milliseconds KeyedMoveTime{6000};
/// A short order leaves at least this fraction of its time for the small steps.
constexpr double MinCanaryFraction = 0.4;
/// Minimum durations of the steps.
constexpr milliseconds ProbeTime{1200};
constexpr milliseconds CanaryTime{1000};
constexpr milliseconds LoadTime{2000};
/// A probe ends after this time even if it got fewer responses than it needs.
constexpr milliseconds MaxProbeTime{2500};
/// The last observation, after all traffic has moved.
constexpr milliseconds LastObservation{1500};
/// This long before the deadline a suspicious version is rolled back.
constexpr milliseconds SuspicionEnd{2000};
/// Lower bound of the time over which the rest of the budget is spread.
constexpr milliseconds MinPaceTime{1000};
/// The largest share before the evidence is complete.
constexpr double MaxSmallShare = 0.15;
constexpr double ProbeShare = 0.02;
/// Requests per second of a probe if `ProbeShare` is less.
constexpr double MinProbeRate = 8;
/// The utilization that the share of a chosen server aims at.
constexpr double TargetUse = 0.85;
constexpr uint64_t ProbeResponses = 20;
/// Responses that the move of all traffic requires, or this fraction of the
/// budget if that is less.
constexpr uint64_t MinResponses = 120;
constexpr double MinBudgetFraction = 0.4;
/// A route with at least this fraction of the old version's responses must have
/// responses of the new version.
constexpr double CommonRouteFraction = 0.15;
constexpr uint64_t MinRouteResponses = 5;
/// Responses of the new version that the last observation requires.
constexpr uint64_t LastResponses = 20;
/// All traffic moves only if the new servers have this fraction of the slots of
/// the old ones.
constexpr double MinSlotFraction = 0.7;

/// The decision about a running rollout in one situation.
class decision {
public:
  decision(const rollout_state &State, const rollout_bounds &Bounds,
           const rollout_situation &Situation)
      : State(State), Bounds(Bounds), Situation(Situation) {}

  std::optional<rollout_state> next() const {
    for (const rollout_sample *Sample : {&Situation.All, &Situation.Recent}) {
      rollout_verdict Verdict = judge(*Sample, Situation.All);
      if (Verdict.IsBad)
        return changed(rolledBack(State, Verdict.Reason));
    }
    if (isSuspicious() && elapsed() > State.Duration - SuspicionEnd &&
        State.Step >= rollout_step::Load)
      return changed(rolledBack(State, "suspicious until the deadline"));
    if (State.Step == rollout_step::All && Situation.NewHosts.empty())
      return changed(rolledBack(State, "no server of the version is left"));
    if (State.Step == rollout_step::All)
      return completed();
    if (Situation.NewHosts.empty())
      return State.Share > 0 ? stepTo(rollout_step::Waiting, 0) : std::nullopt;
    if (State.Share > 0 && hasLostCanaries())
      return stepTo(State.Step, State.Share);
    if (State.Share > 0 && double(Situation.Exposed) >= budget())
      return hold();
    return smallStep();
  }

private:
  milliseconds elapsed() const { return Situation.Now - State.OrderedAt; }
  milliseconds sinceStep() const { return Situation.Now - State.StepAt; }

  /// When all traffic may move, counted from the order.
  milliseconds moveAt() const {
    auto Earliest = std::chrono::duration_cast<milliseconds>(State.Duration *
                                                             MinCanaryFraction);
    return std::max(Earliest,
                    State.Duration -
                        (Situation.IsKeyed ? KeyedMoveTime : MoveTime));
  }

  /// Requests that may reach the new version before all traffic moves.
  double budget() const {
    double Left =
        std::chrono::duration<double>(State.Duration - elapsed()).count();
    double Expected =
        double(Situation.Total) + Situation.Rate * std::max(0.0, Left);
    double Use = hasOwnEvidence() ? BudgetUse : SuccessorBudgetUse;
    return Use * (Bounds.ExposureShare * Expected + Bounds.ExposureSlack);
  }

  /// Whether this coordinator has seen some responses itself.
  bool hasOwnEvidence() const {
    return Situation.All.total().New.Responses >= OwnResponses;
  }

  bool isSuspicious() const {
    return judge(Situation.All, Situation.All).IsSuspicious;
  }

  bool hasLostCanaries() const {
    return std::none_of(
        Situation.NewHosts.begin(), Situation.NewHosts.end(),
        [&](const std::string &Host) { return State.Canaries.contains(Host); });
  }

  std::optional<rollout_state> smallStep() const {
    switch (State.Step) {
    case rollout_step::Waiting:
      return stepTo(rollout_step::Probe, probeShare());
    case rollout_step::Probe: {
      bool HasProbed = Situation.All.total().New.Responses >= ProbeResponses ||
                       sinceStep() >= MaxProbeTime;
      if (sinceStep() < ProbeTime || !HasProbed)
        return std::nullopt;
      return stepTo(rollout_step::Canary, pacedShare());
    }
    case rollout_step::Canary:
      if (sinceStep() < CanaryTime || elapsed() < moveAt() - LoadTime)
        return std::nullopt;
      return stepTo(rollout_step::Load, loadShare());
    case rollout_step::Load:
      if (sinceStep() < LoadTime || elapsed() < moveAt())
        return std::nullopt;
      if (!mayMoveAll())
        return State.Share > 0 || loadShare() <= 0
                   ? std::nullopt
                   : stepTo(rollout_step::Load, loadShare());
      return stepTo(rollout_step::All, 1);
    case rollout_step::All:
      break;
    }
    return std::nullopt;
  }

  /// The requests per second that use up the rest of the budget in the given
  /// time.
  double pacedRate(milliseconds Until) const {
    double Seconds =
        std::chrono::duration<double>(std::max(Until, MinPaceTime)).count();
    return std::max(0.0, budget() - double(Situation.Exposed)) / Seconds;
  }

  double shareOf(double Rate) const {
    return Situation.Rate <= 0
               ? ProbeShare
               : std::clamp(Rate / Situation.Rate, 0.0, MaxSmallShare);
  }

  double pacedShare() const { return shareOf(pacedRate(moveAt() - elapsed())); }

  double probeShare() const {
    double Rate = std::max(ProbeShare * Situation.Rate, MinProbeRate);
    return std::min(shareOf(Rate), pacedShare());
  }

  /// Keeps one server nearly full, as far as the budget allows.
  double loadShare() const {
    double Rate = std::max(pacedRate(moveAt() - elapsed()),
                           Situation.ServerRate * TargetUse);
    return shareOf(std::min(Rate, pacedRate(LoadTime + MinPaceTime)));
  }

  /// Whether the evidence suffices to move all traffic: enough responses on all
  /// common routes, and nothing that looks bad.
  bool mayMoveAll() const {
    if (State.Step != rollout_step::Load || isSuspicious() ||
        Situation.NewSlots < MinSlotFraction * Situation.OldSlots)
      return false;
    double Required =
        std::min<double>(MinResponses, MinBudgetFraction * budget());
    // An earlier coordinator has judged what it counted.
    if (!hasOwnEvidence() || double(Situation.Exposed) < Required)
      return false;
    version_pair Total = Situation.All.total();
    if (double(Total.New.Responses) < Required)
      return true;
    return std::all_of(
        Situation.All.Routes.begin(), Situation.All.Routes.end(),
        [&](const auto &Route) {
          const version_pair &Pair = Route.second;
          bool IsCommon = double(Pair.Old.Responses) >=
                          CommonRouteFraction * double(Total.Old.Responses);
          return !IsCommon || Pair.New.Responses >= MinRouteResponses;
        });
  }

  std::optional<rollout_state> completed() const {
    bool IsObserved =
        sinceStep() >= LastObservation &&
        Situation.SinceStep.total().New.Responses >= LastResponses;
    if (!IsObserved || !Situation.HasLeftOld || isSuspicious())
      return std::nullopt;
    rollout_state Next = State;
    Next.Outcome = rollout_outcome::Completed;
    Next.Reason = "no difference found";
    return changed(Next);
  }

  /// Sends nothing more to the new version until there is room for it.
  std::optional<rollout_state> hold() const {
    rollout_state Next = State;
    Next.Share = 0;
    Next.Canaries.clear();
    Next.Reason = "exposure used up";
    return changed(Next);
  }

  std::optional<rollout_state> stepTo(rollout_step Step, double Share) const {
    rollout_state Next = State;
    Next.Step = Step;
    Next.Share = Share;
    Next.Canaries = Step == rollout_step::All || Share <= 0
                        ? std::set<std::string>{}
                        : chooseCanaries(Step, Share);
    Next.Reason = "step";
    return changed(Next);
  }

  /// Chooses as many new servers as the share keeps nearly full; others in each
  /// step, since one server may be slower than the version is.
  std::set<std::string> chooseCanaries(rollout_step Step, double Share) const {
    double Servers =
        Situation.ServerRate > 0
            ? Share * Situation.Rate / (TargetUse * Situation.ServerRate)
            : 1;
    size_t Count =
        std::clamp<size_t>(std::llround(Servers), 1, Situation.NewHosts.size());
    size_t First = static_cast<size_t>(Step) + State.Canaries.size();
    std::set<std::string> Chosen;
    for (size_t I = 0; I < Count; ++I)
      Chosen.insert(
          Situation.NewHosts[(First + I) % Situation.NewHosts.size()]);
    return Chosen;
  }

  rollout_state changed(rollout_state Next) const {
    Next.StepAt = Situation.Now;
    Next.Exposed = Situation.Exposed;
    Next.Total = Situation.Total;
    return Next;
  }

  const rollout_state &State;
  const rollout_bounds &Bounds;
  const rollout_situation &Situation;
};

} // namespace

rollout_state rolledBack(const rollout_state &State,
                         const std::string &Reason) {
  rollout_state Next = State;
  Next.Outcome = rollout_outcome::RolledBack;
  Next.Share = 0;
  Next.Canaries.clear();
  Next.Reason = Reason;
  return Next;
}

std::optional<rollout_state> nextState(const rollout_state &State,
                                       const rollout_bounds &Bounds,
                                       const rollout_situation &Situation) {
  if (!State.isRunning())
    return std::nullopt;
  return decision(State, Bounds, Situation).next();
}

} // namespace dragonflyvane
