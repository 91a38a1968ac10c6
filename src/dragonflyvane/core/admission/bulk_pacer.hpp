/// Shares a host's link between large answers and everything else: large ones
/// go out in pieces, at a part of the link's rate, so that small messages never
/// wait behind a whole download.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace dragonflyvane {

/// Orders pieces of large transfers, the oldest transfer first.
class bulk_pacer {
public:
  /// `LinkRate` in bytes a second.
  bulk_pacer(scheduler &Loop, const clock_source &Clock, double LinkRate);
  bulk_pacer(const bulk_pacer &) = delete;
  bulk_pacer &operator=(const bulk_pacer &) = delete;

  /// A message of this size goes out in pieces.
  bool isBulk(size_t Bytes) const { return Bytes > Piece; }
  /// The size of a piece in bytes.
  size_t pieceSize() const { return Piece; }
  /// Whether no transfer is under way.
  bool isIdle() const { return Transfers.empty(); }
  /// How long a message of this size would take, behind all that have begun.
  duration transferTime(size_t Bytes) const;
  /// How long all transfers that have begun need to end.
  duration backlog() const;

private:
  friend class bulk_transfer;
  struct transfer {
    size_t Left = 0;
    std::function<void()> Go;
  };

  uint64_t begin(size_t Bytes);
  void awaitTurn(uint64_t Id, std::function<void()> Go);
  void end(uint64_t Id);
  void pump();

  scheduler &Loop;
  const clock_source &Clock;
  /// Bytes a second for large transfers.
  double Rate;
  size_t Piece;
  size_t Left = 0;
  uint64_t LastId = 0;
  std::map<uint64_t, transfer> Transfers;
  time_point NextAt{};
  timer Next;
};

/// One large message on its way; its end or destruction makes room for others.
class bulk_transfer {
public:
  bulk_transfer() = default;
  bulk_transfer(bulk_pacer &Pacer, size_t Bytes)
      : Pacer(&Pacer), Id(Pacer.begin(Bytes)) {}
  bulk_transfer(bulk_transfer &&Other) noexcept { swap(Other); }
  bulk_transfer &operator=(bulk_transfer &&Other) noexcept {
    swap(Other);
    return *this;
  }
  ~bulk_transfer() {
    if (Pacer)
      Pacer->end(Id);
  }

  /// Whether this is a large message at all.
  explicit operator bool() const { return Pacer != nullptr; }
  /// Calls back when the next piece may go.
  void awaitTurn(std::function<void()> Go) {
    Pacer->awaitTurn(Id, std::move(Go));
  }
  size_t pieceSize() const { return Pacer->pieceSize(); }

private:
  void swap(bulk_transfer &Other) noexcept {
    std::swap(Pacer, Other.Pacer);
    std::swap(Id, Other.Id);
  }

  bulk_pacer *Pacer = nullptr;
  uint64_t Id = 0;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_BULK_PACER_HPP
