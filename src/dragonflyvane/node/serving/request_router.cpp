#include "dragonflyvane/node/serving/request_router.hpp"

#include "dragonflyvane/node/serving/active_request.hpp"

namespace dragonflyvane {

request_router::request_router(dependencies Dependencies)
    : Deps(Dependencies),
      OverloadControl(Deps.Settings.OverloadControl, Deps.OperatorState),
      HostSelector(Deps.View, Deps.OperatorState, Deps.Clock,
                   Deps.Settings.Host, Deps.Settings.FailureDomain),
      Random(std::random_device{}()) {}

request_router::~request_router() = default;

void request_router::serve(const exchange_pointer &Exchange) {
  std::make_shared<active_request>(*this, Exchange)->begin();
}

void request_router::onClusterChange() {
  for (const auto &Weak : std::exchange(WaitingForHost, {}))
    if (auto ActiveRequest = Weak.lock())
      ActiveRequest->retryHostLookup();
}

void request_router::endAll() {
  std::vector<std::shared_ptr<active_request>> Ending;
  for (active_request *Request : ActiveRequests)
    Ending.push_back(Request->shared_from_this());
  for (const auto &Request : Ending)
    Request->end();
}

retry_budget &request_router::retryBudgetFor(const std::string &Service) {
  auto Found = RetryBudgets.find(Service);
  if (Found == RetryBudgets.end())
    Found = RetryBudgets
                .try_emplace(Service, Deps.Settings.RetryBudgetOptions,
                             std::max<size_t>(1, Deps.View.hosts().size()),
                             Deps.Clock.now())
                .first;
  return Found->second;
}

} // namespace dragonflyvane
