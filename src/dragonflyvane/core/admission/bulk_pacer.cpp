#include "dragonflyvane/core/admission/bulk_pacer.hpp"

#include <algorithm>

namespace dragonflyvane {

namespace {

/// A small message waits at most this long for a piece that is being sent,
/// unless the smallest piece takes longer on a slow link.
constexpr std::chrono::milliseconds PieceTime{15};
/// Bounds of the piece size in bytes.
constexpr double MinPieceSize = 8 << 10;
constexpr double MaxPieceSize = 1 << 20;
/// The link takes this long for a message that needs no turn, so that a
/// hundred of them at once delay a small message by less than half a second.
constexpr std::chrono::milliseconds SmallMessageTime{4};
/// Timers fire late. The pacer makes up for at most this much lost time by
/// sending the following pieces earlier.
constexpr std::chrono::milliseconds MaxCatchUp{20};

duration durationOf(double Bytes, double Rate) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Bytes / Rate));
}

} // namespace

bulk_pacer::bulk_pacer(scheduler &Loop, const clock_source &Clock,
                       double LinkRate, double BulkShare)
    : Loop(Loop), Clock(Clock), BulkRate(LinkRate * BulkShare),
      PieceSize(static_cast<size_t>(std::clamp(
          BulkRate * std::chrono::duration<double>(PieceTime).count(),
          MinPieceSize, MaxPieceSize))),
      SmallSize(std::min(
          PieceSize,
          static_cast<size_t>(
              BulkRate *
              std::chrono::duration<double>(SmallMessageTime).count()))) {}

duration bulk_pacer::backlog() const {
  duration UntilRelease = std::max(duration{0}, NextReleaseAt - Clock.now());
  return UntilRelease + durationOf(static_cast<double>(BacklogBytes), BulkRate);
}

duration bulk_pacer::transferTime(size_t Bytes) const {
  if (!isBulk(Bytes))
    return duration{0};
  return backlog() + durationOf(static_cast<double>(Bytes), BulkRate);
}

duration bulk_pacer::transferTime(size_t RequestBytes,
                                  size_t ResponseBytes) const {
  size_t BulkBytes = 0;
  for (size_t Bytes : {RequestBytes, ResponseBytes})
    if (isBulk(Bytes))
      BulkBytes += Bytes;
  return transferTime(BulkBytes);
}

uint64_t bulk_pacer::beginTransfer(size_t Bytes) {
  Transfers[++LastId].RemainingBytes = Bytes;
  BacklogBytes += Bytes;
  return LastId;
}

void bulk_pacer::awaitTurn(uint64_t Id, std::function<void()> OnTurn) {
  Transfers.at(Id).OnTurn = std::move(OnTurn);
  // A timer instead of a direct call, since the sender that calls this function
  // is in the middle of a write.
  scheduleRelease();
}

void bulk_pacer::endTransfer(uint64_t Id) {
  auto Found = Transfers.find(Id);
  BacklogBytes -= Found->second.RemainingBytes;
  Transfers.erase(Found);
}

std::map<uint64_t, bulk_pacer::transfer>::iterator bulk_pacer::nextTransfer() {
  auto Oldest = Transfers.end();
  for (auto I = Transfers.begin(); I != Transfers.end(); ++I) {
    if (!I->second.isWaiting())
      continue;
    if (I->second.RemainingBytes <= PieceSize)
      return I;
    if (Oldest == Transfers.end())
      Oldest = I;
  }
  return Oldest;
}

void bulk_pacer::releaseNextPiece() {
  if (Clock.now() < NextReleaseAt)
    return scheduleRelease();
  auto Next = nextTransfer();
  if (Next == Transfers.end())
    return;
  transfer &Transfer = Next->second;
  size_t Bytes = std::min(PieceSize, Transfer.RemainingBytes);
  Transfer.RemainingBytes -= Bytes;
  BacklogBytes -= Bytes;
  occupyLink(Bytes);
  scheduleRelease();
  std::exchange(Transfer.OnTurn, nullptr)();
}

void bulk_pacer::occupyLink(size_t Bytes) {
  NextReleaseAt = std::max(NextReleaseAt, Clock.now() - MaxCatchUp) +
                  durationOf(static_cast<double>(Bytes), BulkRate);
}

void bulk_pacer::scheduleRelease() {
  ReleaseTimer = Loop.after(std::max(duration{0}, NextReleaseAt - Clock.now()),
                            [this] { releaseNextPiece(); });
}

void bulk_pacer::takeWithoutTurn(size_t Bytes) { occupyLink(Bytes); }

} // namespace dragonflyvane
