#include "dragonflyvane/core/liveness_check.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// A connection that is checked every 200 ms.
struct checked_connection {
  liveness_action checkAt(milliseconds Time) {
    return Check.check(Accepted, HasInput, time_point(Time));
  }

  uint64_t Accepted = 0;
  bool HasInput = false;
  liveness_check Check{time_point()};
};

} // namespace

TEST_CASE("a connection on which nothing is received is checked, then closed") {
  checked_connection Connection;
  CHECK(Connection.checkAt(milliseconds(200)) == liveness_action::None);
  CHECK(Connection.checkAt(milliseconds(400)) == liveness_action::SendPing);
  Connection.Check.onPingQueued(17);
  CHECK(Connection.checkAt(milliseconds(800)) == liveness_action::None);
  CHECK(Connection.checkAt(milliseconds(1000)) == liveness_action::Close);
}

TEST_CASE("bytes that are received end the wait for a response to a PING") {
  checked_connection Connection;
  CHECK(Connection.checkAt(milliseconds(400)) == liveness_action::SendPing);
  Connection.Check.onReceived(time_point(milliseconds(700)));
  CHECK(Connection.checkAt(milliseconds(1000)) == liveness_action::SendPing);
}

// Guards against a connection that is closed although its PING is still behind
// the bytes of uploads, which the peer's host accepts one after the other.
TEST_CASE("a PING behind bytes that the peer's host accepts proves nothing") {
  checked_connection Connection;
  CHECK(Connection.checkAt(milliseconds(400)) == liveness_action::SendPing);
  Connection.Check.onPingQueued(100'000);
  for (int I = 1; I <= 10; ++I) {
    Connection.Accepted += 10'000;
    CHECK(Connection.checkAt(milliseconds(400 + 400 * I)) ==
          liveness_action::None);
  }
  CHECK(Connection.checkAt(milliseconds(4800)) == liveness_action::None);
  CHECK(Connection.checkAt(milliseconds(5000)) == liveness_action::Close);
}

// Guards against a process that never reads, on a host whose kernel accepts
// what is sent after the PING.
TEST_CASE("bytes that are accepted behind the PING are no progress") {
  checked_connection Connection;
  CHECK(Connection.checkAt(milliseconds(400)) == liveness_action::SendPing);
  Connection.Check.onPingQueued(17);
  Connection.Accepted = 17;
  CHECK(Connection.checkAt(milliseconds(600)) == liveness_action::None);
  Connection.Accepted = 50'000;
  CHECK(Connection.checkAt(milliseconds(1000)) == liveness_action::None);
  Connection.Accepted = 90'000;
  CHECK(Connection.checkAt(milliseconds(1200)) == liveness_action::Close);
}

// Guards against a process that was suspended and blames its peers: their
// responses wait in its sockets when the late check runs.
TEST_CASE("a connection with input that was not read is not closed") {
  checked_connection Connection;
  CHECK(Connection.checkAt(milliseconds(400)) == liveness_action::SendPing);
  Connection.HasInput = true;
  CHECK(Connection.checkAt(milliseconds(2400)) == liveness_action::None);
}
