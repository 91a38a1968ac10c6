#include "dragonflyvane/core/http_message.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;

TEST_CASE("hop-by-hop fields and the fields listed in Connection are removed") {
  header_list Headers;
  Headers.add("Connection", "close, X-Private");
  Headers.add("x-private", "1");
  Headers.add("Keep-Alive", "5");
  Headers.add("Set-Cookie", "a=1");
  Headers.add("Set-Cookie", "b=2");
  removeHopByHop(Headers);
  REQUIRE(Headers.all().size() == 2);
  CHECK(Headers.all()[1].Value == "b=2");
}

TEST_CASE("internal fields of a caller are removed") {
  header_list Headers;
  Headers.add("X-DragonflyVane-Workspace", "other");
  Headers.add("X-Other", "kept");
  removeInternal(Headers);
  REQUIRE(Headers.all().size() == 1);
  CHECK(Headers.find("x-other") == "kept");
}

TEST_CASE("percent decoding copies a malformed escape sequence") {
  CHECK(percentDecode("a%2fb") == "a/b");
  CHECK(percentDecode("a%2") == "a%2");
  CHECK(percentDecode("%zz%41") == "%zzA");
}

TEST_CASE("query parameters are found by name") {
  CHECK(queryParameter("/a?k", "k") == "");
  CHECK(queryParameter("/a?x=1&k=2", "k") == "2");
  CHECK(!queryParameter("/a", "k"));
}
