#include "dragonflyvane/node/serving/crash_guard.hpp"

#include "dragonflyvane/net/log.hpp"

namespace dragonflyvane {

bool crash_guard::isQuarantined(const http_request &Request,
                                const std::string &Workspace) const {
  return !Quarantined.empty() &&
         Quarantined.contains(fingerprintOf(Request, Workspace));
}

void crash_guard::onConnectionLost(const http_request &Request,
                                   const std::string &Workspace,
                                   const server_incarnation &Incarnation) {
  Recorder.onConnectionLost(fingerprintOf(Request, Workspace), Incarnation,
                            Clock.now());
}

void crash_guard::onResponse(const http_request &Request,
                             const std::string &Workspace) {
  if (Suspects.empty())
    return;
  request_fingerprint Fingerprint = fingerprintOf(Request, Workspace);
  if (Suspects.contains(Fingerprint))
    Recorder.onResponse(Fingerprint, Clock.now());
}

bool crash_guard::checkForCrash(const local_server &Server) {
  bool IsNewIncarnation = Server.incarnation() != KnownIncarnation;
  bool HasEnded =
      IsNewIncarnation || Server.availability() == server_availability::Down;
  if (HasEnded)
    Recorder.onServerCrashed(KnownIncarnation, Clock.now());
  KnownIncarnation = Server.incarnation();
  return HasEnded;
}

void crash_guard::addCrashReport(report_message &Message) {
  Message.Crashes = Recorder.crashes(Clock.now());
  Message.RequestsWithResponse = Recorder.requestsWithResponse(Clock.now());
}

void crash_guard::onReport(const report_message &Message) {
  Correlator.onReport(Message.Crashes, Message.RequestsWithResponse,
                      Clock.now());
}

void crash_guard::addQuarantine(report_response &Response) const {
  Response.Suspects = Correlator.suspects(Clock.now());
  Response.Quarantined = Correlator.quarantined(Clock.now());
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
}

void crash_guard::release(request_fingerprint Request) {
  Recorder.onResponse(Request, Clock.now());
  Quarantined.erase(Request);
}

} // namespace dragonflyvane
