#include "dragonflyvane/core/admission/priority_floor.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A priority saves the credit of at most this number of its requests. More
/// would let a burst of less urgent requests delay urgent ones.
constexpr int MaxSavedRequests = 2;

} // namespace

void priority_floor::onStart(int Priority, duration Work,
                             const priority_demand &Demand, time_point Now) {
  for (const auto &[Other, Share] : Demand.shares(Now)) {
    account &Account = Accounts[Other];
    if (Account.Work == duration{0} || Other == Priority)
      Account.Work = Work;
    auto Earned =
        std::chrono::duration_cast<duration>(Work * Share * FractionOfShare);
    Account.Credit =
        std::min(Account.Credit + Earned, Account.Work * MaxSavedRequests);
  }
  account &Own = Accounts[Priority];
  Own.Credit = std::max(duration{0}, Own.Credit - Work);
}

duration priority_floor::creditOf(int Priority) const {
  auto Found = Accounts.find(Priority);
  return Found == Accounts.end() ? duration{0} : Found->second.Credit;
}

} // namespace dragonflyvane
