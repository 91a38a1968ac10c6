#include "dragonflyvane/node/serving/forwarding.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

TEST_CASE(
    "metadata survives a round trip through headers and is then removed") {
  forward_metadata Metadata{"desk",
                            77,
                            "ferry",
                            "origin",
                            "route",
                            -1,
                            milliseconds(300),
                            milliseconds(150),
                            true,
                            false,
                            condition_report{{"i-1", 7}, 2.5, {}}};
  header_list Headers;
  Headers.add("X-Other", "1");
  writeMetadata(Metadata, Headers);
  auto Decoded = extractMetadata(Headers, milliseconds(0));
  REQUIRE(Decoded);
  CHECK(Decoded->Service == "desk");
  CHECK(Decoded->Point == 77);
  CHECK(Decoded->Workspace == "ferry");
  CHECK(Decoded->Priority == -1);
  CHECK(Decoded->Idempotent);
  CHECK(Decoded->TimeLeft == milliseconds(300));
  CHECK(Decoded->SoftTimeLeft == milliseconds(150));
  CHECK(Decoded->ServerCondition == Metadata.ServerCondition);
  CHECK(Headers.all().size() == 1);
  CHECK(!extractMetadata(Headers, milliseconds(0)));
}

// Guards against a request that waited on a full link and is treated as fresh:
// it runs although its caller has left.
TEST_CASE("the time that a request waited on its way is not left to it") {
  forward_metadata Metadata;
  Metadata.Service = "desk";
  Metadata.TimeLeft = milliseconds(1000);
  Metadata.SoftTimeLeft = milliseconds(300);
  header_list Headers;
  writeMetadata(Metadata, Headers);
  auto Decoded = extractMetadata(Headers, std::chrono::microseconds(700'900));
  REQUIRE(Decoded);
  CHECK(Decoded->TimeLeft == milliseconds(300));
  CHECK(Decoded->SoftTimeLeft == milliseconds(-400));
  CHECK(Decoded->TransitDelay == milliseconds(700));
}

TEST_CASE("a 503 of the backend server is not taken for a refusal") {
  forward_result ServerResult;
  ServerResult.Outcome = forward_outcome::Answered;
  ServerResult.Reached = true;
  ServerResult.Response.Status = 503;
  ServerResult.Load = {7, 9, milliseconds(60), milliseconds(40),
                       milliseconds(90)};
  forward_result Decoded = decodeResult(encodeResult(ServerResult));
  CHECK(Decoded.Outcome == forward_outcome::Answered);
  CHECK(Decoded.Load.Busy == 7);
  CHECK(Decoded.Load.LinkDelay == milliseconds(40));
  CHECK(Decoded.Load.TokenDelay == milliseconds(90));
  // Peers of earlier versions send no speed.
  CHECK_FALSE(Decoded.Load.Speed);
  CHECK(Decoded.Load.IncomingDelay == milliseconds(0));
  ServerResult.Load.IncomingDelay = milliseconds(120);
  Decoded = decodeResult(encodeResult(ServerResult));
  CHECK_FALSE(Decoded.Load.Speed);
  CHECK(Decoded.Load.IncomingDelay == milliseconds(120));
  ServerResult.Load.Speed = 0.583;
  Decoded = decodeResult(encodeResult(ServerResult));
  CHECK(Decoded.Load.Speed == doctest::Approx(0.583));
  CHECK(Decoded.Load.TokenDelay == milliseconds(90));
  CHECK(Decoded.Response.Headers.all().empty());
  forward_result Refusal;
  Refusal.Code = "queue-full";
  Refusal.RetryAfter = milliseconds(80);
  Decoded = decodeResult(encodeResult(Refusal));
  CHECK(Decoded.Outcome == forward_outcome::NotRun);
  CHECK(!Decoded.Reached);
  CHECK(Decoded.Code == "queue-full");
  CHECK(Decoded.RetryAfter == milliseconds(80));
}
