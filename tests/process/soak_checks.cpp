#include "process/soak_checks.hpp"

#include "process/soak_plan.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace dragonflyvane {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Stated by the platform: a request may be lost if its connection ends so
/// shortly after its last byte was sent.
constexpr milliseconds LossSlack{200};
/// A request sent up to this long after the SIGTERM need not be answered if its
/// server is still at work in the last sixth of the grace.
constexpr seconds LateRequestTime{3};
constexpr duration LastSixth = duration(Grace) * 5 / 6;
/// Answers to a stop that is longer ago are not described by its time.
constexpr seconds DescribedTime{20};

/// Checks one request.
class request_check {
public:
  request_check(const soak_call &Call, const soak_record &Record)
      : Call(Call), Record(Record) {
    auto Found = Record.Runs.find(Call.RequestId);
    if (Found != Record.Runs.end())
      Runs = Found->second;
  }

  /// Returns the promise that was broken, or an empty text.
  std::string brokenPromise() const {
    if (!Call.Idempotent && Runs.size() > 1)
      return "ran more than once";
    switch (Call.End) {
    case call_end::Answered:
      return brokenByAnswer();
    case call_end::Closed:
      return brokenByClose();
    case call_end::TimedOut:
      return "no answer in time";
    case call_end::NotConnected:
    case call_end::GivenUp:
      return "";
    }
    return "";
  }

  std::string describe() const {
    std::ostringstream Text;
    Text << Call.RequestId << " (" << Call.Kind << ", host " << Call.Host
         << "): ";
    std::optional<time_point> Origin = stopBefore();
    if (!Origin)
      Text << "no stop, ";
    time_point Zero = Origin.value_or(Call.FirstByteAt);
    auto Print = [&](const char *Name, time_point At) {
      Text << Name << " " << inMilliseconds(At - Zero) << ", ";
    };
    Print("sent", Call.FirstByteAt);
    if (Call.LastByteAt)
      Print("last byte", *Call.LastByteAt);
    Print("ended", Call.EndedAt);
    for (const server_run &Run : Runs) {
      Print("run", Run.Begin);
      if (Run.End)
        Print("until", *Run.End);
    }
    Text << "status " << Call.Status;
    return Text.str();
  }

private:
  std::string brokenByAnswer() const {
    static const std::set<int> NotRun = {408, 421, 429, 503};
    if (Call.Status == 200 && !Call.IsOwnAnswer)
      return "wrong answer";
    if (Call.Status == 200 && Runs.empty())
      return "answer without a run";
    if (!Call.Idempotent && NotRun.contains(Call.Status) && !Runs.empty())
      return "ran in spite of its answer";
    bool IsOwn = Call.Status == 502 || Call.Status == 504;
    if (IsOwn && hasGoodRun() && isBesideStop() && !isTooLong())
      return "answered in place of its server";
    if (Call.Status >= 400 && Call.Status < 500 &&
        !NotRun.contains(Call.Status))
      return "denied";
    return "";
  }

  std::string brokenByClose() const {
    if (hasSoundRun() && !isTooLong())
      return "ran and was not answered";
    if (Call.LastByteAt && Call.EndedAt - *Call.LastByteAt > crossingTime())
      return "was not answered";
    if (Call.EndedAt - Call.FirstByteAt > crossingTime())
      return "was cut while it arrived";
    return "";
  }

  /// Within this time a request may cross the close of its connection. On a
  /// slow link that is the time until the close arrives at the caller after the
  /// caller's bytes could have arrived at the daemon.
  duration crossingTime() const {
    duration Time = std::max(duration(LossSlack), Call.RoundTrip);
    bool IsPaused = std::any_of(Record.Pauses.begin(), Record.Pauses.end(),
                                [&](const daemon_pause &Pause) {
                                  return Pause.Host == Call.Host &&
                                         Pause.At < Call.EndedAt &&
                                         Pause.End > Call.FirstByteAt;
                                });
    return IsPaused ? Time + PauseTime : Time;
  }

