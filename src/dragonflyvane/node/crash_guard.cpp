#include "dragonflyvane/node/crash_guard.hpp"

#include "dragonflyvane/net/log.hpp"

namespace dragonflyvane {

bool crash_guard::isQuarantined(const http_request &Request,
                                const std::string &Workspace) const {
  return !Quarantined.empty() &&
         Quarantined.contains(fingerprintOf(Request, Workspace));
}

void crash_guard::onLost(const http_request &Request,
                         const std::string &Workspace,
                         const server_life &Life) {
  Witness.onLost(fingerprintOf(Request, Workspace), Life, Clock.now());
}

void crash_guard::onAnswered(const http_request &Request,
                             const std::string &Workspace) {
  if (Suspects.empty())
    return;
  request_fingerprint Fingerprint = fingerprintOf(Request, Workspace);
  if (Suspects.contains(Fingerprint))
    Witness.onAnswered(Fingerprint, Clock.now());
}

void crash_guard::observe(const local_server &Server) {
  bool IsOther = Server.life() != KnownLife;
  if (IsOther || Server.standing() == server_standing::Down)
    Witness.onServerDied(KnownLife, Clock.now());
  KnownLife = Server.life();
}

void crash_guard::describe(report_message &Message) {
  Message.Crashes = Witness.crashes(Clock.now());
  Message.Answered = Witness.answered(Clock.now());
}

void crash_guard::onReport(const report_message &Message) {
  Records.onReport(Message.Crashes, Message.Answered, Clock.now());
}

void crash_guard::describe(report_answer &Answer) const {
  Answer.Suspects = Records.suspects(Clock.now());
  Answer.Quarantined = Records.quarantined(Clock.now());
}

void crash_guard::onAnswer(const report_answer &Answer) {
  for (request_fingerprint Request : Answer.Quarantined)
    if (!Quarantined.contains(Request))
      writeLog(log_level::Warning, "request quarantined",
               {{"step", "quarantine"}, {"fingerprint", toText(Request)}});
  for (request_fingerprint Request : Quarantined)
    if (!Answer.Quarantined.contains(Request))
      writeLog(log_level::Info, "request released",
               {{"step", "quarantine"}, {"fingerprint", toText(Request)}});
  Suspects = Answer.Suspects;
  Quarantined = Answer.Quarantined;
}

void crash_guard::release(request_fingerprint Request) {
  Witness.onAnswered(Request, Clock.now());
  Quarantined.erase(Request);
}

} // namespace dragonflyvane
