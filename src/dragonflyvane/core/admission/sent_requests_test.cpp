#include "dragonflyvane/core/admission/sent_requests.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace dragonflyvane;
using std::chrono::seconds;

// Guards against a repeat that counts as a first request, at each moment of the
// period after which ids are forgotten.
TEST_CASE("a request is known for at least 30 s") {
  for (int Start = 0; Start < 60; ++Start) {
    manual_clock Clock;
    sent_requests Requests;
    CHECK(Requests.insert("other", Clock.now()));
    Clock.advance(seconds(Start));
    CHECK(Requests.insert("r-1", Clock.now()));
    CHECK(!Requests.insert("r-1", Clock.now()));
    Clock.advance(seconds(29));
    CHECK(!Requests.insert("r-1", Clock.now()));
  }
}

// Guards against memory that grows with the number of requests ever sent.
TEST_CASE("a request is forgotten") {
  manual_clock Clock;
  sent_requests Requests;
  CHECK(Requests.insert("r-1", Clock.now()));
  for (int I = 0; I < 3; ++I) {
    Clock.advance(seconds(31));
    Requests.insert(std::to_string(I), Clock.now());
  }
  CHECK(Requests.insert("r-1", Clock.now()));
}

TEST_CASE("a request without an id counts as sent before") {
  sent_requests Requests;
  CHECK(!Requests.insert("", manual_clock().now()));
}