  /// Whether a server ended its work. If not, it broke off.
  bool hasSoundRun() const {
    return std::any_of(Runs.begin(), Runs.end(), [](const server_run &Run) {
      return Run.End.has_value();
    });
  }

  /// Whether a server answered with success, or was about to.
  bool hasGoodRun() const {
    return std::any_of(Runs.begin(), Runs.end(), [](const server_run &Run) {
      return Run.End.has_value() && !Run.HasFailed;
    });
  }

  bool isBesideStop() const {
    return std::any_of(
        Record.Stops.begin(), Record.Stops.end(), [&](const daemon_stop &Stop) {
          return Stop.SignalAt < Call.EndedAt &&
                 Stop.EndedAt.value_or(Call.EndedAt) >= Call.FirstByteAt;
        });
  }

  /// Whether the timeout was reached, or the grace of a stop could not cover
  /// the work.
  bool isTooLong() const {
    if (Call.EndedAt - Call.FirstByteAt >= ShortestRouteTimeout)
      return true;
    return std::any_of(
        Record.Stops.begin(), Record.Stops.end(),
        [&](const daemon_stop &Stop) { return isTooLongFor(Stop); });
  }

  bool isTooLongFor(const daemon_stop &Stop) const {
    time_point LastSixthAt = Stop.SignalAt + LastSixth;
    bool IsAtWork =
        std::any_of(Runs.begin(), Runs.end(), [&](const server_run &Run) {
          return Run.Begin < Call.EndedAt && Run.End && *Run.End > LastSixthAt;
        });
    return Stop.SignalAt < Call.EndedAt && Call.EndedAt >= LastSixthAt &&
           Call.EndedAt <= Stop.SignalAt + Grace &&
           Call.FirstByteAt <= Stop.SignalAt + LateRequestTime && IsAtWork;
  }

  /// Returns the last SIGTERM of the host before the end of the request.
  std::optional<time_point> stopBefore() const {
    std::optional<time_point> Last;
    for (const daemon_stop &Stop : Record.Stops)
      if (Stop.Host == Call.Host && Stop.SignalAt <= Call.EndedAt &&
          Call.EndedAt - Stop.SignalAt < DescribedTime)
        Last = Stop.SignalAt;
    return Last;
  }

  const soak_call &Call;
  const soak_record &Record;
  std::vector<server_run> Runs;
};

/// Returns the call that a server made while it ran the request, if the answer
/// tells that this call failed.
std::optional<soak_call> failedCallOf(const soak_call &Call) {
  std::istringstream Text(Call.Body);
  std::string Word;
  std::string Sent;
  int Status = 0;
  int Took = 0;
  if (Call.Status != 500 ||
      !(Text >> Word >> Status >> Sent >> Took && Word == "call"))
    return std::nullopt;
  soak_call Inner = Call;
  Inner.Kind = "call of a server";
  Inner.RequestId += "-call";
  Inner.FirstByteAt = Call.EndedAt - milliseconds(Took);
  Inner.LastByteAt = Inner.FirstByteAt;
  Inner.Status = Status;
  Inner.End = Sent == "unsent" ? call_end::NotConnected
              : Status == 0    ? call_end::Closed
                               : call_end::Answered;
  return Inner;
}

} // namespace

std::vector<std::string> brokenPromises(const std::vector<soak_call> &Calls,
                                        const soak_record &Record) {
  std::vector<std::string> Lines;
  auto Check = [&](const soak_call &Call) {
    request_check Request(Call, Record);
    std::string Promise = Request.brokenPromise();
    if (!Promise.empty())
      Lines.push_back(Promise + ": " + Request.describe());
  };
  for (const soak_call &Call : Calls) {
    Check(Call);
    if (auto Inner = failedCallOf(Call))
      Check(*Inner);
  }
  return Lines;
}

} // namespace dragonflyvane
