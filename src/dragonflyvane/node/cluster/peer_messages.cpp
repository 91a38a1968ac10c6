#include "dragonflyvane/node/cluster/peer_messages.hpp"

#include "dragonflyvane/core/json_fields.hpp"

namespace dragonflyvane {

namespace {

using json = nlohmann::json;

/// Only daemons send this field; the request router removes it from requests of
/// callers.
constexpr const char *KindField = "x-dragonflyvane-kind";
constexpr const char *RouteTimesField = "route_times";
constexpr const char *OperatorVersionField = "operator_version";
/// Longer than any delay, and small enough to calculate with.
constexpr int64_t MaxDelayMs = int64_t{1} << 40;

http_request makeMessage(const char *Kind, const json &Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Headers.add(KindField, Kind);
  Request.Body = Body.dump();
  return Request;
}

/// Parses an object; returns nothing if the text is malformed.
std::optional<json> objectIn(const std::string &Text) {
  try {
    json Body = parseJson(Text);
    if (Body.is_object())
      return Body;
  } catch (const step_error &) {
    // Malformed, as below.
  }
  return std::nullopt;
}

/// The body of a message; nothing if it is of another kind or malformed.
std::optional<json> bodyOf(const http_request &Request, const char *Kind) {
  if (Request.Headers.find(KindField) != Kind)
    return std::nullopt;
  return objectIn(Request.Body);
}

json toJson(const std::vector<crash> &Crashes) {
  json List = json::array();
  for (const crash &Crash : Crashes)
    List.push_back({Crash.Request, Crash.Incarnation.Instance,
                    Crash.Incarnation.StartedAtMs, Crash.SuspectCount,
                    Crash.Age.count(), Crash.WasTrial});
  return List;
}

std::vector<crash> toCrashes(const json &List) {
  std::vector<crash> Crashes;
  for (const json &Entry : List) {
    // Peers of earlier versions do not know of trials.
    bool WasTrial = Entry.size() > 5 && Entry.at(5).get<bool>();
    Crashes.push_back(
        {toInteger<request_fingerprint>(Entry.at(0), "request"),
         {Entry.at(1).get<std::string>(),
          toInteger<int64_t>(Entry.at(2), "started at", 0)},
         toInteger<uint32_t>(Entry.at(3), "suspects"),
         std::chrono::seconds(toInteger<int32_t>(Entry.at(4), "age", 0)),
         WasTrial});
  }
  return Crashes;
}

json toJson(const std::map<request_fingerprint, request_trial> &Trials) {
  json List = json::array();
  for (const auto &[Request, Trial] : Trials)
    List.push_back({Request, Trial.Host, Trial.Number, Trial.Delay.count()});
  return List;
}

std::map<request_fingerprint, request_trial> toTrials(const json &List) {
  std::map<request_fingerprint, request_trial> Trials;
  for (const json &Entry : List)
    Trials[toInteger<request_fingerprint>(Entry.at(0), "request")] = {
        Entry.at(1).get<std::string>(),
        toInteger<uint64_t>(Entry.at(2), "number"),
        std::chrono::milliseconds(
            toInteger<int64_t>(Entry.at(3), "delay", 0, MaxDelayMs))};
  return Trials;
}

json toJson(const std::vector<version_outcomes> &Outcomes) {
  json List = json::array();
  for (const version_outcomes &Entry : Outcomes)
    List.push_back({Entry.Service, Entry.Version, Entry.Route,
                    Entry.Counts.Responses, Entry.Counts.Failures,
                    Entry.Counts.LogTimeSum});
  return List;
}

std::vector<version_outcomes> toOutcomes(const json &List) {
  std::vector<version_outcomes> Outcomes;
  for (const json &Entry : List) {
    response_counts Counts{toInteger<uint64_t>(Entry.at(3), "responses"),
                           toInteger<uint64_t>(Entry.at(4), "failures"),
                           Entry.at(5).get<double>()};
    Outcomes.push_back({Entry.at(0).get<std::string>(),
                        Entry.at(1).get<std::string>(),
                        Entry.at(2).get<std::string>(), Counts});
  }
  return Outcomes;
}

std::vector<request_fingerprint> toFingerprints(const json &List) {
  std::vector<request_fingerprint> Fingerprints;
  for (const json &Entry : List)
    Fingerprints.push_back(toInteger<request_fingerprint>(Entry, "request"));
  return Fingerprints;
}

std::vector<key_point> toPoints(const json &List) {
  std::vector<key_point> Points;
  for (const json &Entry : List)
    Points.push_back(toInteger<key_point>(Entry, "sample", 0, LastPoint));
  return Points;
}

/// Converts to whole microseconds.
json toJson(const route_times &Times) {
  json Object = json::object();
  for (const auto &[Route, Time] : Times)
    Object[Route] =
        std::chrono::duration_cast<std::chrono::microseconds>(Time).count();
  return Object;
}

/// Reads at most `MaxReportedRoutes` routes of the field; none if it is absent.
route_times routeTimesIn(const json &Body) {
  route_times Times;
  if (!Body.contains(RouteTimesField))
    return Times;
  for (const auto &[Route, Time] : Body.at(RouteTimesField).items()) {
    if (Times.size() >= MaxReportedRoutes)
      break;
    Times[Route] = std::chrono::microseconds(
        toInteger<int64_t>(Time, RouteTimesField, 1, MaxDelayMs));
  }
  return Times;
}

} // namespace

http_request encodeReport(const report_message &Message) {
  json Body = {{"host", Message.Host},
               {"rate", Message.Load.Rate},
               {"use", Message.Load.Utilization},
               {"work", Message.Load.ProcessingTime},
               {"sample", Message.Load.Sample},
               {"newest", Message.NewestVersion},
               {OperatorVersionField, Message.OperatorVersion},
               {"crashes", toJson(Message.Crashes)},
               {"answered", Message.RequestsWithResponse}};
  if (!Message.RefusedRequests.empty())
    Body["refused"] = Message.RefusedRequests;
  if (Message.Load.RateLimit)
    Body["limit"] = *Message.Load.RateLimit;
  if (Message.Load.ConcurrencyLimit)
    Body["concurrency"] = *Message.Load.ConcurrencyLimit;
  if (Message.Load.Speed != 1)
    Body["speed"] = Message.Load.Speed;
  if (!Message.UsualTimes.empty()) {
    Body["service"] = Message.Service;
    Body[RouteTimesField] = toJson(Message.UsualTimes);
  }
  if (!Message.Load.Outcomes.empty())
    Body["outcomes"] = toJson(Message.Load.Outcomes);
  if (Message.Load.RolloutSequence > 0) {
    Body["rollout"] = Message.Load.RolloutSequence;
    Body["in_flight"] = Message.Load.InFlight;
  }
  return makeMessage("report", Body);
}

std::optional<report_message> decodeReport(const http_request &Request) {
  auto Body = bodyOf(Request, "report");
  if (!Body)
    return std::nullopt;
  report_message Message;
  try {
    Message.Host = Body->at("host").get<std::string>();
    Message.Load.Rate = requireNumber(*Body, "rate");
    Message.Load.Utilization = requireNumber(*Body, "use");
    Message.Load.ProcessingTime = requireNumber(*Body, "work");
    Message.Load.Sample = toPoints(requireList(*Body, "sample"));
    if (Body->contains("limit"))
      Message.Load.RateLimit = requireNumber(*Body, "limit");
    if (Body->contains("concurrency"))
      Message.Load.ConcurrencyLimit = requireNumber(*Body, "concurrency");
    if (Body->contains("speed"))
      Message.Load.Speed = requireNumber(*Body, "speed");
    if (Body->contains("outcomes"))
      Message.Load.Outcomes = toOutcomes(requireList(*Body, "outcomes"));
    Message.Load.RolloutSequence =
        optionalInteger<uint64_t>(*Body, "rollout", 0);
    Message.Load.InFlight = optionalInteger<uint32_t>(*Body, "in_flight", 0);
    Message.NewestVersion = requireInteger<row_version>(*Body, "newest");
    Message.OperatorVersion =
        optionalInteger<row_version>(*Body, OperatorVersionField, 0);
    Message.Crashes = toCrashes(requireList(*Body, "crashes"));
    Message.RequestsWithResponse =
        toFingerprints(requireList(*Body, "answered"));
    if (Body->contains("refused"))
      Message.RefusedRequests = toFingerprints(requireList(*Body, "refused"));
    Message.UsualTimes = routeTimesIn(*Body);
    if (!Message.UsualTimes.empty())
      Message.Service = requireText(*Body, "service");
  } catch (const std::exception &) {
    return std::nullopt;
  }
  return Message;
}

http_response encodeResponse(const report_response &Response) {
  json Body = {{"steward", Response.IsCoordinator},
               {"newest", Response.NewestVersion},
               {OperatorVersionField, Response.OperatorVersion},
               {"suspects", Response.Suspects},
               {"quarantined", Response.Quarantined}};
  if (!Response.Trials.empty())
    Body["trials"] = toJson(Response.Trials);
  if (!Response.ServiceTimes.empty())
    Body[RouteTimesField] = toJson(Response.ServiceTimes);
  return jsonResponse(200, Body.dump());
}

std::optional<report_response>
decodeReportResponse(const http_response &Response) {
  auto Body = objectIn(Response.Body);
  if (!Body)
    return std::nullopt;
  try {
    auto Suspects = toFingerprints(requireList(*Body, "suspects"));
    auto Quarantined = toFingerprints(requireList(*Body, "quarantined"));
    report_response Decoded;
    Decoded.IsCoordinator = Body->at("steward").get<bool>();
    Decoded.NewestVersion = requireInteger<row_version>(*Body, "newest");
    Decoded.OperatorVersion =
        optionalInteger<row_version>(*Body, OperatorVersionField, 0);
    Decoded.Suspects = {Suspects.begin(), Suspects.end()};
    Decoded.Quarantined = {Quarantined.begin(), Quarantined.end()};
    if (Body->contains("trials"))
      Decoded.Trials = toTrials(requireList(*Body, "trials"));
    Decoded.ServiceTimes = routeTimesIn(*Body);
    return Decoded;
  } catch (const std::exception &) {
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
    return token_request{requireText(*Body, "workspace"),
                         requireNumber(*Body, "amount")};
  } catch (const std::exception &) {
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
  auto Body = objectIn(Response.Body);
  if (!Body)
    return std::nullopt;
  try {
    return token_response{requireNumber(*Body, "tokens"),
                          std::chrono::milliseconds(requireInteger<int64_t>(
                              *Body, "ask_after_ms", 0, MaxDelayMs))};
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

http_request encodeOperatorRowsRequest(row_version KnownVersion) {
  return makeMessage("operator-rows", {{OperatorVersionField, KnownVersion}});
}

std::optional<row_version>
decodeOperatorRowsRequest(const http_request &Request) {
  auto Body = bodyOf(Request, "operator-rows");
  if (!Body)
    return std::nullopt;
  try {
    return requireInteger<row_version>(*Body, OperatorVersionField);
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

http_request encodeConfigurationRequest() {
  return makeMessage("configuration", json::object());
}

bool isConfigurationRequest(const http_request &Request) {
  return bodyOf(Request, "configuration").has_value();
}

http_response
encodeResponse(const std::optional<known_configuration> &Configuration) {
  if (!Configuration)
    return {404, {}, ""};
  json Body = {{"row", Configuration->Row.Id.Key},
               {"value", Configuration->Row.Value.value_or("")},
               {"age_ms", Configuration->ConfirmationAge.count()}};
  return jsonResponse(200, Body.dump());
}

std::optional<known_configuration>
decodeConfigurationResponse(const http_response &Response) {
  auto Body = objectIn(Response.Body);
  if (Response.Status != 200 || !Body)
    return std::nullopt;
  try {
    known_configuration Known;
    Known.Row.Id = {row_kind::Operator, requireText(*Body, "row")};
    Known.Row.Value = requireText(*Body, "value");
    Known.ConfirmationAge = std::chrono::milliseconds(
        requireInteger<int64_t>(*Body, "age_ms", 0, MaxDelayMs));
    return Known;
  } catch (const std::exception &) {
    return std::nullopt;
  }
}

} // namespace dragonflyvane
