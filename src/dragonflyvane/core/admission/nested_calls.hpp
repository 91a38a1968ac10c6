/// Recognises the calls that the local backend server makes while it runs
/// requests.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_NESTED_CALLS_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_NESTED_CALLS_HPP

#include "dragonflyvane/core/clock.hpp"

#include <map>
#include <optional>
#include <string>

namespace dragonflyvane {

/// What a daemon observes of a request that arrives.
struct call_origin {
  std::string Route;
  /// Whether the route accepts requests without a caller key, and this one has
  /// none.
  bool IsAnonymous = false;
  /// Whether callers identify themselves by keys.
  bool HasWorkspaces = false;
  /// The remote address of the connection; empty if it is unknown.
  std::string Address;
  /// The address of the local backend server; empty if it is unknown.
  std::string ServerAddress;
  /// Whether requests run or wait at the local backend server.
  bool IsServerActive = false;
  /// Whether requests run at the local backend server.
  bool IsServerRunning = false;
};

/// Decides whether requests are nested calls. A wrong decision affects the
/// order of requests and whether a request begins during a shutdown, but never
/// the result of a request.
///
/// With caller keys, only servers send requests without a key. Otherwise a
/// nested call comes from the address of the backend server while that runs
/// requests, on a route that callers with other addresses do not use. The
/// address counts only while callers come from other addresses: on a host where
/// all share one, it proves nothing.
class nested_calls {
public:
  /// Records a request that arrives, and returns whether it is a nested call.
  bool observe(const call_origin &Origin, time_point Now);

private:
  /// The share of the recent requests of each route that did not come from the
  /// address of the backend server.
  std::map<std::string, double> ShareFromElsewhere;
  std::optional<time_point> LastFromElsewhere;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_NESTED_CALLS_HPP
