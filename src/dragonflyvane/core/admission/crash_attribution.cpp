#include "dragonflyvane/core/admission/crash_attribution.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace dragonflyvane {

namespace {

/// The loss of a connection is attributed to a crash of its server if the crash
/// is detected within this time after the loss.
constexpr std::chrono::seconds CrashWindow{8};
constexpr size_t MaxLostRequests = 64;
constexpr size_t MaxCrashes = 64;
/// How long a crash counts against a request, and how long a response clears a
/// request of suspicion.
constexpr std::chrono::seconds RetentionPeriod{300};
/// A request that ran in this number of crashes is quarantined whatever the
/// number of other suspects, since a coincidence is unlikely.
constexpr size_t ConclusiveCrashes = 3;
/// Fewer crashes suffice if their weights add up to `MinWeight`, since then few
/// other requests may have been the cause.
constexpr size_t MinCrashes = 2;
constexpr double MinWeight = 0.5;
constexpr size_t FingerprintDigits = 16;
/// The time from the latest crash to the next trial, by the number of trials
/// that have ended in a crash. After the last one the request waits until the
/// retention period is over.
constexpr std::array<std::chrono::seconds, 3> TrialDelays{
    std::chrono::seconds{5}, std::chrono::seconds{30},
    std::chrono::seconds{120}};
/// A trial without a result ends after this time, and another host may try.
constexpr std::chrono::seconds TrialDuration{10};

uint64_t extendHash(uint64_t Seed, const std::string &Text) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

request_fingerprint fingerprintOf(const http_request &Request,
                                  const std::string &Workspace,
                                  std::optional<key_point> Point) {
  uint64_t Hash = extendHash(0, Request.Method);
  Hash = extendHash(Hash, Request.Headers.find("host").value_or(""));
  Hash = extendHash(Hash, Request.Target);
  Hash = extendHash(Hash, Workspace);
  if (Point)
    Hash = extendHash(Hash, std::to_string(*Point));
  return extendHash(Hash, Request.Body);
}

std::string formatFingerprint(request_fingerprint Request) {
  std::array<char, FingerprintDigits + 1> Text{};
  std::snprintf(Text.data(), Text.size(), "%016" PRIx64, Request);
  return Text.data();
}

std::optional<request_fingerprint> parseFingerprint(const std::string &Text) {
  request_fingerprint Request = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Request, 16);
  if (Text.size() != FingerprintDigits || Read.ec != std::errc() ||
      Read.ptr != End)
    return std::nullopt;
  return Request;
}

void crash_recorder::onConnectionLost(request_fingerprint Request,
                                      const server_incarnation &Incarnation,
                                      time_point Now) {
  LostRequests.push_back({Request, Incarnation, Now});
  if (LostRequests.size() > MaxLostRequests)
    LostRequests.pop_front();
}

void crash_recorder::onServerCrashed(const server_incarnation &Incarnation,
                                     time_point Now) {
  std::set<request_fingerprint> Suspects;
  for (const lost_request &Loss : LostRequests)
    if (Loss.Incarnation == Incarnation && Now - Loss.At <= CrashWindow)
      Suspects.insert(Loss.Request);
  std::erase_if(LostRequests, [&](const lost_request &Loss) {
    return Loss.Incarnation == Incarnation;
  });
  auto Count = static_cast<uint32_t>(Suspects.size());
  for (request_fingerprint Request : Suspects) {
    auto Trial = Trials.find(Request);
    bool WasTrial = Trial != Trials.end() && Trial->second == Incarnation;
    Crashes.push_back({{Request, Incarnation, Count, {}, WasTrial}, Now});
  }
  while (Crashes.size() > MaxCrashes)
    Crashes.pop_front();
}

void crash_recorder::onServerStopped(const server_incarnation &Incarnation) {
  std::erase_if(LostRequests, [&](const lost_request &Loss) {
    return Loss.Incarnation == Incarnation;
  });
}

void crash_recorder::onTrial(request_fingerprint Request,
                             const server_incarnation &Incarnation) {
  Trials[Request] = Incarnation;
}

void crash_recorder::onResponse(request_fingerprint Request, time_point Now) {
  Answered[Request] = Now;
  Trials.erase(Request);
  std::erase_if(Crashes, [&](const recorded_crash &Recorded) {
    return Recorded.Crash.Request == Request;
  });
}

std::vector<crash> crash_recorder::crashes(time_point Now) {
  std::vector<crash> Recent;
  std::erase_if(Crashes, [&](const recorded_crash &Recorded) {
    return Now - Recorded.At > RetentionPeriod;
  });
  for (const recorded_crash &Recorded : Crashes) {
    Recent.push_back(Recorded.Crash);
    Recent.back().Age =
        std::chrono::duration_cast<std::chrono::seconds>(Now - Recorded.At);
  }
  return Recent;
}

