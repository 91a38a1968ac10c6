#include "dragonflyvane/node/peer_messages.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

// A peer of another version, or a damaged message, must not end this process.
TEST_CASE("malformed token messages are no messages") {
  http_request Request = encodeTokenRequest({"desk", 2});
  CHECK(decodeTokenRequest(Request)->Workspace == "desk");
  for (const char *Body :
       {"", "[]", "{\"workspace\":1}", "{\"amount\":\"many\"}"}) {
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
