#include "dragonflyvane/core/admission/crash_attribution.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace dragonflyvane {

namespace {

/// A connection that breaks this long before its server is found dead broke
/// because of the death.
constexpr std::chrono::seconds DeathWindow{8};
constexpr size_t MostLost = 64;
constexpr size_t MostCrashes = 64;
/// How long a crash counts, and an answer speaks for a request.
constexpr std::chrono::seconds Memory{300};
/// So many deaths are beyond chance.
constexpr size_t CertainDeaths = 3;
/// Fewer are enough if there were few other requests that may have been the
/// cause.
constexpr size_t LeastDeaths = 2;
constexpr double LeastWeight = 0.5;
constexpr size_t FingerprintDigits = 16;

uint64_t hashOn(uint64_t Before, const std::string &Text) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Before);
}

} // namespace

request_fingerprint fingerprintOf(const http_request &Request,
                                  const std::string &Workspace) {
  uint64_t Hash = hashOn(0, Request.Method);
  Hash = hashOn(Hash, Request.Headers.find("host").value_or(""));
  Hash = hashOn(Hash, Request.Target);
  Hash = hashOn(Hash, Workspace);
  return hashOn(Hash, Request.Body);
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

// One door.

void crash_recorder::onConnectionLost(request_fingerprint Request,
                                      const server_incarnation &Incarnation,
                                      time_point Now) {
  Lost.push_back({Request, Incarnation, Now});
  if (Lost.size() > MostLost)
    Lost.pop_front();
}

void crash_recorder::onServerCrashed(const server_incarnation &Incarnation,
                                     time_point Now) {
  std::set<request_fingerprint> Suspects;
  for (const lost_request &One : Lost)
    if (One.Incarnation == Incarnation && Now - One.At <= DeathWindow)
      Suspects.insert(One.Request);
  std::erase_if(Lost, [&](const lost_request &One) {
    return One.Incarnation == Incarnation;
  });
  auto Count = static_cast<uint32_t>(Suspects.size());
  for (request_fingerprint Request : Suspects)
    Crashes.push_back({{Request, Incarnation, Count, {}}, Now});
  while (Crashes.size() > MostCrashes)
    Crashes.pop_front();
}

void crash_recorder::onAnswered(request_fingerprint Request, time_point Now) {
  Answered[Request] = Now;
  std::erase_if(Crashes, [&](const seen_crash &Seen) {
    return Seen.Crash.Request == Request;
  });
}

std::vector<crash> crash_recorder::crashes(time_point Now) {
  std::vector<crash> Known;
  std::erase_if(Crashes,
                [&](const seen_crash &Seen) { return Now - Seen.At > Memory; });
  for (const seen_crash &Seen : Crashes) {
    Known.push_back(Seen.Crash);
    Known.back().Age =
        std::chrono::duration_cast<std::chrono::seconds>(Now - Seen.At);
  }
  return Known;
}

std::vector<request_fingerprint> crash_recorder::answered(time_point Now) {
  std::erase_if(Answered,
                [&](const auto &A) { return Now - A.second > Memory; });
  std::vector<request_fingerprint> Known;
  for (const auto &[Request, At] : Answered)
    Known.push_back(Request);
  return Known;
}

// The steward.

void crash_correlator::onReport(
    const std::vector<crash> &Crashes,
    const std::vector<request_fingerprint> &Answered, time_point Now) {
  std::erase_if(Innocent,
                [&](const auto &I) { return Now - I.second > Memory; });
  std::erase_if(Causes,
                [&](const auto &C) { return Now - C.second.Newest > Memory; });
  for (request_fingerprint Request : Answered) {
    Innocent[Request] = Now;
    Causes.erase(Request);
  }
  for (const crash &Crash : Crashes) {
    if (Innocent.contains(Crash.Request))
      continue;
    cause &Cause = Causes[Crash.Request];
    Cause.Weights[Crash.Incarnation] = 1.0 / std::max(1U, Crash.Suspects);
    Cause.Newest = std::max(Cause.Newest, Now - Crash.Age);
  }
}

std::set<request_fingerprint> crash_correlator::suspects(time_point Now) const {
  std::set<request_fingerprint> Found;
  for (const auto &[Request, Cause] : Causes)
    if (Now - Cause.Newest <= Memory)
      Found.insert(Request);
  return Found;
}

std::set<request_fingerprint>
crash_correlator::quarantined(time_point Now) const {
  std::set<request_fingerprint> Found;
  for (const auto &[Request, Cause] : Causes) {
    double Weight = 0;
    for (const auto &[Incarnation, Part] : Cause.Weights)
      Weight += Part;
    size_t Deaths = Cause.Weights.size();
    bool IsCause = Deaths >= CertainDeaths ||
                   (Deaths >= LeastDeaths && Weight >= LeastWeight);
    if (IsCause && Now - Cause.Newest <= Memory)
      Found.insert(Request);
  }
  return Found;
}

} // namespace dragonflyvane
