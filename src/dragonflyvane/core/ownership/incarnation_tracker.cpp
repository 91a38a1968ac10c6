#include "dragonflyvane/core/ownership/incarnation_tracker.hpp"

#include <utility>

namespace dragonflyvane {

heartbeat_origin
incarnation_tracker::onHeartbeat(const server_incarnation &Sender,
                                 uint64_t SenderSequence, time_point Now) {
  if (Sender == Current) {
    if (SenderSequence <= Sequence)
      return heartbeat_origin::Outdated;
    Sequence = SenderSequence;
    LastHeartbeatAt = Now;
    return heartbeat_origin::Current;
  }
  if (!mayReplaceCurrent(Sender, SenderSequence, Now))
    return heartbeat_origin::Outdated;
  Replaced.insert(std::exchange(Current, Sender));
  Replaced.erase(Current);
  Candidate = {};
  Sequence = SenderSequence;
  LastHeartbeatAt = Now;
  return heartbeat_origin::New;
}

bool incarnation_tracker::mayReplaceCurrent(const server_incarnation &Sender,
                                            uint64_t SenderSequence,
                                            time_point Now) {
  if (Current == server_incarnation{})
    return true;
  bool IsStartKnown = Sender.StartedAtMs > 0;
  bool HasStartedLater =
      IsStartKnown && Sender.StartedAtMs >= Current.StartedAtMs;
  if (HasStartedLater && !Replaced.contains(Sender))
    return true;
  bool IsSilent = Now - LastHeartbeatAt > MaxSilence;
  bool Continues = Sender == Candidate && SenderSequence > CandidateSequence;
  Candidate = Sender;
  CandidateSequence = SenderSequence;
  return IsSilent && Continues;
}

} // namespace dragonflyvane
