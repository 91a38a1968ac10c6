#include "dragonflyvane/node/peer_messages.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Only daemons send this field; the request router removes it from requests of
/// callers.
constexpr const char *KindField = "x-dragonflyvane-kind";

http_request makeMessage(const char *Kind, const json &Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Headers.add(KindField, Kind);
  Request.Body = Body.dump();
  return Request;
}

/// The body of a message; nothing if it is of another kind or malformed.
std::optional<json> bodyOf(const http_request &Request, const char *Kind) {
  if (Request.Headers.find(KindField) != Kind)
    return std::nullopt;
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

json toJson(const std::vector<crash> &Crashes) {
  json List = json::array();
  for (const crash &Crash : Crashes)
    List.push_back({Crash.Request, Crash.Incarnation.Instance,
                    Crash.Incarnation.StartedAtMs, Crash.SuspectCount,
                    Crash.Age.count()});
  return List;
}

std::vector<crash> toCrashes(const json &List) {
  std::vector<crash> Crashes;
  for (const json &Entry : List)
    Crashes.push_back(
        {Entry.at(0).get<request_fingerprint>(),
         {Entry.at(1).get<std::string>(), Entry.at(2).get<int64_t>()},
         Entry.at(3).get<uint32_t>(),
         std::chrono::seconds(Entry.at(4).get<int64_t>())});
  return Crashes;
}

} // namespace

http_request encodeReport(const report_message &Message) {
  json Body = {{"host", Message.Host},
               {"rate", Message.Load.Rate},
               {"use", Message.Load.Utilization},
               {"work", Message.Load.ProcessingTime},
               {"sample", Message.Load.Sample},
               {"newest", Message.NewestVersion},
               {"crashes", toJson(Message.Crashes)},
               {"answered", Message.RequestsWithResponse}};
  if (Message.Load.RateLimit)
    Body["limit"] = *Message.Load.RateLimit;
  return makeMessage("report", Body);
}

std::optional<report_message> decodeReport(const http_request &Request) {
  auto Body = bodyOf(Request, "report");
  if (!Body)
    return std::nullopt;
  report_message Message;
  try {
    Message.Host = Body->at("host").get<std::string>();
    Message.Load.Rate = Body->at("rate").get<double>();
    Message.Load.Utilization = Body->at("use").get<double>();
    Message.Load.ProcessingTime = Body->at("work").get<double>();
    Message.Load.Sample = Body->at("sample").get<std::vector<key_point>>();
    if (Body->contains("limit"))
      Message.Load.RateLimit = Body->at("limit").get<double>();
    Message.NewestVersion = Body->at("newest").get<row_version>();
    Message.Crashes = toCrashes(Body->at("crashes"));
    Message.RequestsWithResponse =
        Body->at("answered").get<std::vector<request_fingerprint>>();
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return Message;
}

http_response encodeResponse(const report_response &Response) {
  return jsonResponse(200, json{{"steward", Response.IsCoordinator},
                                {"newest", Response.NewestVersion},
                                {"suspects", Response.Suspects},
                                {"quarantined", Response.Quarantined}}
                               .dump());
}

std::optional<report_response>
decodeReportResponse(const http_response &Response) {
  json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  using fingerprints = std::set<request_fingerprint>;
  try {
    return report_response{Body.at("steward").get<bool>(),
                           Body.at("newest").get<row_version>(),
                           Body.at("suspects").get<fingerprints>(),
                           Body.at("quarantined").get<fingerprints>()};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

http_request encodeTokenRequest(const token_request &Request) {
  return makeMessage(
      "tokens", {{"workspace", Request.Workspace}, {"amount", Request.Amount}});
}

std::optional<token_request> decodeTokenRequest(const http_request &Request) {
  auto Body = bodyOf(Request, "tokens");
  if (!Body)
    return std::nullopt;
  try {
    return token_request{Body->value("workspace", ""),
                         Body->value("amount", 0.0)};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

http_response encodeResponse(const token_response &Response) {
  return jsonResponse(200,
                      json{{"tokens", Response.Tokens},
                           {"ask_after_ms", Response.PoolRetryAfter.count()}}
                          .dump());
}

std::optional<token_response>
decodeTokenResponse(const http_response &Response) {
  json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  try {
    return token_response{
        Body.value("tokens", 0.0),
        std::chrono::milliseconds(Body.value("ask_after_ms", int64_t{0}))};
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace dragonflyvane
