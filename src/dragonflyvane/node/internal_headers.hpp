/// Header fields that daemons set for each other and for backend servers. The
/// entrance removes them from what callers send.
#ifndef DRAGONFLYVANE_NODE_INTERNAL_HEADERS_HPP
#define DRAGONFLYVANE_NODE_INTERNAL_HEADERS_HPP

namespace dragonflyvane {

inline constexpr const char *ServiceHeader = "x-dragonflyvane-service";
/// The slice's index; absent on spread routes.
inline constexpr const char *SliceHeader = "x-dragonflyvane-slice";
inline constexpr const char *WorkspaceHeader = "x-dragonflyvane-workspace";
/// SHA-256 of the caller key; between daemons only.
inline constexpr const char *CallerHeader = "x-dragonflyvane-caller";
/// Milliseconds left for the request.
inline constexpr const char *TimeoutHeader = "x-dragonflyvane-timeout-ms";
/// `urgent`, or absent.
inline constexpr const char *ClassHeader = "x-dragonflyvane-class";
/// The fencing token, `EPOCH.RANK`; to backend servers only.
inline constexpr const char *TokenHeader = "x-dragonflyvane-token";

inline constexpr const char *RequestIdHeader = "x-request-id";

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_INTERNAL_HEADERS_HPP
