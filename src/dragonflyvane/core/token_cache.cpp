#include "dragonflyvane/core/token_cache.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

namespace {

/// Requests of one workspace that wait here for a token.
constexpr size_t MaxWaiting = 1024;
/// An ask without an answer is given up after this time; a late answer's
/// tokens stay unused.
constexpr std::chrono::milliseconds AskTimeout{100};
/// Pause after an answer that left requests waiting.
constexpr std::chrono::milliseconds AskPause{10};
/// A chunk is meant to cover the demand of so long.
constexpr std::chrono::milliseconds ChunkCovers{50};
constexpr std::chrono::milliseconds DemandPeriod{200};
constexpr double DemandSmoothing = 0.5;
constexpr size_t FinishedPerAsk = 32;

} // namespace

bool token_cache::spend(purse &Purse, time_point Now) {
  expireChunks(Purse, Now);
  if (Purse.Chunks.empty())
    return false;
  chunk &First = Purse.Chunks.front();
  if (--First.Left == 0) {
    Purse.Finished.push_back({First.Sequence, 0});
    Purse.Chunks.pop_front();
  }
  return true;
}

void token_cache::expireChunks(purse &Purse, time_point Now) {
  while (!Purse.Chunks.empty() && Now >= Purse.Chunks.front().Expires) {
    const chunk &First = Purse.Chunks.front();
    Purse.Finished.push_back({First.Sequence, First.Left});
    Purse.Chunks.pop_front();
  }
}

void token_cache::measureDemand(purse &Purse, time_point Now) {
  duration Passed = Now - Purse.DemandSince;
  if (Passed < DemandPeriod)
    return;
  double Rate = static_cast<double>(Purse.Arrived) /
                std::chrono::duration<double>(Passed).count();
  Purse.Demand += DemandSmoothing * (Rate - Purse.Demand);
  Purse.Arrived = 0;
  Purse.DemandSince = Now;
}

uint32_t token_cache::wanted(const purse &Purse) {
  double Covered =
      Purse.Demand * std::chrono::duration<double>(ChunkCovers).count();
  uint32_t Ahead = static_cast<uint32_t>(std::floor(Covered));
  return static_cast<uint32_t>(Purse.Waiting.size()) + Ahead;
}

void token_cache::serveWaiting(purse &Purse, time_point Now) {
  std::vector<callback> Served;
  while (!Purse.Waiting.empty() && spend(Purse, Now)) {
    Served.push_back(std::move(Purse.Waiting.front().Callback));
    Purse.Waiting.pop_front();
  }
  for (const callback &Callback : Served)
    Callback(true);
}

void token_cache::take(const std::string &Workspace, time_point Deadline,
                       time_point Now, callback Callback) {
  purse &Purse = Purses[Workspace];
  ++Purse.Arrived;
  measureDemand(Purse, Now);
  if (Purse.Waiting.empty() && spend(Purse, Now))
    return Callback(true);
  if (Purse.Waiting.size() >= MaxWaiting)
    return Callback(false);
  Purse.Waiting.push_back({Deadline, std::move(Callback)});
}

void token_cache::onGrant(const token_grant &Grant, time_point Now) {
  auto Found = Purses.find(Grant.Workspace);
  if (Found == Purses.end())
    return;
  purse &Purse = Found->second;
  if (Purse.Asked != Grant.Sequence) {
    // The ask was given up; its tokens go back unused.
    Purse.Finished.push_back({Grant.Sequence, Grant.Tokens});
    return;
  }
  Purse.Asked = 0;
  if (Grant.Tokens > 0)
    Purse.Chunks.push_back(
        {Grant.Sequence, Grant.Tokens, Purse.AskedAt + ChunkLife});
  serveWaiting(Purse, Now);
  Purse.NextAsk = Purse.Waiting.empty() ? Now : Now + AskPause;
}

void token_cache::tick(time_point Now) {
  std::vector<callback> Late;
  for (auto &[Workspace, Purse] : Purses) {
    measureDemand(Purse, Now);
    expireChunks(Purse, Now);
    if (Purse.Asked != 0 && Now - Purse.AskedAt > AskTimeout)
      Purse.Asked = 0;
    auto IsLate = [&](waiter &Waiter) { return Now >= Waiter.Deadline; };
    for (waiter &Waiter : Purse.Waiting)
      if (IsLate(Waiter))
        Late.push_back(std::move(Waiter.Callback));
    std::erase_if(Purse.Waiting, IsLate);
  }
  for (const callback &Callback : Late)
    Callback(false);
}

std::vector<token_ask> token_cache::takeAsks(time_point Now) {
  std::vector<token_ask> Asks;
  for (auto &[Workspace, Purse] : Purses) {
    bool HasNeed = !Purse.Waiting.empty();
    bool ShouldReport = !Purse.Finished.empty();
    bool MayAsk = Purse.Asked == 0 && Now >= Purse.NextAsk;
    if (!MayAsk || (!HasNeed && !ShouldReport))
      continue;
    token_ask Ask;
    Ask.Workspace = Workspace;
    Ask.Sequence = ++LastSequence;
    Ask.Wanted = HasNeed ? wanted(Purse) : 0;
    size_t Count = std::min(Purse.Finished.size(), FinishedPerAsk);
    auto End = Purse.Finished.begin() + static_cast<ptrdiff_t>(Count);
    Ask.Finished.assign(Purse.Finished.begin(), End);
    Purse.Finished.erase(Purse.Finished.begin(), End);
    Purse.Asked = Ask.Sequence;
    Purse.AskedAt = Now;
    Asks.push_back(std::move(Ask));
  }
  return Asks;
}

} // namespace dragonflyvane
