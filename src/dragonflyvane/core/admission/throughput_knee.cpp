#include "dragonflyvane/core/admission/throughput_knee.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>

namespace dragonflyvane {

namespace {

/// Responses of one block are compared with each other.
constexpr std::chrono::milliseconds BlockLength{1000};
/// A block that takes longer to fill would compare different conditions.
constexpr std::chrono::milliseconds MaxBlockLength{3000};
constexpr size_t MinBlockSize = 16;
constexpr size_t MaxBlockSize = 256;
/// The numbers in flight of the halves of a block must differ by this factor.
constexpr double MinContrast = 1.3;
/// A block says something about the slots if this share of them was in use.
constexpr double MinSlotShare = 0.7;
/// A comparison shows a knee if the throughput of the fuller half is that of
/// less than this share of its requests in flight.
constexpr double KneeShare = 0.8;
/// A knee needs this many comparisons, three quarters of which show it: single
/// ones are wrong where a slowdown begins or ends within the block.
constexpr size_t MinComparisons = 10;
constexpr size_t MaxComparisons = 16;
constexpr double KneeMajority = 0.75;
/// A knee is checked again after this time.
constexpr std::chrono::seconds KneeLifetime{20};
/// The check allows all slots in every second one of these intervals.
constexpr std::chrono::milliseconds CheckInterval{500};
/// A check with too little load for a result ends the limit after this time.
constexpr std::chrono::seconds MaxCheckTime{60};

/// A response, with its time relative to the mean of its route.
struct relative_response {
  double InFlight = 0;
  double LogTime = 0;
};

using response_iterator = std::vector<relative_response>::const_iterator;

double logOf(duration Time) {
  return std::log(
      std::max(1.0, std::chrono::duration<double, std::micro>(Time).count()));
}

/// Returns the times relative to the mean of their routes in the block.
std::vector<relative_response>
relativeToRoutes(const std::vector<server_response> &Block) {
  struct sum {
    double LogTime = 0;
    double Count = 0;
  };
  std::map<std::string, sum> Routes;
  for (const server_response &Response : Block) {
    sum &Sum = Routes[Response.Route];
    Sum.LogTime += logOf(Response.TimeAtServer);
    ++Sum.Count;
  }
  std::vector<relative_response> Result;
  Result.reserve(Block.size());
  for (const server_response &Response : Block) {
    const sum &Sum = Routes[Response.Route];
    Result.push_back({static_cast<double>(Response.InFlight),
                      logOf(Response.TimeAtServer) - Sum.LogTime / Sum.Count});
  }
  return Result;
}

double meanInFlight(response_iterator Begin, response_iterator End) {
  double Sum = 0;
  for (auto It = Begin; It != End; ++It)
    Sum += It->InFlight;
  return Sum / static_cast<double>(std::distance(Begin, End));
}

double medianLogTime(response_iterator Begin, response_iterator End) {
  std::vector<double> Times;
  std::transform(Begin, End, std::back_inserter(Times),
                 [](const relative_response &R) { return R.LogTime; });
  auto Middle =
      std::next(Times.begin(), static_cast<std::ptrdiff_t>(Times.size() / 2));
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

} // namespace

void throughput_knee::observe(const server_response &Response, time_point Now) {
  if (Block.empty())
    BlockStart = Now;
  if (Block.size() < MaxBlockSize)
    Block.push_back(Response);
  if (Now - BlockStart >= BlockLength && Block.size() >= MinBlockSize)
    closeBlock(Now);
  else if (Now - BlockStart >= MaxBlockLength)
    Block.clear();
}

std::optional<throughput_knee::comparison>
throughput_knee::compareHalves() const {
  std::vector<relative_response> Responses = relativeToRoutes(Block);
  std::stable_sort(Responses.begin(), Responses.end(),
                   [](const relative_response &A, const relative_response &B) {
                     return A.InFlight < B.InFlight;
                   });
  auto Middle = std::next(Responses.cbegin(),
                          static_cast<std::ptrdiff_t>(Responses.size() / 2));
  double Few = meanInFlight(Responses.cbegin(), Middle);
  double Many = meanInFlight(Middle, Responses.cend());
  bool UsesSlots = Many >= MinSlotShare * Slots && (!Knee || Many > *Knee);
  if (!UsesSlots || Many < MinContrast * Few)
    return std::nullopt;
  double Rise = std::exp(medianLogTime(Middle, Responses.cend()) -
                         medianLogTime(Responses.cbegin(), Middle));
  return comparison{Many, Many / Rise};
}

void throughput_knee::closeBlock(time_point Now) {
  auto Comparison = compareHalves();
  Block.clear();
  if (!Comparison)
    return;
  Comparisons.push_back(*Comparison);
  if (Comparisons.size() > MaxComparisons)
    Comparisons.pop_front();
  decide(Now);
}

void throughput_knee::decide(time_point Now) {
  if (Comparisons.size() < MinComparisons)
    return;
  std::vector<double> Equivalents;
  double Count = 0;
  for (const comparison &Comparison : Comparisons) {
    Equivalents.push_back(Comparison.Equivalent);
    Count += Comparison.Equivalent < KneeShare * Comparison.InFlight ? 1 : 0;
  }
  bool IsKnee = Count >= KneeMajority * static_cast<double>(Comparisons.size());
  if (!IsKnee) {
    Knee.reset();
    return;
  }
  auto Middle = std::next(Equivalents.begin(),
                          static_cast<std::ptrdiff_t>(Equivalents.size() / 2));
  std::nth_element(Equivalents.begin(), Middle, Equivalents.end());
  auto Rounded = static_cast<uint32_t>(std::ceil(*Middle));
  Knee = std::clamp(Rounded, 1U, std::max(1U, Slots));
  FoundAt = Now;
  Comparisons.clear();
}

uint32_t throughput_knee::settledLimit(time_point Now) const {
  uint32_t Most = std::max(1U, Slots);
  bool IsInForce = Knee && Now - FoundAt < KneeLifetime + MaxCheckTime;
  return IsInForce ? std::min(*Knee, Most) : Most;
}

uint32_t throughput_knee::limit(time_point Now) const {
  duration CheckTime = Now - FoundAt - KneeLifetime;
  bool AllowsAll =
      CheckTime >= duration{0} && CheckTime / CheckInterval % 2 == 0;
  return AllowsAll ? std::max(1U, Slots) : settledLimit(Now);
}

} // namespace dragonflyvane
