#include "dragonflyvane/core/admission/bulk_pacer.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// The part of a link that large transfers may fill.
constexpr double BulkPart = 0.75;
/// A piece holds a small message up for at most this long.
constexpr std::chrono::milliseconds PieceTime{15};
constexpr double SmallestPiece = 8 << 10;
constexpr double LargestPiece = 1 << 20;
/// Timers fire late; so much of the pieces' time is made up for.
constexpr std::chrono::milliseconds CatchUp{20};

duration inTime(double Bytes, double Rate) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Bytes / Rate));
}

} // namespace

bulk_pacer::bulk_pacer(scheduler &Loop, const clock_source &Clock,
                       double LinkRate)
    : Loop(Loop), Clock(Clock), Rate(LinkRate * BulkPart),
      Piece(static_cast<size_t>(
          std::clamp(Rate * std::chrono::duration<double>(PieceTime).count(),
                     SmallestPiece, LargestPiece))) {}

duration bulk_pacer::backlog() const {
  return inTime(static_cast<double>(Left), Rate);
}

duration bulk_pacer::transferTime(size_t Bytes) const {
  if (!isBulk(Bytes))
    return duration{0};
  return backlog() + inTime(static_cast<double>(Bytes), Rate);
}

uint64_t bulk_pacer::begin(size_t Bytes) {
  Transfers[++LastId].Left = Bytes;
  Left += Bytes;
  return LastId;
}

void bulk_pacer::awaitTurn(uint64_t Id, std::function<void()> Go) {
  Transfers.at(Id).Go = std::move(Go);
  // Not at once: callers are in the middle of writing.
  if (Clock.now() >= NextAt)
    Next = Loop.after(duration{0}, [this] { pump(); });
}

void bulk_pacer::end(uint64_t Id) {
  auto Found = Transfers.find(Id);
  Left -= Found->second.Left;
  Transfers.erase(Found);
}

void bulk_pacer::pump() {
  time_point Now = Clock.now();
  auto First =
      std::find_if(Transfers.begin(), Transfers.end(),
                   [](const auto &T) { return T.second.Go != nullptr; });
  if (First == Transfers.end())
    return;
  transfer &Transfer = First->second;
  size_t Bytes = std::min(Piece, Transfer.Left);
  Transfer.Left -= Bytes;
  Left -= Bytes;
  NextAt = std::max(NextAt, Now - CatchUp) +
           inTime(static_cast<double>(Bytes), Rate);
  Next = Loop.after(std::max(duration{0}, NextAt - Now), [this] { pump(); });
  std::exchange(Transfer.Go, nullptr)();
}

} // namespace dragonflyvane
