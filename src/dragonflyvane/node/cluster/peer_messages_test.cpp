#include "dragonflyvane/node/cluster/peer_messages.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

// A peer of another version, or a damaged message, must not end this process.
TEST_CASE("malformed token messages are no messages") {
  http_request Request = encodeTokenRequest({"desk", 2});
  CHECK(decodeTokenRequest(Request)->Workspace == "desk");
  for (const char *Body :
       {"", "[]", "{\"workspace\":1}", "{\"amount\":\"many\"}",
        "{\"workspace\":\"desk\",\"amount\":-2}",
        "{\"workspace\":\"desk\",\"amount\":1e400}"}) {
    Request.Body = Body;
    CHECK(!decodeTokenRequest(Request));
  }
  http_response Response = encodeResponse(token_response{});
  CHECK(decodeTokenResponse(Response));
  for (const char *Body :
       {"", "7", "{\"tokens\":\"2\"}", "{\"ask_after_ms\":[]}"}) {
    Response.Body = Body;
    CHECK(!decodeTokenResponse(Response));
  }
}

// Guards against a key point or a count that is read as another.
TEST_CASE("a report with an odd value is no report") {
  report_message Message;
  Message.Host = "a";
  Message.Load.Sample = {7};
  http_request Request = encodeReport(Message);
  REQUIRE(decodeReport(Request));
  const std::string Valid = Request.Body;
  for (const char *Sample : {"[-1]", "[65536]", "[\"7\"]", "[1.5]", "7"}) {
    CAPTURE(Sample);
    std::string Body = Valid;
    Request.Body = Body.replace(Valid.find("[7]"), 3, Sample);
    CHECK(!decodeReport(Request));
  }
  Request.Body = std::string(500'000, '[');
  CHECK(!decodeReport(Request));
}

// Guards against a learned capacity that is lost on its way to the coordinator.
TEST_CASE("a report carries what a server takes well") {
  report_message Message;
  Message.Host = "a";
  REQUIRE(decodeReport(encodeReport(Message)));
  CHECK_FALSE(decodeReport(encodeReport(Message))->Load.ConcurrencyLimit);
  CHECK(decodeReport(encodeReport(Message))->Load.Speed == 1);
  Message.Load.ConcurrencyLimit = 5;
  Message.Load.Speed = 0.5;
  auto Decoded = decodeReport(encodeReport(Message));
  REQUIRE(Decoded);
  CHECK(Decoded->Load.ConcurrencyLimit == 5);
  CHECK(Decoded->Load.Speed == 0.5);
}

// Guards against usual times that are lost on their way, and against peers of
// an earlier version, which do not send any.
TEST_CASE("usual times pass to the coordinator and back") {
  report_message Message;
  Message.Host = "a";
  Message.Service = "desk";
  Message.UsualTimes = {{"peek", std::chrono::microseconds(140'250)}};
  auto Report = decodeReport(encodeReport(Message));
  REQUIRE(Report);
  CHECK(Report->Service == "desk");
  CHECK(Report->UsualTimes == Message.UsualTimes);
  Message.UsualTimes.clear();
  CHECK(decodeReport(encodeReport(Message))->UsualTimes.empty());
  report_response Response;
  CHECK(decodeReportResponse(encodeResponse(Response))->ServiceTimes.empty());
  Response.ServiceTimes = {{"find", std::chrono::milliseconds(20)}};
  CHECK(decodeReportResponse(encodeResponse(Response))->ServiceTimes ==
        Response.ServiceTimes);
}

// Guards against a message that makes a daemon keep any number of routes.
TEST_CASE("usual times of too many routes are cut off, odd ones rejected") {
  report_message Message;
  Message.Host = "a";
  Message.Service = "desk";
  for (int I = 0; I < 100; ++I)
    Message.UsualTimes["r" + std::to_string(I)] = std::chrono::milliseconds(9);
  auto Report = decodeReport(encodeReport(Message));
  REQUIRE(Report);
  CHECK(Report->UsualTimes.size() == MaxReportedRoutes);
  Message.UsualTimes = {{"peek", std::chrono::milliseconds(-1)}};
  CHECK_FALSE(decodeReport(encodeReport(Message)));
}

// Guards against a coordinator that judges versions by counts that were changed
// on the way, and against reports of hosts before an upgrade.
TEST_CASE("a report carries the outcomes by version and route") {
  report_message Message;
  Message.Host = "a";
  Message.Load.Outcomes = {{"desk", "v2", "parts", {40, 3, 180.5}}};
  Message.Load.InFlight = 7;
  Message.Load.RolloutSequence = 9;
  auto Decoded = decodeReport(encodeReport(Message));
  REQUIRE(Decoded);
  CHECK(Decoded->Load.InFlight == 7);
  CHECK(Decoded->Load.RolloutSequence == 9);
  REQUIRE(Decoded->Load.Outcomes.size() == 1);
  const version_outcomes &Outcomes = Decoded->Load.Outcomes.front();
  CHECK(Outcomes.Service == "desk");
  CHECK(Outcomes.Version == "v2");
  CHECK(Outcomes.Route == "parts");
  CHECK(Outcomes.Counts.Responses == 40);
  CHECK(Outcomes.Counts.Failures == 3);
  CHECK(Outcomes.Counts.LogTimeSum == 180.5);
  auto Without = decodeReport(encodeReport(report_message{}));
  REQUIRE(Without);
  CHECK(Without->Load.Outcomes.empty());
}

TEST_CASE("refused requests, crashes of trials and trials are unchanged by "
          "encoding and decoding") {
  report_message Report;
  Report.Host = "a";
  Report.RefusedRequests = {3, 4};
  Report.Crashes = {{3, {"i-1", 5}, 2, std::chrono::seconds(7), true}};
  auto Decoded = decodeReport(encodeReport(Report));
  REQUIRE(Decoded);
  CHECK(Decoded->RefusedRequests == Report.RefusedRequests);
  CHECK(Decoded->Crashes.front().WasTrial);
  report_response Response;
  Response.Quarantined = {3};
  Response.Trials[3] = {"b", 9, std::chrono::milliseconds(1500)};
  auto DecodedResponse = decodeReportResponse(encodeResponse(Response));
  REQUIRE(DecodedResponse);
  CHECK(DecodedResponse->Trials.at(3).Host == "b");
  CHECK(DecodedResponse->Trials.at(3).Number == 9);
  CHECK(DecodedResponse->Trials.at(3).Delay == std::chrono::milliseconds(1500));
}

TEST_CASE("a configuration for a peer is unchanged by encoding and decoding") {
  CHECK(isConfigurationRequest(encodeConfigurationRequest()));
  CHECK(!isConfigurationRequest(encodeReport({})));
  known_configuration Known{{{row_kind::Operator, "config"}, 0, "{\"a\":1}"},
                            std::chrono::milliseconds(1300)};
  auto Decoded = decodeConfigurationResponse(encodeResponse(Known));
  REQUIRE(Decoded);
  CHECK(Decoded->Row.Id == Known.Row.Id);
  CHECK(Decoded->Row.Value == Known.Row.Value);
  CHECK(Decoded->ConfirmationAge == Known.ConfirmationAge);
  std::optional<known_configuration> None;
  CHECK(!decodeConfigurationResponse(encodeResponse(None)));
}

// A damaged request of a peer must not end this process, nor be taken for one
// of a host that knows nothing.
TEST_CASE("a malformed request for the operators' rows is no request") {
  http_request Request = encodeOperatorRowsRequest(7);
  CHECK(decodeOperatorRowsRequest(Request) == 7);
  for (const char *Body : {"", "[]", "{}", "{\"operator_version\":-1}",
                           "{\"operator_version\":\"7\"}"}) {
    Request.Body = Body;
    CHECK(!decodeOperatorRowsRequest(Request));
  }
}

// Guards against reports of earlier versions that are no longer understood.
TEST_CASE("a report without the version of the operators' rows is a report") {
  report_message Message;
  Message.Host = "a";
  Message.OperatorVersion = 12;
  http_request Request = encodeReport(Message);
  CHECK(decodeReport(Request)->OperatorVersion == 12);
  const std::string Field = "\"operator_version\":12,";
  std::string Body = Request.Body;
  size_t At = Body.find(Field);
  REQUIRE(At != std::string::npos);
  Request.Body = Body.erase(At, Field.size());
  REQUIRE(decodeReport(Request));
  CHECK(decodeReport(Request)->OperatorVersion == 0);
}
