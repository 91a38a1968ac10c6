#include "dragonflyvane/core/silence_watch.hpp"

namespace dragonflyvane {

namespace {

/// A connection that something waits on is closed when its peer has neither
/// sent anything nor shown progress for this long after a PING.
constexpr std::chrono::milliseconds MaxSilence{3000};
/// A peer that answers on another connection has this time to do so here.
constexpr std::chrono::milliseconds MaxSilenceOfRunning{500};

} // namespace

void silence_watch::onReceived(time_point Now) {
  Liveness.onReceived(Now);
  SilentSince.reset();
  PeerRunsSince.reset();
}

void silence_watch::onPeerRuns(time_point Now) {
  if (isSilent() && !PeerRunsSince)
    PeerRunsSince = Now;
}

silence_action silence_watch::check(uint64_t Accepted, bool HasInput,
                                    bool MayWait, time_point Now) {
  switch (Liveness.check(Accepted, HasInput, Now)) {
  case liveness_action::None:
    return silence_action::None;
  case liveness_action::SendPing:
    LastPing = Now;
    return silence_action::SendPing;
  case liveness_action::Close:
    return checkSilence(MayWait, Now);
  }
  return silence_action::None;
}

silence_action silence_watch::checkSilence(bool MayWait, time_point Now) {
  bool RunsElsewhere =
      PeerRunsSince && Now - *PeerRunsSince > MaxSilenceOfRunning;
  bool IsOverdue = Now - Liveness.lastProgress() > MaxSilence;
  if (!MayWait || RunsElsewhere || IsOverdue)
    return silence_action::Close;
  if (isSilent())
    return silence_action::None;
  SilentSince = Now;
  WasSilent = true;
  return silence_action::Wait;
}

} // namespace dragonflyvane
