#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include "dragonflyvane/core/error.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace dragonflyvane {

namespace {

bool sameButPoints(const owned_range &A, const owned_range &B) {
  owned_range Moved = B;
  Moved.First = A.First;
  Moved.Last = A.Last;
  return A == Moved;
}

owned_range decodeRange(const nlohmann::json &Row) {
  owned_range Range;
  Range.First = Row.at(0).get<key_point>();
  Range.Last = Row.at(1).get<key_point>();
  Range.Owner = Row.at(2).get<std::string>();
  Range.Life = {Row.at(3).get<std::string>(), Row.at(4).get<int64_t>()};
  Range.Token = Row.at(5).get<uint64_t>();
  Range.Handover = Row.at(6).get<std::string>();
  Range.Next = Row.at(7).get<std::string>();
  return Range;
}

bool coversAll(const std::vector<owned_range> &Ranges) {
  key_point Expected = 0;
  for (const owned_range &Range : Ranges) {
    if (Range.First != Expected || Range.Last < Range.First ||
        Range.Last > LastPoint)
      return false;
    Expected = Range.Last + 1;
  }
  return Expected == LastPoint + 1;
}

} // namespace

const owned_range &ownership_map::find(key_point Point) const {
  auto After = std::upper_bound(
      Ranges.begin(), Ranges.end(), Point,
      [](key_point P, const owned_range &Range) { return P < Range.First; });
  return *std::prev(After);
}

void ownership_map::cutBefore(key_point Point) {
  for (size_t I = 0; I < Ranges.size(); ++I) {
    if (Point <= Ranges[I].First || Point > Ranges[I].Last)
      continue;
    owned_range Upper = Ranges[I];
    Upper.First = Point;
    Ranges[I].Last = Point - 1;
    Ranges.insert(Ranges.begin() + static_cast<ptrdiff_t>(I) + 1, Upper);
    return;
  }
}

void ownership_map::join() {
  std::vector<owned_range> Joined;
  for (const owned_range &Range : Ranges) {
    if (!Joined.empty() && sameButPoints(Joined.back(), Range))
      Joined.back().Last = Range.Last;
    else
      Joined.push_back(Range);
  }
  Ranges = std::move(Joined);
}

std::string encodeMap(const ownership_map &Map) {
  nlohmann::json Rows = nlohmann::json::array();
  for (const owned_range &R : Map.Ranges)
    Rows.push_back({R.First, R.Last, R.Owner, R.Life.Instance, R.Life.Born,
                    R.Token, R.Handover, R.Next});
  return nlohmann::json{{"ranges", Rows}}.dump();
}

ownership_map decodeMap(const std::string &Text) {
  ownership_map Map;
  Map.Ranges.clear();
  try {
    const auto Document = nlohmann::json::parse(Text);
    for (const auto &Row : Document.at("ranges"))
      Map.Ranges.push_back(decodeRange(Row));
  } catch (const nlohmann::json::exception &Error) {
    throw step_error("ownership map", "", Error.what());
  }
  if (!coversAll(Map.Ranges))
    throw step_error("ownership map", "", "ranges overlap or leave gaps");
  return Map;
}

} // namespace dragonflyvane
