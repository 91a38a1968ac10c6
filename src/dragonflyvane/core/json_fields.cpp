#include "dragonflyvane/core/json_fields.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The parser needs memory for each level, many times its size in the text.
constexpr int MaxNesting = 32;

/// Returns the number of levels of the most deeply nested value, or a number
/// above `MaxNesting` as soon as that is reached.
int nestingOf(std::string_view Text) {
  int Level = 0;
  int Deepest = 0;
  bool IsInString = false;
  for (size_t I = 0; I < Text.size() && Deepest <= MaxNesting; ++I) {
    char C = Text[I];
    if (IsInString && C == '\\')
      ++I;
    else if (C == '"')
      IsInString = !IsInString;
    else if (!IsInString && (C == '[' || C == '{'))
      Deepest = std::max(Deepest, ++Level);
    else if (!IsInString && (C == ']' || C == '}'))
      --Level;
  }
  return Deepest;
}

} // namespace

void rejectJsonField(std::string_view Field, std::string_view Expected) {
  throw step_error("json", std::string(Field),
                   "expected " + std::string(Expected));
}

nlohmann::json parseJson(std::string_view Text) {
  if (nestingOf(Text) > MaxNesting)
    throw step_error("json", "", "nested too deeply");
  try {
    return nlohmann::json::parse(Text);
  } catch (const nlohmann::json::exception &Error) {
    throw step_error("json", "", Error.what());
  }
}

const nlohmann::json &requireField(const nlohmann::json &Object,
                                   const char *Field) {
  if (!Object.is_object() || !Object.contains(Field))
    rejectJsonField(Field, "a value; the field is missing");
  return Object.at(Field);
}

const nlohmann::json &requireList(const nlohmann::json &Object,
                                  const char *Field) {
  const nlohmann::json &List = requireField(Object, Field);
  if (!List.is_array())
    rejectJsonField(Field, "a list");
  return List;
}

std::string requireText(const nlohmann::json &Object, const char *Field) {
  const nlohmann::json &Value = requireField(Object, Field);
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    rejectJsonField(Field, "a string that is not empty");
  return Value.get<std::string>();
}

double requireNumber(const nlohmann::json &Object, const char *Field,
                     double Max) {
  const nlohmann::json &Value = requireField(Object, Field);
  bool IsValid = Value.is_number() && std::isfinite(Value.get<double>()) &&
                 Value.get<double>() >= 0 && Value.get<double>() <= Max;
  if (!IsValid)
    rejectJsonField(Field, "a number from 0 to " + std::to_string(Max));
  return Value.get<double>();
}

double optionalNumber(const nlohmann::json &Object, const char *Field,
                      double Default, double Max) {
  return Object.contains(Field) ? requireNumber(Object, Field, Max) : Default;
}

} // namespace dragonflyvane
