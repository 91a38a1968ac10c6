#include "dragonflyvane/core/json_fields.hpp"

#include "dragonflyvane/core/cluster/host_info.hpp"
#include "dragonflyvane/core/ownership/host_lease.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

namespace {

constexpr int MaxLevels = 500'000;

std::string nested(int Levels) {
  return std::string(static_cast<size_t>(Levels), '[') +
         std::string(static_cast<size_t>(Levels), ']');
}

host_info anyHost() {
  host_info Info;
  Info.PeerEndpoint = {"127.0.0.1", 7780};
  return Info;
}

/// Encodes a document with the value of one field replaced by a JSON text.
std::string withValue(const std::string &Document, const char *Field,
                      const std::string &Value) {
  nlohmann::json Json = nlohmann::json::parse(Document);
  Json[Field] = "replaced";
  std::string Text = Json.dump();
  const std::string Placeholder = "\"replaced\"";
  return Text.replace(Text.find(Placeholder), Placeholder.size(), Value);
}

} // namespace

// Guards against a process that ends because a document needs more memory, or a
// deeper stack, than there is.
TEST_CASE("a deeply nested document is rejected") {
  CHECK_NOTHROW(parseJson(nested(30)));
  CHECK_NOTHROW(parseJson("[\"" + std::string(1000, '[') + "\"]"));
  CHECK_NOTHROW(parseJson(R"(["\"[", "\\", "]]]"])"));
  for (int Levels : {1000, MaxLevels}) {
    CHECK_THROWS_AS(parseJson(nested(Levels)), step_error);
    CHECK_THROWS_AS(parseJson(std::string(static_cast<size_t>(Levels), '[')),
                    step_error);
    CHECK_THROWS_AS(decodeHost(nested(Levels)), step_error);
    CHECK_THROWS_AS(decodeMap(nested(Levels)), step_error);
    CHECK(decodeLease(nested(Levels)).RunId.empty());
  }
}

// Guards against numbers that change their value when they are converted: -1 to
// four billion, 2^64 to any number.
TEST_CASE("a whole number out of range is rejected") {
  for (const char *Text : {"-1", "65536", "18446744073709551616", "1.5",
                           "\"1\"", "null", "[]", "1e3"}) {
    CAPTURE(Text);
    nlohmann::json Value = nlohmann::json::parse(Text);
    CHECK_THROWS_AS(toInteger<uint16_t>(Value, "n"), step_error);
  }
  CHECK(toInteger<uint16_t>(nlohmann::json(65535), "n") == 65535);
  CHECK(toInteger<int>(nlohmann::json(-1), "n", -1) == -1);
  CHECK_THROWS_AS(parseJson("1e400"), step_error);
}

// Guards against a host that others cannot call, and that ends their work with
// an error each time they try: a port of 0 or above 65535 in its row.
TEST_CASE("a row of a host with an odd value is rejected") {
  std::string Row = encodeHost(anyHost());
  CHECK(decodeHost(Row) == anyHost());
  struct odd_value {
    const char *Field;
    const char *Value;
  };
  for (const odd_value &Odd :
       std::vector<odd_value>{{"peer", "\"\""},
                              {"peer", "\"127.0.0.1:0\""},
                              {"peer", "\"127.0.0.1:65536\""},
                              {"peer", "\"127.0.0.1:99999\""},
                              {"peer", R"("127.0.0.1\u0000:80")"},
                              {"peer", "7780"},
                              {"standing", "4"},
                              {"standing", "-1"},
                              {"standing", "4294967297"},
                              {"slots", "-1"},
                              {"slots", "4294967296"},
                              {"slots", "1e400"},
                              {"born", "18446744073709551616"},
                              {"born", "0.5"},
                              {"processor", "-1"},
                              {"processor", "null"},
                              {"instance", "{}"}}) {
    CAPTURE(Odd.Field);
    CAPTURE(Odd.Value);
    CHECK_THROWS_AS(decodeHost(withValue(Row, Odd.Field, Odd.Value)),
                    step_error);
  }
}

// Guards against an odd row that counts as a lease with a time far in the past.
TEST_CASE("a lease with an odd value names no holder") {
  std::string Row =
      encodeLease({"run-1", 7, std::chrono::milliseconds(1000), 1});
  CHECK(decodeLease(Row).RunId == "run-1");
  for (const char *Value : {"-1", "18446744073709551615", "1e300", "\"1\""}) {
    CAPTURE(Value);
    CHECK(decodeLease(withValue(Row, "sent_by", Value)).RunId.empty());
    CHECK(decodeLease(withValue(Row, "count", Value)).RunId.empty() ==
          (std::string(Value) != "18446744073709551615"));
  }
}

// Guards against ranges that are read as others: key points above 65535 and
// indexes of owners that wrap.
TEST_CASE("a map with an odd value is rejected") {
  ownership_map Map;
  Map.Ranges.front().Owner = "a";
  std::string Row = encodeMap(Map);
  CHECK(decodeMap(Row).Ranges.front().Owner == "a");
  for (const char *Ranges :
       {"[[-1,0,7,-1]]", "[[4294967296,0,7,-1]]", "[[0,1,7,-1]]",
        "[[0,-2,7,-1]]", "[[0,4294967296,7,-1]]", "[[0,0,-7,-1]]",
        "[[0,0,18446744073709551616,-1]]", "[[0,0,7]]", "[[0,0,7,-1,5]]",
        "[[0,0,7,-1],[65536,0,7,-1]]", "[]", "{}", "7"}) {
    CAPTURE(Ranges);
    CHECK_THROWS_AS(decodeMap(withValue(Row, "ranges", Ranges)), step_error);
  }
}
