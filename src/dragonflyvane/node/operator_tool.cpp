#include "dragonflyvane/node/operator_tool.hpp"

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/node/flags.hpp"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>

ABSL_FLAG(std::string, admin, "127.0.0.1:9464",
          "IP:PORT of a daemon's administration API");
ABSL_FLAG(std::string, format, "text", "text or json");

namespace dragonflyvane {

namespace {

constexpr const char *Usage =
    "dragonflyvanectl [--admin=IP:PORT] [--format=text|json] COMMAND\n"
    "  status                  the daemon, its lease, its configuration\n"
    "  hosts                   all hosts and their backend servers\n"
    "  owners SERVICE [POINT]  who owns the keys, or the key at a point\n"
    "  quarantine              requests that bring backend servers down\n"
    "  release FINGERPRINT     lets such a request run again\n"
    "  metrics                 counters and histograms";

constexpr int Refused = 1;
constexpr int Unreachable = 4;
constexpr std::chrono::milliseconds AdminTimeout{5000};

int failUsage(const std::string &What) {
  std::cerr << What << "\n" << Usage << "\n";
  return UsageExitCode;
}

call_result ask(const std::string &Method, const std::string &Path) {
  event_loop Loop;
  http_client Client(Loop);
  http_request Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Headers.add("Host", flagValue("admin"));
  call_options Options;
  Options.Timeout = AdminTimeout;
  call_result Result;
  Client.send(endpointFlag("admin"), Request, Options, [&](call_result Ended) {
    Result = std::move(Ended);
    Loop.stop();
  });
  Loop.run();
  return Result;
}

/// A line for each entry, `name: value`, nested ones indented.
void printText(const nlohmann::json &Json, const std::string &Indent) {
  for (const auto &[Key, Value] : Json.items()) {
    std::string Name = Json.is_object() ? Key + ": " : "- ";
    bool IsLeaf = !Value.is_structured();
    std::cout << Indent << Name << (IsLeaf ? Value.dump() : "") << "\n";
    if (!IsLeaf)
      printText(Value, Indent + "  ");
  }
}

/// Keeps the one range that holds a point.
void keepPoint(nlohmann::json &Owners, key_point Point) {
  nlohmann::json Kept = nlohmann::json::array();
  for (const auto &Range : Owners["ranges"])
    if (Range["first"] <= Point && Point <= Range["last"])
      Kept.push_back(Range);
  Owners["ranges"] = Kept;
}

int show(const std::string &Path, std::optional<key_point> Point,
         const std::string &Method = "GET") {
  call_result Result = ask(Method, Path);
  if (Result.Outcome != call_outcome::Completed) {
    std::cerr << "ask " << flagValue("admin") << ": " << Result.Error << "\n";
    return Unreachable;
  }
  if (Result.Response.Status != 200) {
    std::cerr << "ask " << flagValue("admin") << ": " << Result.Response.Status
              << " " << Result.Response.Body;
    return Refused;
  }
  auto Json = nlohmann::json::parse(Result.Response.Body, nullptr, false);
  if (Json.is_discarded()) {
    std::cout << Result.Response.Body;
    return 0;
  }
  if (Point)
    keepPoint(Json, *Point);
  if (flagValue("format") == "json")
    std::cout << Json.dump(2) << "\n";
  else
    printText(Json, "");
  return 0;
}

} // namespace

int runOperatorTool(int Count, char **Arguments) {
  std::vector<std::string> Words = parseFlags(Count, Arguments, Usage);
  choiceFlag("format", {"text", "json"});
  if (Words.empty())
    return failUsage("a command is missing");
  const std::string &Command = Words[0];
  if (Command == "release")
    return Words.size() == 2 ? show("/v1/quarantine/" + Words[1], {}, "DELETE")
                             : failUsage("release takes FINGERPRINT");
  if (Command == "status" || Command == "hosts" || Command == "quarantine")
    return Words.size() == 1 ? show("/v1/" + Command, {})
                             : failUsage(Command + " takes no argument");
  if (Command == "metrics" && Words.size() == 1)
    return show("/metrics", {});
  if (Command != "owners")
    return failUsage("unknown command " + Command);
  if (Words.size() < 2 || Words.size() > 3)
    return failUsage("owners takes SERVICE and perhaps POINT");
  std::optional<key_point> Point;
  if (Words.size() == 3) {
    key_point Number = 0;
    const char *End = Words[2].data() + Words[2].size();
    auto Read = std::from_chars(Words[2].data(), End, Number);
    if (Read.ec != std::errc() || Read.ptr != End || Number > LastPoint)
      return failUsage("POINT is a whole number from 0 to " +
                       std::to_string(LastPoint));
    Point = Number;
  }
  return show("/v1/owners/" + Words[1], Point);
}

} // namespace dragonflyvane
