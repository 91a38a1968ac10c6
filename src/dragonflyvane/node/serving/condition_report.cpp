#include "dragonflyvane/node/serving/condition_report.hpp"

#include "dragonflyvane/core/admission/server_condition.hpp"

#include <array>
#include <charconv>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace dragonflyvane {

namespace {

constexpr std::string_view Nothing = "-";

std::optional<int64_t> parseInteger(std::string_view Text) {
  int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Value;
}

} // namespace

std::string encodeConditionReport(const condition_report &Report) {
  std::ostringstream Text;
  Text << Report.Incarnation.StartedAtMs << ',';
  if (Report.RateLimit)
    Text << std::fixed << std::setprecision(3) << *Report.RateLimit;
  else
    Text << Nothing;
  Text << ',';
  if (Report.LeavingFor)
    Text << Report.LeavingFor->count();
  else
    Text << Nothing;
  Text << ',' << Report.Incarnation.Instance;
  return Text.str();
}

std::optional<condition_report> decodeConditionReport(const std::string &Text) {
  std::array<std::string_view, 3> Fields;
  std::string_view Rest = Text;
  for (std::string_view &Field : Fields) {
    size_t Comma = Rest.find(',');
    if (Comma == std::string_view::npos)
      return std::nullopt;
    Field = Rest.substr(0, Comma);
    Rest.remove_prefix(Comma + 1);
  }
  auto StartedAtMs = parseInteger(Fields[0]);
  auto RateLimit = parseRateLimit(Fields[1]);
  auto LeavingFor = parseInteger(Fields[2]);
  bool IsWhole = StartedAtMs && (RateLimit || Fields[1] == Nothing) &&
                 (LeavingFor || Fields[2] == Nothing);
  if (!IsWhole)
    return std::nullopt;
  condition_report Report;
  Report.Incarnation = {std::string(Rest), *StartedAtMs};
  Report.RateLimit = RateLimit;
  if (LeavingFor)
    Report.LeavingFor = std::chrono::milliseconds(*LeavingFor);
  return Report;
}

void known_conditions::observe(const std::string &Host,
                               const std::optional<condition_report> &Report,
                               time_point Now) {
  if (Report)
    Entries[Host] = {*Report, Now};
  else
    Entries.erase(Host);
}

std::optional<condition_report>
known_conditions::reportFor(const std::string &Host, time_point Now) const {
  auto Found = Entries.find(Host);
  if (Found == Entries.end())
    return std::nullopt;
  condition_report Report = Found->second.Report;
  if (Report.LeavingFor)
    *Report.LeavingFor += std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Found->second.At);
  return Report;
}

} // namespace dragonflyvane
