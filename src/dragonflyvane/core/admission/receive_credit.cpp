#include "dragonflyvane/core/admission/receive_credit.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

receive_credit::receive_credit(bulk_pacer &Pacer, std::optional<size_t> Length,
                               credit_callback OnCredit)
    : Pacer(Pacer), OnCredit(std::move(OnCredit)),
      Outstanding(static_cast<int64_t>(Pacer.smallSize())) {
  if (Length)
    Ungranted = *Length - std::min(*Length, Pacer.smallSize());
}

void receive_credit::onReceived(size_t Bytes) {
  if (!HasCredit)
    Pacer.takeWithoutTurn(Bytes);
  Outstanding -= static_cast<int64_t>(Bytes);
  // The message goes on after its stated length.
  if (isGrantedWhole() && Outstanding <= 0)
    Ungranted.reset();
  requestPiece();
}

void receive_credit::requestPiece() {
  bool MayGrowCredit = Outstanding <= pieceSize();
  if (AwaitsTurn || isGrantedWhole() || !MayGrowCredit)
    return;
  AwaitsTurn = true;
  if (!Transfer)
    Transfer = bulk_transfer(Pacer, Ungranted.value_or(Pacer.pieceSize()));
  Transfer.awaitTurn([this] { grantPiece(); });
}

void receive_credit::grantPiece() {
  AwaitsTurn = false;
  HasCredit = true;
  size_t Size = Pacer.pieceSize();
  if (Ungranted) {
    Size = std::min(Size, *Ungranted);
    *Ungranted -= Size;
  }
  Outstanding += static_cast<int64_t>(Size);
  // Without a known length, each piece is a transfer of its own.
  if (!Ungranted || isGrantedWhole())
    Transfer = {};
  requestPiece();
  // Last, since it may destroy this object.
  OnCredit(Size);
}

} // namespace dragonflyvane
