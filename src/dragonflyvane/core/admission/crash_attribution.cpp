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

uint64_t extendHash(uint64_t Seed, const std::string &Text) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

request_fingerprint fingerprintOf(const http_request &Request,
                                  const std::string &Workspace) {
  uint64_t Hash = extendHash(0, Request.Method);
  Hash = extendHash(Hash, Request.Headers.find("host").value_or(""));
  Hash = extendHash(Hash, Request.Target);
  Hash = extendHash(Hash, Workspace);
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
  for (request_fingerprint Request : Suspects)
    Crashes.push_back({{Request, Incarnation, Count, {}}, Now});
  while (Crashes.size() > MaxCrashes)
    Crashes.pop_front();
}

void crash_recorder::onResponse(request_fingerprint Request, time_point Now) {
  Answered[Request] = Now;
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

std::set<request_fingerprint>
crash_correlator::quarantined(time_point Now) const {
  std::set<request_fingerprint> Found;
  for (const auto &[Request, Suspect] : Suspected) {
    double Weight = 0;
    for (const auto &[Incarnation, CrashWeight] : Suspect.Weights)
      Weight += CrashWeight;
    size_t CrashCount = Suspect.Weights.size();
    bool MustQuarantine = CrashCount >= ConclusiveCrashes ||
                          (CrashCount >= MinCrashes && Weight >= MinWeight);
    if (MustQuarantine && Now - Suspect.Newest <= RetentionPeriod)
      Found.insert(Request);
  }
  return Found;
}

} // namespace dragonflyvane
