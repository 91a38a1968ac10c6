#include "dragonflyvane/core/silence_watch.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr time_point at(int Milliseconds) {
  return time_point(milliseconds(Milliseconds));
}

/// A connection whose PING was requested at 300 ms.
struct watched_connection {
  watched_connection() {
    CHECK(checkAt(300) == silence_action::SendPing);
    Watch.onPingQueued(17);
  }

  silence_action checkAt(int Milliseconds) {
    return Watch.check(Accepted, HasInput, MayWait, at(Milliseconds));
  }

  uint64_t Accepted = 0;
  bool HasInput = false;
  bool MayWait = true;
  silence_watch Watch{time_point()};
};

} // namespace

// Guards against a lost host that is noticed late.
TEST_CASE("a silent connection on which nothing may wait is closed at once") {
  watched_connection Connection;
  Connection.MayWait = false;
  CHECK(Connection.checkAt(800) == silence_action::None);
  CHECK(Connection.checkAt(801) == silence_action::Close);
  CHECK(!Connection.Watch.wasSilent());
}

// Guards against calls that end as unknown although their responses are on
// their way.
TEST_CASE("a silent connection that something waits on is kept for longer") {
  watched_connection Connection;
  CHECK(Connection.checkAt(801) == silence_action::Wait);
  CHECK(Connection.Watch.isSilent());
  CHECK(Connection.checkAt(3300) == silence_action::None);
  CHECK(Connection.checkAt(3301) == silence_action::Close);
}

TEST_CASE("a silent connection is closed once nothing waits on it") {
  watched_connection Connection;
  CHECK(Connection.checkAt(801) == silence_action::Wait);
  Connection.MayWait = false;
  CHECK(Connection.checkAt(1000) == silence_action::Close);
}

TEST_CASE("bytes that are received start the wait anew") {
  watched_connection Connection;
  CHECK(Connection.checkAt(801) == silence_action::Wait);
  Connection.Watch.onReceived(at(3200));
  CHECK(!Connection.Watch.isSilent());
  CHECK(Connection.Watch.wasSilent());
  CHECK(Connection.checkAt(3301) == silence_action::None);
  CHECK(Connection.checkAt(3500) == silence_action::SendPing);
  CHECK(Connection.Watch.lastPing() == at(3500));
  CHECK(Connection.checkAt(4001) == silence_action::Wait);
  CHECK(Connection.checkAt(6500) == silence_action::None);
  CHECK(Connection.checkAt(6501) == silence_action::Close);
}

// Guards against a limit that counts the time in which the bytes before the
// PING still moved.
TEST_CASE("progress up to the PING starts the wait anew") {
  watched_connection Connection;
  CHECK(Connection.checkAt(801) == silence_action::Wait);
  Connection.Accepted = 10;
  CHECK(Connection.checkAt(3000) == silence_action::None);
  CHECK(Connection.checkAt(6000) == silence_action::None);
  CHECK(Connection.checkAt(6001) == silence_action::Close);
}

// Guards against a connection that stays silent for good, while others to the
// same process work.
TEST_CASE("a peer that answers on another connection has less time") {
  watched_connection Connection;
  Connection.Watch.onPeerRuns(at(400));
  CHECK(Connection.checkAt(801) == silence_action::Wait);
  CHECK(Connection.checkAt(1000) == silence_action::None);
  Connection.Watch.onPeerRuns(at(1000));
  Connection.Watch.onPeerRuns(at(1300));
  SUBCASE("it stays silent") {
    CHECK(Connection.checkAt(1500) == silence_action::None);
    CHECK(Connection.checkAt(1501) == silence_action::Close);
  }
  SUBCASE("it is heard again") {
    Connection.Watch.onReceived(at(1400));
    CHECK(Connection.checkAt(1501) == silence_action::None);
    CHECK(Connection.checkAt(1700) == silence_action::SendPing);
    CHECK(Connection.checkAt(2201) == silence_action::Wait);
    CHECK(Connection.checkAt(4600) == silence_action::None);
  }
}

// Guards against a peer that is blamed for a pause of this process.
TEST_CASE("a connection with input that was not read is not closed") {
  watched_connection Connection;
  Connection.HasInput = true;
  CHECK(Connection.checkAt(9000) == silence_action::None);
}
