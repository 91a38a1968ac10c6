/// The names of the header fields that callers, backend servers and daemons
/// exchange. A platform may replace the default names by its own.
#ifndef DRAGONFLYVANE_CORE_HEADER_NAMES_HPP
#define DRAGONFLYVANE_CORE_HEADER_NAMES_HPP

#include <string>

namespace dragonflyvane {

/// Header names, each described by the content of its field.
struct header_names {
  /// From callers, and repeated in responses of backend servers: identifies the
  /// request.
  std::string RequestId = "X-Request-Id";
  /// From callers and to backend servers: milliseconds until the deadline.
  std::string TimeLeft = "X-Time-Left";
  /// From callers: the secret of a workspace. It is never forwarded.
  std::string CallerKey = "X-Caller-Key";
  /// From callers: the key point of the request, a whole number.
  std::string KeyPoint = "X-Key-Point";
  /// To backend servers: the workspace of the caller.
  std::string Workspace = "X-Workspace";
  /// To backend servers: the service of the host that the caller connected to.
  std::string OriginService = "X-Origin-Service";
  /// To backend servers: the instance that the request is intended for.
  std::string ExpectedInstance = "X-Meant-Instance";
  /// From backend servers: marks a response as produced by the backend server.
  std::string Signature = "X-Signature";
  /// From backend servers: states that the request was not executed.
  std::string NotRun = "X-Not-Run";
  /// From backend servers: the number of running requests, of waiting requests
  /// and of slots, and the slowness of the machine in percent.
  std::string Load = "X-Load";
  /// From backend servers: the requests per second that the server takes from
  /// all hosts together, a decimal number.
  std::string RateLimit = "X-Rate-Limit";
  /// From backend servers: `1` if the server leaves.
  std::string Leaving = "X-Leaving";
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_HEADER_NAMES_HPP
