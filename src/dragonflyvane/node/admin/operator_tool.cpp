#include "dragonflyvane/node/admin/operator_tool.hpp"

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/net/http_client.hpp"
#include "dragonflyvane/node/admin/flags.hpp"

#include <absl/flags/flag.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <iostream>
#include <optional>

ABSL_FLAG(std::string, admin, "127.0.0.1:9464",
          "IP:PORT of the administration API of a daemon");
ABSL_FLAG(std::string, format, "text", "output format: text or json");

namespace dragonflyvane {

namespace {

constexpr const char *Usage =
    "dragonflyvanectl [--admin=IP:PORT] [--format=text|json] COMMAND\n"
    "  status                  lease, configuration and load of the daemon\n"
    "  hosts                   all hosts and their backend servers\n"
    "  owners SERVICE [POINT]  owners of all ranges, or of the key at POINT\n"
    "  quarantine              quarantined and suspect requests\n"
    "  release FINGERPRINT     releases a request from quarantine\n"
    "  metrics                 counters, gauges and histograms";

constexpr int RefusedExitCode = 1;
constexpr int UnreachableExitCode = 4;
constexpr std::chrono::milliseconds AdminTimeout{5000};

/// Prints the message and the usage; returns the exit code.
int reportUsageError(const std::string &Message) {
  std::cerr << Message << "\n" << Usage << "\n";
  return UsageExitCode;
}

/// Calls the administration API and waits for the result.
call_result callAdmin(const std::string &Method, const std::string &Path) {
  event_loop Loop;
  http_client Client(Loop);
  http_request Request;
  Request.Method = Method;
  Request.Target = Path;
  Request.Headers.add("Host", flagValue("admin"));
  call_options Options;
  Options.Timeout = AdminTimeout;
  call_result Result;
  Client.send(endpointFlag("admin"), Request, Options,
              [&](call_result Received) {
                Result = std::move(Received);
                Loop.stop();
              });
  Loop.run();
  return Result;
}

/// Prints a line `name: value` for each entry; nested entries are indented.
void printText(const nlohmann::json &Json, const std::string &Indent) {
  for (const auto &[Key, Value] : Json.items()) {
    std::string Name = Json.is_object() ? Key + ": " : "- ";
    bool IsLeaf = !Value.is_structured();
    std::cout << Indent << Name << (IsLeaf ? Value.dump() : "") << "\n";
    if (!IsLeaf)
      printText(Value, Indent + "  ");
  }
}

/// Removes all ranges except the one that contains the key point.
void keepRangeOfPoint(nlohmann::json &Owners, key_point Point) {
  nlohmann::json Kept = nlohmann::json::array();
  for (const auto &Range : Owners["ranges"])
    if (Range["first"] <= Point && Point <= Range["last"])
      Kept.push_back(Range);
  Owners["ranges"] = Kept;
}

/// Sends a request for `Path` and prints the response, limited to the range of
/// `Point` if given. Returns the exit code.
int runCommand(const std::string &Path, std::optional<key_point> Point,
               const std::string &Method = "GET") {
  call_result Result = callAdmin(Method, Path);
  if (Result.Outcome != call_outcome::Completed) {
    std::cerr << "no response from " << flagValue("admin") << ": "
              << Result.Error << "\n";
    return UnreachableExitCode;
  }
  if (Result.Response.Status != 200) {
    std::cerr << "request refused by " << flagValue("admin") << ": status "
              << Result.Response.Status << " " << Result.Response.Body.text();
    return RefusedExitCode;
  }
  auto Json =
      nlohmann::json::parse(Result.Response.Body.text(), nullptr, false);
  if (Json.is_discarded()) {
    std::cout << Result.Response.Body.text();
    return 0;
  }
  if (Point)
    keepRangeOfPoint(Json, *Point);
  if (flagValue("format") == "json")
    std::cout << Json.dump(2) << "\n";
  else
    printText(Json, "");
  return 0;
}

} // namespace

int runOperatorTool(int Count, char **Arguments) {
  std::vector<std::string> Operands = parseFlags(Count, Arguments, Usage);
  choiceFlag("format", {"text", "json"});
  if (Operands.empty())
    return reportUsageError("missing command");
  const std::string &Command = Operands[0];
  if (Command == "release")
    return Operands.size() == 2
               ? runCommand("/v1/quarantine/" + Operands[1], {}, "DELETE")
               : reportUsageError("release takes one argument: FINGERPRINT");
  if (Command == "status" || Command == "hosts" || Command == "quarantine")
    return Operands.size() == 1
               ? runCommand("/v1/" + Command, {})
               : reportUsageError(Command + " takes no arguments");
  if (Command == "metrics" && Operands.size() == 1)
    return runCommand("/metrics", {});
  if (Command != "owners")
    return reportUsageError("unknown command: " + Command);
  if (Operands.size() < 2 || Operands.size() > 3)
    return reportUsageError(
        "owners takes one or two arguments: SERVICE [POINT]");
  std::optional<key_point> Point;
  if (Operands.size() == 3) {
    key_point Number = 0;
    const char *End = Operands[2].data() + Operands[2].size();
    auto Read = std::from_chars(Operands[2].data(), End, Number);
    if (Read.ec != std::errc() || Read.ptr != End || Number > LastPoint)
      return reportUsageError("POINT must be a whole number from 0 to " +
                              std::to_string(LastPoint));
    Point = Number;
  }
  return runCommand("/v1/owners/" + Operands[1], Point);
}

} // namespace dragonflyvane
