#include "dragonflyvane/core/admission/bulk_pacer.hpp"

#include "manual_scheduler.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

/// 10 Mbit/s, in bytes per second.
constexpr double SlowLink = 1'250'000;

/// Sends a message piece by piece.
struct download {
  download(bulk_pacer &Pacer, size_t Bytes)
      : Transfer(Pacer, Bytes), RemainingBytes(Bytes) {
    awaitNextPiece();
  }
  void awaitNextPiece() {
    Transfer.awaitTurn([this] {
      RemainingBytes -= std::min(RemainingBytes, Transfer.pieceSize());
      if (RemainingBytes > 0)
        awaitNextPiece();
    });
  }
  bulk_transfer Transfer;
  size_t RemainingBytes;
};

} // namespace

TEST_CASE("downloads leave a quarter of a slow link to small messages") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  download Large(Pacer, 10'000'000);
  Loop.runFor(std::chrono::seconds(4));
  double Sent = 10'000'000.0 - static_cast<double>(Large.RemainingBytes);
  CHECK(Sent < SlowLink * 4 * 0.77);
  CHECK(Sent > SlowLink * 4 * 0.7);
}

TEST_CASE("a piece of a download occupies a slow link for less than 16 ms") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  CHECK(static_cast<double>(Pacer.pieceSize()) / SlowLink < 0.016);
  CHECK(Pacer.isBulk(90'000));
  CHECK_FALSE(Pacer.isBulk(5'000));
}

TEST_CASE("the oldest download ends first") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  download First(Pacer, 115'000);
  download Second(Pacer, 115'000);
  Loop.runFor(milliseconds(140));
  CHECK(First.RemainingBytes == 0);
  CHECK(Second.RemainingBytes > 50'000);
  Loop.runFor(milliseconds(140));
  CHECK(Second.RemainingBytes == 0);
}

TEST_CASE("the backlog is the time until a new download would start") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  download First(Pacer, 937'500);
  CHECK(Pacer.backlog() == std::chrono::seconds(1));
  CHECK(Pacer.transferTime(93'750) == milliseconds(1100));
  CHECK(Pacer.transferTime(1'000) == duration{0});
  Loop.runFor(milliseconds(500));
  CHECK(Pacer.backlog() < milliseconds(510));
  CHECK(Pacer.backlog() > milliseconds(440));
}

// Guards against an upload that is admitted although the link cannot carry it
// in time, and against small requests that are refused beside it.
TEST_CASE("a large request and its response count, small ones do not") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  download First(Pacer, 937'500);
  CHECK(Pacer.transferTime(93'750, 500) == milliseconds(1100));
  CHECK(Pacer.transferTime(500, 93'750) == milliseconds(1100));
  CHECK(Pacer.transferTime(93'750, 93'750) == milliseconds(1200));
  CHECK(Pacer.transferTime(10'000, 10'000) == duration{0});
}

TEST_CASE("a cancelled download frees the link at once") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  auto First = std::make_unique<download>(Pacer, 1'000'000);
  download Second(Pacer, 50'000);
  Loop.runFor(milliseconds(30));
  First.reset();
  Loop.runFor(milliseconds(80));
  CHECK(Second.RemainingBytes == 0);
  CHECK(Pacer.backlog() == duration{0});
  Second.Transfer = {};
  CHECK(Pacer.isIdle());
}

TEST_CASE("on a fast link a message of 500 kB is sent whole") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), 125'000'000);
  CHECK_FALSE(Pacer.isBulk(500'000));
}

// Guards against a large response that is refused because a first server failed
// and took its soft deadline, although it could still be delivered late.
TEST_CASE("a response that is late anyway is not refused because of the link") {
  CHECK(
      isLinkTooSlow(milliseconds(300), milliseconds(2000), milliseconds(200)));
  CHECK(
      !isLinkTooSlow(milliseconds(300), milliseconds(2000), milliseconds(-50)));
  CHECK(isLinkTooSlow(milliseconds(300), milliseconds(250), milliseconds(-50)));
  CHECK(!isLinkTooSlow(milliseconds(0), milliseconds(250), milliseconds(200)));
}

// Guards against transfers that wait for ever, or share a link that others have
// taken without a turn.
TEST_CASE("bytes that move without a turn delay the next turns") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink);
  Loop.runFor(milliseconds(1000));
  Pacer.takeWithoutTurn(static_cast<size_t>(SlowLink * 0.3));
  CHECK(Pacer.backlog() > milliseconds(350));
  download Waiting(Pacer, 20'000);
  Loop.runFor(milliseconds(350));
  CHECK(Waiting.RemainingBytes == 20'000);
  Loop.runFor(milliseconds(100));
  CHECK(Waiting.RemainingBytes == 0);
}

TEST_CASE("bulk messages take no more than their share of the link") {
  manual_scheduler Loop;
  bulk_pacer Pacer(Loop, Loop.clock(), SlowLink, 0.5);
  download Large(Pacer, 10'000'000);
  Loop.runFor(std::chrono::seconds(4));
  double Sent = 10'000'000.0 - static_cast<double>(Large.RemainingBytes);
  CHECK(Sent < SlowLink * 4 * 0.52);
  CHECK(Sent > SlowLink * 4 * 0.47);
}
