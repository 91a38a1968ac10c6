#include "dragonflyvane/core/ownership/ownership_map.hpp"

#include "dragonflyvane/core/json_fields.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonflyvane {

namespace {

bool equalExceptPoints(const owned_range &A, const owned_range &B) {
  owned_range Aligned = B;
  Aligned.First = A.First;
  Aligned.Last = A.Last;
  return A == Aligned;
}

using json = nlohmann::json;

/// The hosts and incarnations of a map. Encoded ranges refer to them by their
/// index in this list.
class owner_list {
public:
  int add(const std::string &Host, const server_incarnation &Incarnation) {
    if (Host.empty())
      return NoOwner;
    auto [Found, IsNew] = Indexes.try_emplace({Host, Incarnation},
                                              static_cast<int>(Indexes.size()));
    if (IsNew)
      Entries.push_back({Host, Incarnation.Instance, Incarnation.StartedAtMs});
    return Found->second;
  }
  const json &entries() const { return Entries; }

  static constexpr int NoOwner = -1;

private:
  std::map<std::pair<std::string, server_incarnation>, int> Indexes;
  json Entries = json::array();
};

/// Encodes a range as an array of first key point, index of the owner, token,
/// index of the next owner and, if not empty, handover.
json encodeRange(const owned_range &Range, owner_list &Owners) {
  json Fields = {Range.First, Owners.add(Range.Owner, Range.Incarnation),
                 Range.Token, Owners.add(Range.NextOwner, {})};
  if (!Range.Handover.empty())
    Fields.push_back(Range.Handover);
  return Fields;
}

int ownerIndex(const json &Value) {
  return toInteger<int>(Value, "owner", owner_list::NoOwner);
}

owned_range decodeRange(const json &Fields, const json &Owners) {
  owned_range Range;
  Range.First = toInteger<key_point>(Fields.at(0), "first", 0, LastPoint);
  if (int Index = ownerIndex(Fields.at(1)); Index != owner_list::NoOwner) {
    const json &Owner = Owners.at(Index);
    Range.Owner = Owner.at(0).get<std::string>();
    Range.Incarnation = {Owner.at(1).get<std::string>(),
                         toInteger<int64_t>(Owner.at(2), "started at", 0)};
  }
  Range.Token = toInteger<uint64_t>(Fields.at(2), "token");
  if (int Index = ownerIndex(Fields.at(3)); Index != owner_list::NoOwner)
    Range.NextOwner = Owners.at(Index).at(0).get<std::string>();
  if (Fields.size() > 4)
    Range.Handover = Fields.at(4).get<std::string>();
  return Range;
}

bool coversAllPoints(const std::vector<owned_range> &Ranges) {
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

void ownership_map::splitBefore(key_point Point) {
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

void ownership_map::mergeAdjacent() {
  std::vector<owned_range> Merged;
  for (const owned_range &Range : Ranges) {
    if (!Merged.empty() && equalExceptPoints(Merged.back(), Range))
      Merged.back().Last = Range.Last;
    else
      Merged.push_back(Range);
  }
  Ranges = std::move(Merged);
}

std::string encodeMap(const ownership_map &Map) {
  owner_list Owners;
  json Ranges = json::array();
  for (const owned_range &Range : Map.Ranges)
    Ranges.push_back(encodeRange(Range, Owners));
  json Document = {{"owners", Owners.entries()}, {"ranges", Ranges}};
  if (Map.Era > 0)
    Document["era"] = Map.Era;
  if (Map.RestoredFrom > 0)
    Document["restored_from"] = Map.RestoredFrom;
  return Document.dump();
}

ownership_map decodeMap(const std::string &Text) {
  ownership_map Map;
  Map.Ranges.clear();
  try {
    const json Document = parseJson(Text);
    for (const auto &Fields : requireList(Document, "ranges")) {
      owned_range Range = decodeRange(Fields, requireList(Document, "owners"));
      if (!Map.Ranges.empty())
        Map.Ranges.back().Last = Range.First - 1;
      Map.Ranges.push_back(std::move(Range));
    }
    Map.Era = optionalInteger<uint64_t>(Document, "era", 0);
    Map.RestoredFrom = optionalInteger<uint64_t>(Document, "restored_from", 0);
  } catch (const std::exception &Error) {
    throw step_error("ownership map", "", Error.what());
  }
  if (!coversAllPoints(Map.Ranges))
    throw step_error("ownership map", "", "ranges overlap or leave gaps");
  return Map;
}

} // namespace dragonflyvane
