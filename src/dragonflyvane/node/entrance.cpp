#include "dragonflyvane/node/entrance.hpp"

#include "dragonflyvane/node/journey.hpp"

namespace dragonflyvane {

entrance::entrance(parts P)
    : Parts(P), Directory(Parts.View, Parts.Orders, Parts.Clock,
                          Parts.Settings.Host, Parts.Settings.FailureDomain),
      Random(std::random_device{}()) {}

entrance::~entrance() = default;

void entrance::serve(const exchange_pointer &Exchange) {
  std::make_shared<journey>(*this, Exchange)->begin();
}

void entrance::onClusterChange() {
  for (const auto &Weak : std::exchange(Waiting, {}))
    if (auto Journey = Weak.lock())
      Journey->lookAgain();
}

retry_budget &entrance::budgetOf(const std::string &Service) {
  auto Found = Budgets.find(Service);
  if (Found == Budgets.end())
    Found = Budgets
                .try_emplace(Service, Parts.Settings.RetryTerms,
                             std::max<size_t>(1, Parts.View.hosts().size()),
                             Parts.Clock.now())
                .first;
  return Found->second;
}

} // namespace dragonflyvane
