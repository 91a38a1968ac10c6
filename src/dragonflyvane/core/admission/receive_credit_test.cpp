#include "dragonflyvane/core/admission/receive_credit.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// 10 Mbit/s, in bytes per second.
constexpr double SlowLink = 1'250'000;

/// A sender that uses its credit, and the receiver of its message.
class upload {
public:
  /// What is sent arrives after `Delay`.
  upload(manual_scheduler &Loop, bulk_pacer &Pacer, size_t Bytes,
         std::optional<size_t> StatedLength, duration Delay)
      : Loop(Loop), Remaining(Bytes), Delay(Delay),
        Credit(std::in_place, Pacer, StatedLength, [this](size_t Size) {
          Granted += Size;
          send(Size);
        }) {
    send(Pacer.smallSize());
  }

  size_t bytesOnTheirWay() const { return OnTheirWay; }
  /// The bytes that were granted in addition to the first ones.
  size_t granted() const { return Granted; }
  bool hasArrived() const { return Remaining == 0 && OnTheirWay == 0; }

private:
  void send(size_t Size) {
    Size = std::min(Size, Remaining);
    if (Size == 0)
      return;
    Remaining -= Size;
    OnTheirWay += Size;
    Loop.postDelayed(Delay, [this, Size] {
      OnTheirWay -= Size;
      if (hasArrived())
        Credit.reset();
      else
        Credit->onReceived(Size);
    });
  }

  manual_scheduler &Loop;
  size_t Remaining;
  duration Delay;
  size_t OnTheirWay = 0;
  size_t Granted = 0;
  /// None once the message has arrived.
  std::optional<receive_credit> Credit;
};

} // namespace

// Guards against many hosts that fill the link of one: each of them knows its
// own link only.
TEST_CASE("uploads of many hosts together keep to the rate of the link") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  std::vector<std::unique_ptr<upload>> Uploads;
  Uploads.reserve(12);
  for (int I = 0; I < 12; ++I)
    Uploads.push_back(std::make_unique<upload>(Loop, Pacer, 1'000'000,
                                               1'000'000, milliseconds(10)));
  Loop.runFor(milliseconds(1000));
  size_t Granted = 0;
  size_t OnTheirWay = 0;
  for (const auto &Upload : Uploads) {
    Granted += Upload->granted();
    OnTheirWay += Upload->bytesOnTheirWay();
  }
  // All of them begin with bytes that need no credit.
  double Allowed = static_cast<double>(Granted + 12 * Pacer.smallSize());
  auto Piece = static_cast<double>(Pacer.pieceSize());
  CHECK(Allowed < bulk_pacer::DefaultShare * SlowLink + 3 * Piece);
  CHECK(Allowed > bulk_pacer::DefaultShare * SlowLink - 3 * Piece);
  // The link takes less than 100 ms for them.
  CHECK(static_cast<double>(OnTheirWay) < 0.1 * SlowLink);
}

TEST_CASE("at most two pieces of an upload are on their way") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  upload Upload(Loop, Pacer, 500'000, 500'000, milliseconds(300));
  size_t Most = 0;
  for (int I = 0; I < 1000 && !Upload.hasArrived(); ++I) {
    Loop.runFor(milliseconds(10));
    Most = std::max(Most, Upload.bytesOnTheirWay());
  }
  CHECK(Upload.hasArrived());
  CHECK(Most <= 2 * Pacer.pieceSize());
}

// Guards against a sender that waits for credit for ever, since the length of
// its message is not known or wrong.
TEST_CASE("an upload without its right length arrives whole") {
  for (std::optional<size_t> StatedLength :
       {std::optional<size_t>(), std::optional<size_t>(0),
        std::optional<size_t>(100'000)}) {
    manual_scheduler Loop;
    bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
    upload Upload(Loop, Pacer, 300'000, StatedLength, milliseconds(10));
    Loop.runFor(milliseconds(1000));
    CHECK(Upload.hasArrived());
  }
}

TEST_CASE("an upload is granted its stated length and no more") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  upload Upload(Loop, Pacer, 300'000, 300'000, milliseconds(10));
  upload Small(Loop, Pacer, 1'000, 1'000, milliseconds(10));
  Loop.runFor(milliseconds(1000));
  CHECK(Upload.hasArrived());
  CHECK(Upload.granted() + Pacer.smallSize() == 300'000);
  CHECK(Small.granted() == 0);
  CHECK(Pacer.isIdle());
}

// Guards against a link that stays reserved for an upload that was cancelled.
TEST_CASE("an upload that ends early takes no more of the link") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  auto Upload = std::make_unique<receive_credit>(
      Pacer, 300'000, [](size_t) { FAIL("credit for a cancelled upload"); });
  Upload->onReceived(Pacer.pieceSize());
  CHECK(!Pacer.isIdle());
  Upload.reset();
  CHECK(Pacer.isIdle());
  Loop.runFor(milliseconds(100));
}

// Guards against a hang: a sender on a new connection begins with the default
// window of HTTP/2, and then has used more than it was granted.
TEST_CASE("an upload whose sender did not know the limit arrives whole") {
  constexpr size_t DefaultWindow = 65'535;
  constexpr size_t Length = 200'000;
  for (std::optional<size_t> StatedLength :
       {std::optional<size_t>(Length), std::optional<size_t>()}) {
    manual_scheduler Loop;
    bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
    size_t Received = 0;
    // What the sender may send, after the limit became known to it.
    int64_t Window = static_cast<int64_t>(Pacer.smallSize()) - DefaultWindow;
    std::optional<receive_credit> Credit;
    auto Receive = [&](size_t Bytes) {
      Received += Bytes;
      if (Received < Length)
        Credit->onReceived(Bytes);
    };
    Credit.emplace(Pacer, StatedLength, [&](size_t Size) {
      Window += static_cast<int64_t>(Size);
      size_t Sent =
          std::min<int64_t>(std::max<int64_t>(Window, 0), Length - Received);
      Window -= static_cast<int64_t>(Sent);
      if (Sent > 0)
        Loop.postDelayed(milliseconds(10), [&, Sent] { Receive(Sent); });
    });
    Receive(DefaultWindow);
    Loop.runFor(milliseconds(1000));
    CHECK(Received == Length);
  }
}

// Guards against many small messages that keep large ones from having a turn.
TEST_CASE("small messages count with their size") {
  for (std::optional<size_t> StatedLength :
       {std::optional<size_t>(300), std::optional<size_t>()}) {
    manual_scheduler Loop;
    bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
    timer Messages = Loop.every(milliseconds(5), [&] {
      receive_credit(Pacer, StatedLength, [](size_t) {}).onReceived(300);
    });
    upload Upload(Loop, Pacer, 92'000, 92'000, milliseconds(10));
    Loop.runFor(milliseconds(300));
    CHECK(Upload.hasArrived());
  }
}

// Guards against reports and rows that wait behind all uploads.
TEST_CASE("a message that needs one piece passes uploads") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  std::vector<std::unique_ptr<upload>> Uploads;
  Uploads.reserve(20);
  for (int I = 0; I < 20; ++I)
    Uploads.push_back(std::make_unique<upload>(Loop, Pacer, 1'000'000,
                                               1'000'000, milliseconds(10)));
  Loop.runFor(milliseconds(500));
  upload Message(Loop, Pacer, 15'000, 15'000, milliseconds(10));
  Loop.runFor(milliseconds(100));
  CHECK(Message.hasArrived());
}
