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

void host_rates::configure(const std::map<std::string, workspace> &Workspaces,
                           size_t Hosts, time_point Now) {
  double Share = SplitPart / static_cast<double>(std::max<size_t>(1, Hosts));
  keepOnly(Parts, Workspaces);
  for (const auto &[Name, Workspace] : Workspaces) {
    if (Workspace.Rate <= 0) {
      Parts.erase(Name);
      continue;
    }
    auto [Found, IsNew] = Parts.try_emplace(Name);
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

rate_verdict host_rates::take(const std::string &Workspace, time_point Now) {
  auto Found = Parts.find(Workspace);
  if (Found == Parts.end())
    return rate_verdict::Granted;
  part &Part = Found->second;
  if (Part.Own.take(1, Now))
    return rate_verdict::Granted;
  if (Part.Chunk >= 1 && Now < Part.ChunkEnd) {
    Part.Chunk -= 1;
    return rate_verdict::Granted;
  }
  return Now < Part.NextAsk ? rate_verdict::Refused : rate_verdict::AskPool;
}

void host_rates::giveBack(const std::string &Workspace) {
  auto Found = Parts.find(Workspace);
  if (Found != Parts.end())
    Found->second.Own.giveBack();
}

double host_rates::chunk(const std::string &Workspace) const {
  auto Found = Parts.find(Workspace);
  if (Found == Parts.end())
    return 1;
  return std::max(1.0, std::ceil(Found->second.Rate * ChunkSeconds));
}

void host_rates::onChunk(const std::string &Workspace, double Tokens,
                         duration AskAfter, time_point Now) {
  auto Found = Parts.find(Workspace);
  if (Found == Parts.end())
    return;
  part &Part = Found->second;
  if (Tokens < 1) {
    Part.NextAsk = Now + std::max<duration>(AskAfter, ShortestAskPause);
    return;
  }
  bool Counts = Now < Part.ChunkEnd;
  Part.Chunk = (Counts ? Part.Chunk : 0) + Tokens;
  Part.ChunkEnd = Now + ChunkLife;
}

duration host_rates::retryAfter(const std::string &Workspace) const {
  auto Found = Parts.find(Workspace);
  if (Found == Parts.end())
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
                       duration &AskAfter, time_point Now) {
  auto Found = Buckets.find(Workspace);
  if (Found == Buckets.end())
    return 0;
  double Taken = Found->second.takeUpTo(Amount, Now);
  AskAfter = Taken > 0 ? duration::zero() : Found->second.untilNext();
  return Taken;
}

} // namespace dragonflyvane
