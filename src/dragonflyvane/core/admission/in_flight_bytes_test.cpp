#include "dragonflyvane/core/admission/in_flight_bytes.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::seconds;

namespace {

/// The mean size of an upload of the second customer, in bytes.
constexpr size_t Upload = 60'000;
constexpr size_t LargestUpload = 360'000;

/// Sends uploads as long as they are admitted, at most as many as a server has
/// slots. Returns their number.
int sendAll(in_flight_bytes &Bytes) {
  int Sent = 0;
  while (Sent < 9 && Bytes.admits(Upload)) {
    Bytes.onSent(Upload);
    ++Sent;
  }
  return Sent;
}

/// The server completes all of them.
void completeAll(in_flight_bytes &Bytes, time_point Now) {
  while (Bytes.inFlight() > 0)
    Bytes.onCompleted(Upload, Now);
}

void loseAll(in_flight_bytes &Bytes, time_point Now) {
  while (Bytes.inFlight() > 0)
    Bytes.onConnectionLost(Upload, Now);
}

} // namespace

// Guards against a server that gets more bytes at once than it has memory for
// before anything is known of it. Pattern: many uploads after a start.
TEST_CASE("the bytes in flight start low and rise by what was completed") {
  in_flight_bytes Bytes;
  int First = sendAll(Bytes);
  CHECK(First >= 1);
  CHECK(First < 9);
  size_t Held = Bytes.inFlight();
  completeAll(Bytes, time_point());
  CHECK(Bytes.allowance() > Held);
  CHECK(Bytes.allowance() <= Held * 3 / 2);
  int Rounds = 1;
  while (sendAll(Bytes) < 9 && Rounds < 20) {
    completeAll(Bytes, time_point());
    ++Rounds;
  }
  CHECK(Rounds < 20);
}

// Guards against an upload that never runs because it is larger than the
// allowance, and against small requests that wait for uploads.
TEST_CASE("a request alone and small requests always pass") {
  in_flight_bytes Bytes;
  CHECK(Bytes.admits(LargestUpload));
  Bytes.onSent(LargestUpload);
  CHECK(!Bytes.admits(Upload));
  CHECK(Bytes.admits(2'000));
  Bytes.onEnded(LargestUpload);
  CHECK(Bytes.admits(Upload));
}

// Guards against a large upload that waits for ever behind small bodies, of
// which a busy server always has some.
TEST_CASE("small bodies do not keep the largest upload waiting") {
  in_flight_bytes Bytes;
  Bytes.onSent(2'000);
  CHECK(Bytes.admits(LargestUpload));
  Bytes.onEnded(2'000);
  CHECK(Bytes.inFlight() == 0);
}

// Guards against a server that crashes again and again of the same load.
TEST_CASE("a crash cuts the bytes in flight and limits them for a time") {
  in_flight_bytes Bytes;
  time_point Now(seconds(100));
  for (int I = 0; I < 10; ++I) {
    sendAll(Bytes);
    completeAll(Bytes, Now);
  }
  sendAll(Bytes);
  size_t Held = Bytes.inFlight();
  loseAll(Bytes, Now);
  CHECK(Bytes.onServerEnded(Now + seconds(1)));
  CHECK(!Bytes.onServerEnded(Now + seconds(1)));
  CHECK(Bytes.allowance() <= Held / 2);
  for (int I = 0; I < 20; ++I) {
    sendAll(Bytes);
    CHECK(Bytes.inFlight() < Held);
    completeAll(Bytes, Now + seconds(50));
  }
  // The crash may have had another cause.
  for (int I = 0; I < 20; ++I) {
    sendAll(Bytes);
    completeAll(Bytes, Now + seconds(70));
  }
  CHECK(sendAll(Bytes) == 9);
}

// Guards against a bound that falls by crashes which uploads cannot have
// caused. Pattern: servers that stop without lost connections, or long after.
TEST_CASE("a server that ends without losing uploads keeps its allowance") {
  in_flight_bytes Bytes;
  size_t Allowance = Bytes.allowance();
  CHECK(!Bytes.onServerEnded(time_point(seconds(1))));
  Bytes.onSent(100);
  Bytes.onConnectionLost(100, time_point(seconds(2)));
  CHECK(!Bytes.onServerEnded(time_point(seconds(3))));
  Bytes.onSent(Upload);
  Bytes.onConnectionLost(Upload, time_point(seconds(10)));
  CHECK(!Bytes.onServerEnded(time_point(seconds(20))));
  CHECK(Bytes.allowance() == Allowance);
}
