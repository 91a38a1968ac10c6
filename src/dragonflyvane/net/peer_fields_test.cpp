#include "dragonflyvane/net/peer_fields.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// The facts that a receiver reads from the fields of a message.
message_facts factsOf(const header_list &Fields) {
  message_facts Facts;
  for (const header &H : Fields.all())
    readFact(H.Name, H.Value, Facts);
  return Facts;
}

message_facts factsOf(const std::string &Name, const std::string &Value) {
  message_facts Facts;
  CHECK(readFact(Name, Value, Facts));
  return Facts;
}

} // namespace

TEST_CASE("a message tells when it was sent and how large it is") {
  http_request Request{"POST", "/", {}, "body"};
  time_point Now(milliseconds(1234));
  message_facts Facts =
      factsOf(makeRequestFields(Request, Now, milliseconds(56)));
  REQUIRE(Facts.SendTime);
  CHECK(Facts.SendTime->SentAt == milliseconds(1234));
  CHECK(Facts.SendTime->Waited == milliseconds(56));
  CHECK(Facts.BodyBytes == 4);
  Facts = factsOf(makeResponseFields({200, {}, ""}, Now));
  REQUIRE(Facts.SendTime);
  CHECK(Facts.SendTime->Waited == milliseconds(0));
  CHECK(!Facts.BodyBytes);
}

// Guards against a peer whose odd values are taken for times or sizes.
TEST_CASE("values that cannot be read tell nothing") {
  for (const char *Value : {"", "-1", "12x", "12,", "12,-3", "12,3,4",
                            "12,10001", "99999999999999999999"})
    CHECK(!factsOf("x-dragonflyvane-sent-at", Value).SendTime);
  for (const char *Value : {"", "-1", "12x", "1,2", "99999999999999999999"})
    CHECK(!factsOf("x-dragonflyvane-body-bytes", Value).BodyBytes);
}

TEST_CASE("other fields are left alone") {
  message_facts Facts;
  CHECK(!readFact("content-length", "4", Facts));
  CHECK(!Facts.SendTime);
  CHECK(!Facts.BodyBytes);
}
