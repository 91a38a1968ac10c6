#include "dragonflyvane/node/peer_messages.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Only daemons send this field; the entrance removes it from callers.
constexpr const char *KindField = "x-dragonflyvane-kind";

http_request makeMessage(const char *Kind, const json &Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Headers.add(KindField, Kind);
  Request.Body = Body.dump();
  return Request;
}

std::optional<json> bodyOf(const http_request &Request, const char *Kind) {
  if (Request.Headers.find(KindField) != Kind)
    return std::nullopt;
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return Body;
}

} // namespace

http_request encodeReport(const report_message &Message) {
  return makeMessage("report", {{"host", Message.Host},
                                {"rate", Message.Load.Rate},
                                {"use", Message.Load.Utilization},
                                {"work", Message.Load.Work},
                                {"sample", Message.Load.Sample},
                                {"newest", Message.Newest}});
}

std::optional<report_message> decodeReport(const http_request &Request) {
  auto Body = bodyOf(Request, "report");
  if (!Body)
    return std::nullopt;
  report_message Message;
  Message.Host = Body->value("host", "");
  Message.Load.Rate = Body->value("rate", 0.0);
  Message.Load.Utilization = Body->value("use", 0.0);
  Message.Newest = Body->value("newest", row_version{0});
  Message.Load.Work = Body->value("work", 0.0);
  Message.Load.Sample = Body->value("sample", std::vector<key_point>{});
  return Message;
}

http_response encodeAnswer(const report_answer &Answer) {
  return jsonResponse(
      200,
      json{{"steward", Answer.IsSteward}, {"newest", Answer.Newest}}.dump());
}

std::optional<report_answer> decodeReportAnswer(const http_response &Response) {
  json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return report_answer{Body.value("steward", false),
                       Body.value("newest", row_version{0})};
}

http_request encodeAsk(const token_ask &Ask) {
  return makeMessage("tokens",
                     {{"workspace", Ask.Workspace}, {"amount", Ask.Amount}});
}

std::optional<token_ask> decodeAsk(const http_request &Request) {
  auto Body = bodyOf(Request, "tokens");
  if (!Body)
    return std::nullopt;
  return token_ask{Body->value("workspace", ""), Body->value("amount", 0.0)};
}

http_response encodeAnswer(const token_answer &Answer) {
  return jsonResponse(200, json{{"tokens", Answer.Tokens},
                                {"ask_after_ms", Answer.AskAfter.count()}}
                               .dump());
}

std::optional<token_answer> decodeTokenAnswer(const http_response &Response) {
  json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  return token_answer{
      Body.value("tokens", 0.0),
      std::chrono::milliseconds(Body.value("ask_after_ms", int64_t{0}))};
}

} // namespace dragonflyvane
