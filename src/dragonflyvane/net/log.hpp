/// Logs as JSON lines on standard output, by Boost.Log. A line is dropped, and
/// counted, rather than waited for.
#ifndef DRAGONFLYVANE_NET_LOG_HPP
#define DRAGONFLYVANE_NET_LOG_HPP

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <variant>

namespace dragonflyvane {

enum class log_level { Debug, Info, Warning, Error };

/// One field of a log line, such as `step`, `peer` or `request_id`.
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

/// Sets up the sink; to be called before the first line, and once.
void initLogging(log_level Least);

/// From now on every line carries the host's name.
void setLogHost(const std::string &Host);

/// Writes one line.
///
///     writeLog(log_level::Info, "lease renewed", {{"peer", "erie-2"}});
void writeLog(log_level Level, const std::string &Message,
              std::initializer_list<log_field> Fields = {});

/// Writes one line about a request, unless too many were written of late; the
/// next line then says how many were left out.
void writeRequestLog(const std::string &Message,
                     std::initializer_list<log_field> Fields);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_LOG_HPP
