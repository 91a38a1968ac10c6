/// Divides one direction of a host's network link between bulk messages and all
/// others. Bulk messages are sent in pieces, at a fraction of the link's rate,
/// so that a small message never waits for a whole download.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace dragonflyvane {

/// Decides when each piece of a bulk transfer is sent. Of the transfers that
/// wait for their turns, those that end with one piece go first, then the
/// oldest one.
class bulk_pacer {
public:
  /// The fraction of a link's rate that bulk messages may use by default.
  static constexpr double DefaultShare = 0.75;

  /// `LinkRate` is the rate of the whole link in bytes per second, `BulkShare`
  /// the fraction of it that bulk messages may use.
  bulk_pacer(scheduler &Loop, const clock_source &Clock, double LinkRate,
             double BulkShare = DefaultShare);
  bulk_pacer(const bulk_pacer &) = delete;
  bulk_pacer &operator=(const bulk_pacer &) = delete;

  /// Returns whether a message of this size is sent in pieces.
  bool isBulk(size_t Bytes) const { return Bytes > PieceSize; }
  /// Returns the size of a piece in bytes.
  size_t pieceSize() const { return PieceSize; }
  /// Returns the size of a message in bytes that any number of hosts may send
  /// to this host without a turn. At most `pieceSize()`.
  size_t smallSize() const { return SmallSize; }
  /// Returns whether no transfer is in progress.
  bool isIdle() const { return Transfers.empty(); }
  /// Returns how long a message of this size would take behind all transfers in
  /// progress; zero if it is not sent in pieces.
  duration transferTime(size_t Bytes) const;
  /// Returns the same for a request and its response, which cross the link one
  /// after the other. The transfers in progress count once.
  duration transferTime(size_t RequestBytes, size_t ResponseBytes) const;
  /// Returns the time until all transfers in progress have ended, and all bytes
  /// that were counted have passed.
  duration backlog() const;
  /// Counts bytes of a bulk message that move without a turn. The next turns
  /// come later.
  void takeWithoutTurn(size_t Bytes);

private:
  friend class bulk_transfer;
  struct transfer {
    bool isWaiting() const { return OnTurn != nullptr; }

    size_t RemainingBytes = 0;
    /// The callback of a transfer that waits for its turn; empty otherwise.
    std::function<void()> OnTurn;
  };

  uint64_t beginTransfer(size_t Bytes);
  void awaitTurn(uint64_t Id, std::function<void()> OnTurn);
  void endTransfer(uint64_t Id);
  /// Returns the transfer that has the next turn, or the end if none waits.
  std::map<uint64_t, transfer>::iterator nextTransfer();
  /// Lets the next transfer send a piece and schedules the next call.
  void releaseNextPiece();
  /// Advances `NextReleaseAt` by the time that the link takes for the bytes.
  void occupyLink(size_t Bytes);
  void scheduleRelease();

  scheduler &Loop;
  const clock_source &Clock;
  /// The rate of all bulk transfers together, in bytes per second.
  double BulkRate;
  size_t PieceSize;
  size_t SmallSize;
  /// The bytes of all transfers that are still to be sent.
  size_t BacklogBytes = 0;
  uint64_t LastId = 0;
  std::map<uint64_t, transfer> Transfers;
  /// No piece is released before this time.
  time_point NextReleaseAt{};
  timer ReleaseTimer;
};

/// A bulk message that is being sent. Its destruction ends the transfer and
/// frees its share of the link.
class bulk_transfer {
public:
  /// Creates a handle without a transfer, on which `awaitTurn` and `pieceSize`
  /// must not be called.
  bulk_transfer() = default;
  /// Starts a transfer of this size. `Pacer` must outlive it.
  bulk_transfer(bulk_pacer &Pacer, size_t Bytes)
      : Pacer(&Pacer), Id(Pacer.beginTransfer(Bytes)) {}
  bulk_transfer(bulk_transfer &&Other) noexcept { swap(Other); }
  bulk_transfer &operator=(bulk_transfer &&Other) noexcept {
    swap(Other);
    return *this;
  }
  ~bulk_transfer() {
    if (Pacer)
      Pacer->endTransfer(Id);
  }

  /// Returns whether there is a transfer, so that the message is sent in
  /// pieces.
  explicit operator bool() const { return Pacer != nullptr; }
  /// Calls `OnTurn` once, later, when the next piece may be sent.
  void awaitTurn(std::function<void()> OnTurn) {
    Pacer->awaitTurn(Id, std::move(OnTurn));
  }
  /// Returns the size of a piece in bytes.
  size_t pieceSize() const { return Pacer->pieceSize(); }

private:
  void swap(bulk_transfer &Other) noexcept {
    std::swap(Pacer, Other.Pacer);
    std::swap(Id, Other.Id);
  }

  bulk_pacer *Pacer = nullptr;
  uint64_t Id = 0;
};

/// Returns whether the link delivers a response too late: after the deadline,
/// or after a soft deadline that it could meet without the link. A soft
/// deadline that has passed already is no reason, since the response is late
/// anyway. The times are those left until the deadlines, negative after them.
inline bool isLinkTooSlow(duration TransferTime, duration TimeLeft,
                          duration SoftTimeLeft) {
  if (TransferTime <= duration{0})
    return false;
  bool CouldBeInTime = SoftTimeLeft >= duration{0};
  return TransferTime > TimeLeft ||
         (CouldBeInTime && TransferTime > SoftTimeLeft);
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP
