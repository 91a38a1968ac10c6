#include "dragonflyvane/core/rate/workspace_rates.hpp"

namespace dragonflyvane {

namespace {

/// The part of a rate that is split evenly between the hosts.
constexpr double SplitPart = 0.5;
/// A chunk holds so many seconds of a host's even share.
constexpr double ChunkSeconds = 0.2;
constexpr std::chrono::milliseconds ChunkLife{500};
/// The shortest pause before an empty pool is asked again.
constexpr std::chrono::milliseconds ShortestAskPause{20};

template <typename Value>
void keepOnly(std::map<std::string, Value> &Map,
              const std::map<std::string, workspace> &Workspaces) {
  std::erase_if(Map, [&](const auto &Entry) {
    return !Workspaces.contains(Entry.first);
  });
}

} // namespace

void host_rate_share::configure(
    const std::map<std::string, workspace> &Workspaces, size_t Hosts,
    time_point Now) {
  double Share = SplitPart / static_cast<double>(std::max<size_t>(1, Hosts));
  keepOnly(Shares, Workspaces);
  for (const auto &[Name, Workspace] : Workspaces) {
    if (Workspace.Rate <= 0) {
      Shares.erase(Name);
      continue;
    }
    auto [Found, IsNew] = Shares.try_emplace(Name);
    part &Part = Found->second;
    double Rate = Workspace.Rate * Share;
    double Burst = std::max(1.0, Workspace.Burst * Share);
    Part.Rate = Rate;
    if (IsNew)
      Part.Own = token_bucket(Rate, Burst, Now);
    else
      Part.Own.resize(Rate, Burst, Now);
  }
}

rate_decision host_rate_share::take(const std::string &Workspace,
                                    time_point Now) {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return rate_decision::Granted;
  part &Part = Found->second;
  if (Part.Own.take(1, Now))
    return rate_decision::Granted;
  if (Part.Chunk >= 1 && Now < Part.ChunkEnd) {
    Part.Chunk -= 1;
    return rate_decision::Granted;
  }
  return Now < Part.NextAsk ? rate_decision::Refused : rate_decision::AskPool;
}

void host_rate_share::refund(const std::string &Workspace) {
  auto Found = Shares.find(Workspace);
  if (Found != Shares.end())
    Found->second.Own.refund();
}

double host_rate_share::poolRequestSize(const std::string &Workspace) const {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return 1;
  return std::max(1.0, std::ceil(Found->second.Rate * ChunkSeconds));
}

void host_rate_share::onPoolResponse(const std::string &Workspace,
                                     double Tokens, duration PoolRetryAfter,
                                     time_point Now) {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return;
  part &Part = Found->second;
  if (Tokens < 1) {
    Part.NextAsk = Now + std::max<duration>(PoolRetryAfter, ShortestAskPause);
    return;
  }
  bool Counts = Now < Part.ChunkEnd;
  Part.Chunk = (Counts ? Part.Chunk : 0) + Tokens;
  Part.ChunkEnd = Now + ChunkLife;
}

duration host_rate_share::retryAfter(const std::string &Workspace) const {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return std::chrono::milliseconds(100);
  return Found->second.Own.untilNext();
}

void rate_pool::configure(const std::map<std::string, workspace> &Workspaces,
                          time_point Now) {
  keepOnly(Buckets, Workspaces);
  for (const auto &[Name, Workspace] : Workspaces) {
    double Rate = Workspace.Rate * (1 - SplitPart);
    double Burst = std::max(1.0, Workspace.Burst * (1 - SplitPart));
    auto [Found, IsNew] = Buckets.try_emplace(Name, Rate, Burst, Now);
    if (!IsNew)
      Found->second.resize(Rate, Burst, Now);
  }
}

double rate_pool::take(const std::string &Workspace, double Amount,
                       duration &PoolRetryAfter, time_point Now) {
  auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return 0;
  double Taken = Found->second.takeUpTo(Amount, Now);
  PoolRetryAfter = Taken > 0 ? duration::zero() : Found->second.untilNext();
  return Taken;
}

} // namespace dragonflyvane
