#include "dragonflyvane/node/forwarding.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

TEST_CASE("an order crosses a stream, and its fields do not go further") {
  forward_metadata Metadata{"desk",  77, "ferry",           "origin",
                            "route", -1, milliseconds(300), milliseconds(150),
                            false};
  header_list Headers;
  Headers.add("X-Other", "1");
  writeMetadata(Metadata, Headers);
  auto Read = extractMetadata(Headers);
  REQUIRE(Read);
  CHECK(Read->Service == "desk");
  CHECK(Read->Point == 77);
  CHECK(Read->Workspace == "ferry");
  CHECK(Read->Priority == -1);
  CHECK(Read->TimeLeft == milliseconds(300));
  CHECK(Read->SoftTimeLeft == milliseconds(150));
  CHECK(Headers.all().size() == 1);
  CHECK(!extractMetadata(Headers));
}

TEST_CASE("a server's own 503 is not taken for a refusal of the door") {
  forward_result Own;
  Own.Outcome = forward_outcome::Answered;
  Own.Reached = true;
  Own.Response.Status = 503;
  Own.Load = {7, 9, milliseconds(60), milliseconds(40)};
  forward_result Read = decodeResult(encodeResult(Own));
  CHECK(Read.Outcome == forward_outcome::Answered);
  CHECK(Read.Load.Busy == 7);
  CHECK(Read.Load.LinkDelay == milliseconds(40));
  CHECK(Read.Response.Headers.all().empty());
  forward_result Refusal;
  Refusal.Code = "queue-full";
  Refusal.RetryAfter = milliseconds(80);
  Read = decodeResult(encodeResult(Refusal));
  CHECK(Read.Outcome == forward_outcome::NotRun);
  CHECK(!Read.Reached);
  CHECK(Read.Code == "queue-full");
  CHECK(Read.RetryAfter == milliseconds(80));
}
