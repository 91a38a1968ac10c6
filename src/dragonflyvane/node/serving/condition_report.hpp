/// What one daemon tells another about the condition of a backend server. It
/// travels with each forwarded request and each result, so that a daemon that
/// has restarted learns again what its peers are bound by.
#ifndef DRAGONFLYVANE_NODE_SERVING_CONDITION_REPORT_HPP
#define DRAGONFLYVANE_NODE_SERVING_CONDITION_REPORT_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace dragonflyvane {

/// The condition of one incarnation of a backend server.
struct condition_report {
  server_incarnation Incarnation;
  /// Requests per second that the server takes; none if it names no limit.
  std::optional<double> RateLimit;
  /// How long it is known that the server leaves; none if it does not.
  std::optional<std::chrono::milliseconds> LeavingFor;

  bool operator==(const condition_report &) const = default;
};

/// Encodes a report as the value of a header field:
/// `STARTED_MS,LIMIT,LEAVING_MS,INSTANCE`, with `-` for what is not known.
std::string encodeConditionReport(const condition_report &Report);
/// The reverse of `encodeConditionReport`; nothing if the text is malformed.
std::optional<condition_report> decodeConditionReport(const std::string &Text);

/// The conditions that the backend servers of all hosts last showed.
class known_conditions {
public:
  /// Records the report that came with a response of a host's server; no report
  /// means that the server has neither a limit nor leaves.
  void observe(const std::string &Host,
               const std::optional<condition_report> &Report, time_point Now);
  /// Returns the report to send with a request for the host; none if its server
  /// has neither a limit nor leaves, as far as is known.
  std::optional<condition_report> reportFor(const std::string &Host,
                                            time_point Now) const;

private:
  struct entry {
    condition_report Report;
    time_point At{};
  };
  std::map<std::string, entry> Entries;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_SERVING_CONDITION_REPORT_HPP
