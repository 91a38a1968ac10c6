/// Logging as JSON lines on standard output, with Boost.Log. A line is dropped
/// if writing it would block; the next line that is written has the number of
/// dropped lines in `lines_dropped`.
#ifndef DRAGONFLYVANE_NET_LOG_HPP
#define DRAGONFLYVANE_NET_LOG_HPP

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <variant>

namespace dragonflyvane {

/// Severity of a log line, in ascending order.
enum class log_level { Debug, Info, Warning, Error };

/// A field of a log line, such as `step`, `peer` or `request_id`. Long strings
/// are truncated when the line is written.
struct log_field {
  log_field(std::string Name, std::string Value)
      : Name(std::move(Name)), Value(std::move(Value)) {}
  log_field(std::string Name, const char *Value)
      : Name(std::move(Name)), Value(std::string(Value)) {}
  template <typename Integer>
  requires std::integral<Integer> log_field(std::string Name, Integer Value)
      : Name(std::move(Name)), Value(static_cast<int64_t>(Value)) {}

  std::string Name;
  std::variant<std::string, int64_t> Value;
};

/// Sets up the sink and drops lines below `MinLevel`. To be called once, before
/// the first line is written.
void initLogging(log_level MinLevel);

/// Sets the value of the field `host` of all later lines.
void setLogHost(const std::string &Host);

/// Writes one line; `Message` becomes its field `message`.
///
///     writeLog(log_level::Info, "lease renewed", {{"peer", "erie-2"}});
void writeLog(log_level Level, const std::string &Message,
              std::initializer_list<log_field> Fields = {});

/// Writes one line about a request at level `Info`. The lines are rate-limited;
/// the next line after suppressed ones has their number in `lines_left_out`.
void writeRequestLog(const std::string &Message,
                     std::initializer_list<log_field> Fields);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_LOG_HPP