std::vector<request_fingerprint>
crash_recorder::requestsWithResponse(time_point Now) {
  std::erase_if(Answered, [&](const auto &A) {
    return Now - A.second > RetentionPeriod;
  });
  std::vector<request_fingerprint> Recent;
  for (const auto &[Request, At] : Answered)
    Recent.push_back(Request);
  return Recent;
}

void crash_correlator::onReport(
    const std::vector<crash> &Crashes,
    const std::vector<request_fingerprint> &Answered, time_point Now) {
  std::erase_if(
      Cleared, [&](const auto &C) { return Now - C.second > RetentionPeriod; });
  std::erase_if(Suspected, [&](const auto &S) {
    return Now - S.second.Newest > RetentionPeriod;
  });
  for (request_fingerprint Request : Answered) {
    Cleared[Request] = Now;
    Suspected.erase(Request);
  }
  for (const crash &Crash : Crashes) {
    if (Cleared.contains(Crash.Request))
      continue;
    suspect &Suspect = Suspected[Crash.Request];
    Suspect.Weights[Crash.Incarnation] = 1.0 / std::max(1U, Crash.SuspectCount);
    bool HasFailed =
        Crash.WasTrial && Suspect.FailedTrials.insert(Crash.Incarnation).second;
    if (HasFailed)
      Suspect.TrialEndsAt = Now;
    Suspect.Newest = std::max(Suspect.Newest, Now - Crash.Age);
  }
}

std::set<request_fingerprint> crash_correlator::suspects(time_point Now) const {
  std::set<request_fingerprint> Found;
  for (const auto &[Request, Suspect] : Suspected)
    if (Now - Suspect.Newest <= RetentionPeriod)
      Found.insert(Request);
  return Found;
}

bool crash_correlator::isQuarantined(const suspect &Suspect, time_point Now) {
  double Weight = 0;
  for (const auto &[Incarnation, CrashWeight] : Suspect.Weights)
    Weight += CrashWeight;
  size_t CrashCount = Suspect.Weights.size();
  bool IsConvicted = CrashCount >= ConclusiveCrashes ||
                     (CrashCount >= MinCrashes && Weight >= MinWeight);
  return IsConvicted && Now - Suspect.Newest <= RetentionPeriod;
}

std::set<request_fingerprint>
crash_correlator::quarantined(time_point Now) const {
  std::set<request_fingerprint> Found;
  for (const auto &[Request, Suspect] : Suspected)
    if (isQuarantined(Suspect, Now))
      Found.insert(Request);
  return Found;
}

// Trials.

/// Returns the time from which the next trial may begin; after the last trial,
/// the time at which the quarantine ends.
time_point crash_correlator::nextTrialAt(const suspect &Suspect) {
  size_t Failed = Suspect.FailedTrials.size();
  if (Failed >= TrialDelays.size())
    return Suspect.Newest + RetentionPeriod;
  return Suspect.Newest + TrialDelays.at(Failed);
}

std::set<std::string> crash_correlator::hostsWithTrial(time_point Now) const {
  std::set<std::string> Hosts;
  for (const auto &[Request, Suspect] : Suspected)
    if (Now < Suspect.TrialEndsAt)
      Hosts.insert(Suspect.Trial.Host);
  return Hosts;
}

void crash_correlator::onRefused(
    const std::string &Host, const std::vector<request_fingerprint> &Refused,
    size_t OtherServers, time_point Now) {
  std::set<std::string> Busy = hostsWithTrial(Now);
  if (Busy.contains(Host) || Busy.size() >= OtherServers)
    return;
  for (request_fingerprint Request : Refused) {
    auto Found = Suspected.find(Request);
    if (Found == Suspected.end())
      continue;
    suspect &Suspect = Found->second;
    bool IsDue = isQuarantined(Suspect, Now) && Now >= Suspect.TrialEndsAt &&
                 Now >= nextTrialAt(Suspect);
    if (!IsDue)
      continue;
    // Numbers rise over changes of the coordinator as well.
    auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now.time_since_epoch());
    LastTrialNumber =
        std::max(LastTrialNumber + 1, static_cast<uint64_t>(Millis.count()));
    Suspect.Trial = {Host, LastTrialNumber, {}};
    Suspect.TrialEndsAt = Now + TrialDuration;
    return;
  }
}

std::map<request_fingerprint, request_trial>
crash_correlator::trials(time_point Now) const {
  std::map<request_fingerprint, request_trial> Trials;
  for (const auto &[Request, Suspect] : Suspected) {
    if (!isQuarantined(Suspect, Now))
      continue;
    request_trial &Trial = Trials[Request];
    if (Now < Suspect.TrialEndsAt)
      Trial = Suspect.Trial;
    else
      Trial.Delay = std::chrono::duration_cast<std::chrono::milliseconds>(
          std::max(nextTrialAt(Suspect) - Now, duration{0}));
  }
  return Trials;
}

} // namespace dragonflyvane
