/// Strict reading of JSON documents that other programs wrote. A value of
/// another type or outside its range is an error; it is never converted.
#ifndef DRAGONFLYVANE_CORE_JSON_FIELDS_HPP
#define DRAGONFLYVANE_CORE_JSON_FIELDS_HPP

#include "dragonflyvane/core/error.hpp"

#include <nlohmann/json.hpp>

#include <cmath>
#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace dragonflyvane {

/// Parses a document. Throws `step_error` if it is malformed, contains a number
/// that no double can hold, or is nested more deeply than any message of this
/// system.
nlohmann::json parseJson(std::string_view Text);

/// Throws the error of a field that is missing or that has no valid value.
[[noreturn]] void rejectJsonField(std::string_view Field,
                                  std::string_view Expected);

/// Returns the field; throws `step_error` if it is missing or `Object` is not
/// an object.
const nlohmann::json &requireField(const nlohmann::json &Object,
                                   const char *Field);

/// Returns the list in a field. Other values can be iterated like lists, too.
const nlohmann::json &requireList(const nlohmann::json &Object,
                                  const char *Field);

/// Returns the text of a string field that is not empty.
std::string requireText(const nlohmann::json &Object, const char *Field);

/// Returns a whole number from `Min` to `Max`; throws `step_error` with the
/// name `Field` for anything else.
template <std::integral Number>
Number toInteger(const nlohmann::json &Value, std::string_view Field,
                 Number Min = std::numeric_limits<Number>::min(),
                 Number Max = std::numeric_limits<Number>::max()) {
  auto IsInRange = [&](auto Integer) {
    return std::cmp_greater_equal(Integer, Min) &&
           std::cmp_less_equal(Integer, Max);
  };
  bool IsValid =
      Value.is_number_unsigned()
          ? IsInRange(Value.get<uint64_t>())
          : Value.is_number_integer() && IsInRange(Value.get<int64_t>());
  if (!IsValid)
    rejectJsonField(Field, "a whole number from " + std::to_string(Min) +
                               " to " + std::to_string(Max));
  return Value.get<Number>();
}

/// Returns a whole number from `Min` to `Max`, which the object must contain.
template <std::integral Number>
Number requireInteger(const nlohmann::json &Object, const char *Field,
                      Number Min = std::numeric_limits<Number>::min(),
                      Number Max = std::numeric_limits<Number>::max()) {
  return toInteger<Number>(requireField(Object, Field), Field, Min, Max);
}

/// Returns a whole number from `Min` to `Max`, or `Default` if the object does
/// not contain the field.
template <std::integral Number>
Number optionalInteger(const nlohmann::json &Object, const char *Field,
                       Number Default,
                       Number Min = std::numeric_limits<Number>::min(),
                       Number Max = std::numeric_limits<Number>::max()) {
  return Object.contains(Field)
             ? toInteger<Number>(Object.at(Field), Field, Min, Max)
             : Default;
}

/// Returns a finite number from 0 to `Max`, which the object must contain.
double requireNumber(const nlohmann::json &Object, const char *Field,
                     double Max = std::numeric_limits<double>::max());

/// Returns a finite number from 0 to `Max`, or `Default` if the object does not
/// contain the field.
double optionalNumber(const nlohmann::json &Object, const char *Field,
                      double Default,
                      double Max = std::numeric_limits<double>::max());

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_JSON_FIELDS_HPP
