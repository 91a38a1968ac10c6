/// The names of the header fields that callers, backend servers and daemons
/// exchange. The defaults are the project's own; a platform may have others.
#ifndef DRAGONFLYVANE_CORE_HEADER_NAMES_HPP
#define DRAGONFLYVANE_CORE_HEADER_NAMES_HPP

#include <string>

namespace dragonflyvane {

/// Header names, each with what the field holds.
struct header_names {
  /// From callers; echoed by backend servers.
  std::string RequestId = "X-Request-Id";
  /// From callers and to backend servers: milliseconds left.
  std::string TimeLeft = "X-Time-Left";
  /// From callers: the secret of a workspace. Never passed on.
  std::string CallerKey = "X-Caller-Key";
  /// From callers: the point of the request's key, a whole number.
  std::string KeyPoint = "X-Key-Point";
  /// To backend servers: the workspace of the caller.
  std::string Workspace = "X-Workspace";
  /// To backend servers: the service beside which the request began.
  std::string OriginService = "X-Origin-Service";
  /// To backend servers: the instance that is meant.
  std::string ExpectedInstance = "X-Meant-Instance";
  /// From backend servers: the mark of an answer that they made.
  std::string Signature = "X-Signature";
  /// From backend servers: the request has not run.
  std::string NotRun = "X-Not-Run";
  /// From backend servers: running, waiting and slots, and the machine's
  /// slowness in percent.
  std::string Load = "X-Load";
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_HEADER_NAMES_HPP
