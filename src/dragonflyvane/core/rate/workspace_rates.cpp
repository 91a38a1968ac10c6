#include "dragonflyvane/core/rate/workspace_rates.hpp"

namespace dragonflyvane {

namespace {

/// The fraction of a rate that is split evenly between the hosts; the rest is
/// in the rate pool.
constexpr double EvenSplitFraction = 0.5;
/// A request to the pool asks for the tokens that the share of the host gets in
/// this time.
constexpr double PoolRequestSeconds = 0.2;
/// Unused tokens from the pool expire, which bounds how many a host can
/// collect.
constexpr std::chrono::milliseconds PoolTokenLifetime{500};
/// The shortest delay before another request to an empty pool.
constexpr std::chrono::milliseconds MinPoolRetryDelay{20};

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
  double Fraction =
      EvenSplitFraction / static_cast<double>(std::max<size_t>(1, Hosts));
  keepOnly(Shares, Workspaces);
  for (const auto &[Name, Workspace] : Workspaces) {
    if (Workspace.Rate <= 0) {
      Shares.erase(Name);
      continue;
    }
    auto [Found, IsNew] = Shares.try_emplace(Name);
    workspace_share &Share = Found->second;
    double Rate = Workspace.Rate * Fraction;
    double Burst = std::max(1.0, Workspace.Burst * Fraction);
    Share.Rate = Rate;
    if (IsNew)
      Share.LocalBucket = token_bucket(Rate, Burst, Now);
    else
      Share.LocalBucket.resize(Rate, Burst, Now);
  }
}

rate_decision host_rate_share::take(const std::string &Workspace,
                                    time_point Now) {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return rate_decision::Granted;
  workspace_share &Share = Found->second;
  if (Share.LocalBucket.take(1, Now))
    return rate_decision::Granted;
  if (Share.PoolTokens >= 1 && Now < Share.PoolTokensExpiry) {
    Share.PoolTokens -= 1;
    return rate_decision::Granted;
  }
  return Now < Share.NextPoolRequest ? rate_decision::Refused
                                     : rate_decision::RequestFromPool;
}

void host_rate_share::refund(const std::string &Workspace) {
  auto Found = Shares.find(Workspace);
  if (Found != Shares.end())
    Found->second.LocalBucket.refund();
}

double host_rate_share::poolRequestSize(const std::string &Workspace) const {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return 1;
  return std::max(1.0, std::ceil(Found->second.Rate * PoolRequestSeconds));
}

void host_rate_share::onPoolResponse(const std::string &Workspace,
                                     double Tokens, duration PoolRetryAfter,
                                     time_point Now) {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return;
  workspace_share &Share = Found->second;
  if (Tokens < 1) {
    Share.NextPoolRequest =
        Now + std::max<duration>(PoolRetryAfter, MinPoolRetryDelay);
    return;
  }
  bool IsUnexpired = Now < Share.PoolTokensExpiry;
  Share.PoolTokens = (IsUnexpired ? Share.PoolTokens : 0) + Tokens;
  Share.PoolTokensExpiry = Now + PoolTokenLifetime;
}

duration host_rate_share::retryAfter(const std::string &Workspace) const {
  auto Found = Shares.find(Workspace);
  if (Found == Shares.end())
    return std::chrono::milliseconds(100);
  return Found->second.LocalBucket.timeUntilToken();
}

void rate_pool::configure(const std::map<std::string, workspace> &Workspaces,
                          time_point Now) {
  keepOnly(Buckets, Workspaces);
  for (const auto &[Name, Workspace] : Workspaces) {
    double Rate = Workspace.Rate * (1 - EvenSplitFraction);
    double Burst = std::max(1.0, Workspace.Burst * (1 - EvenSplitFraction));
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
  PoolRetryAfter =
      Taken > 0 ? duration::zero() : Found->second.timeUntilToken();
  return Taken;
}

} // namespace dragonflyvane
