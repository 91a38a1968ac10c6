#include "dragonflyvane/core/admission/server_condition.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace dragonflyvane {

std::optional<double> parseRateLimit(std::string_view Text) {
  double Rate = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Rate, std::chars_format::fixed);
  bool IsNumber = Read.ec == std::errc() && Read.ptr == End;
  if (!IsNumber || !std::isfinite(Rate) || std::signbit(Rate))
    return std::nullopt;
  return std::min(Rate, MaxRateLimit);
}

server_condition conditionAfter(const server_condition &Previous,
                                const header_list &Headers,
                                const header_names &Names) {
  server_condition Condition = Previous;
  if (Headers.find(Names.Leaving) == "1")
    Condition.IsLeaving = true;
  auto Limit = Headers.find(Names.RateLimit);
  if (!Limit)
    Condition.RateLimit.reset();
  else if (auto Rate = parseRateLimit(*Limit))
    Condition.RateLimit = Rate;
  return Condition;
}

} // namespace dragonflyvane
