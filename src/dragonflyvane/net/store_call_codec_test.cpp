#include "dragonflyvane/net/store_call_codec.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

// Guards against a kind of rows that does not exist, which was read as another.
TEST_CASE("a store call with an odd value is no store call") {
  http_request Request = encodeStoreCall(store_watch{row_kind::Lease, 7, {}});
  REQUIRE(decodeStoreCall(Request));
  for (const char *Body :
       {"", "7", R"({"kind":4,"after":7,"wait":0})",
        R"({"kind":-1,"after":7,"wait":0})",
        R"({"kind":4294967296,"after":7,"wait":0})",
        R"({"kind":2,"after":-7,"wait":0})",
        R"({"kind":2,"after":7,"wait":1e300})",
        R"({"kind":2,"after":18446744073709551616,"wait":0})"}) {
    CAPTURE(Body);
    Request.Body = Body;
    CHECK(!decodeStoreCall(Request));
  }
  Request.Body = std::string(500'000, '[');
  CHECK(!decodeStoreCall(Request));
}

// Guards against a result that counts as a success because its outcome is odd.
TEST_CASE("a store result with an odd value is a failure") {
  read_result Read;
  Read.Outcome = read_outcome::Succeeded;
  CHECK(decodeReadResult(encodeStoreResult(Read)).Outcome ==
        read_outcome::Succeeded);
  for (const char *Outcome : {"3", "-1", "0.5", "\"0\"", "null"}) {
    CAPTURE(Outcome);
    std::string Body = R"({"outcome":)" + std::string(Outcome) +
                       R"(,"revision":1,"time":1,"rows":[],"error":""})";
    CHECK(decodeReadResult({200, {}, Body}).Outcome == read_outcome::Failed);
    Body.replace(Body.find(Outcome), std::string(Outcome).size(),
                 std::string(Outcome) == "3" ? "4" : Outcome);
    CHECK(decodeTransactionResult({200, {}, Body}).Outcome ==
          transaction_outcome::Unknown);
  }
}

// Guards against a log that names a syntax error where a peer has refused to
// make a call.
TEST_CASE("a call that a peer refuses fails with the status of the response") {
  for (const http_response &Refusal :
       {http_response{503, {}, ""}, http_response{400, {}, "{}"}}) {
    std::string Status = std::to_string(Refusal.Status);
    read_result Read = decodeReadResult(Refusal);
    CHECK(Read.Outcome == read_outcome::Failed);
    CHECK(Read.Error == "store call: HTTP status " + Status);
    transaction_result Transaction = decodeTransactionResult(Refusal);
    CHECK(Transaction.Outcome == transaction_outcome::Unknown);
    CHECK(Transaction.Error == "store call: HTTP status " + Status);
  }
}
