#include "dragonflyvane/node/serving/crash_guard.hpp"

#include "dragonflyvane/net/log.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The time until a trial that is open or due has had its effect on all hosts:
/// a report of the host and two responses of the coordinator.
constexpr std::chrono::milliseconds TrialRoundTrip{2500};

} // namespace

std::optional<std::chrono::milliseconds>
crash_guard::refusalDelay(request_fingerprint Request) {
  if (!Quarantined.contains(Request))
    return std::nullopt;
  const request_trial &Trial = Trials[Request];
  if (Trial.Host == Host && BegunTrials[Request] < Trial.Number) {
    BegunTrials[Request] = Trial.Number;
    Recorder.onTrial(Request, KnownIncarnation);
    writeLog(log_level::Info, "trial of a quarantined request",
             {{"step", "quarantine"},
              {"fingerprint", formatFingerprint(Request)},
              {"instance", KnownIncarnation.Instance}});
    return std::nullopt;
  }
  Refused.insert(Request);
  auto Elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock.now() - TrialsReceivedAt);
  return std::max(Trial.Delay - Elapsed, std::chrono::milliseconds{0}) +
         TrialRoundTrip;
}

std::optional<std::string>
crash_guard::trialHost(request_fingerprint Request) const {
  auto Found = Trials.find(Request);
  if (Found == Trials.end() || Found->second.Host.empty())
    return std::nullopt;
  return Found->second.Host;
}

void crash_guard::onConnectionLost(request_fingerprint Request,
                                   const server_incarnation &Incarnation) {
  Recorder.onConnectionLost(Request, Incarnation, Clock.now());
}

void crash_guard::onResponse(request_fingerprint Request) {
  if (Suspects.contains(Request))
    Recorder.onResponse(Request, Clock.now());
}

bool crash_guard::checkForCrash(const local_server &Server) {
  bool IsNewIncarnation = Server.incarnation() != KnownIncarnation;
  bool HasEnded =
      IsNewIncarnation || Server.availability() == server_availability::Down;
  if (HasEnded && HasAnnouncedLeaving)
    Recorder.onServerStopped(KnownIncarnation);
  else if (HasEnded)
    Recorder.onServerCrashed(KnownIncarnation, Clock.now());
  if (IsNewIncarnation)
    HasAnnouncedLeaving = false;
  HasAnnouncedLeaving |= Server.availability() == server_availability::Leaving;
  KnownIncarnation = Server.incarnation();
  return HasEnded;
}

void crash_guard::addCrashReport(report_message &Message) {
  Message.Crashes = Recorder.crashes(Clock.now());
  Message.RequestsWithResponse = Recorder.requestsWithResponse(Clock.now());
  Message.RefusedRequests.assign(Refused.begin(), Refused.end());
  Refused.clear();
}

void crash_guard::onReport(const report_message &Message, size_t OtherServers) {
  Correlator.onReport(Message.Crashes, Message.RequestsWithResponse,
                      Clock.now());
  Correlator.onRefused(Message.Host, Message.RefusedRequests, OtherServers,
                       Clock.now());
}

void crash_guard::addQuarantine(report_response &Response) const {
  Response.Suspects = Correlator.suspects(Clock.now());
  Response.Quarantined = Correlator.quarantined(Clock.now());
  Response.Trials = Correlator.trials(Clock.now());
}

void crash_guard::onReportResponse(const report_response &Response) {
  for (request_fingerprint Request : Response.Quarantined)
    if (!Quarantined.contains(Request))
      writeLog(log_level::Warning, "request quarantined",
               {{"step", "quarantine"},
                {"fingerprint", formatFingerprint(Request)}});
  for (request_fingerprint Request : Quarantined)
    if (!Response.Quarantined.contains(Request))
      writeLog(log_level::Info, "request released",
               {{"step", "quarantine"},
                {"fingerprint", formatFingerprint(Request)}});
  Suspects = Response.Suspects;
  Quarantined = Response.Quarantined;
  Trials = Response.Trials;
  TrialsReceivedAt = Clock.now();
  std::erase_if(BegunTrials, [this](const auto &Begun) {
    return !Quarantined.contains(Begun.first);
  });
}

void crash_guard::release(request_fingerprint Request) {
  Recorder.onResponse(Request, Clock.now());
  Quarantined.erase(Request);
}

} // namespace dragonflyvane
