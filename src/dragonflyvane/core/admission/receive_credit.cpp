#include "dragonflyvane/core/admission/receive_credit.hpp"

#include <algorithm>
#include <utility>

namespace dragonflyvane {

receive_credit::receive_credit(bulk_pacer &Pacer, std::optional<size_t> Length,
                               credit_callback OnCredit)
    : Pacer(Pacer), OnCredit(std::move(OnCredit)),
      Outstanding(Pacer.pieceSize()) {
  if (Length)
    Ungranted = *Length - std::min(*Length, Outstanding);
  if (!isGrantedWhole())
    Pacer.takeWithoutTurn(Outstanding);
}

void receive_credit::onReceived(size_t Bytes) {
  Outstanding -= std::min(Bytes, Outstanding);
  // The message goes on after its stated length.
  if (isGrantedWhole() && Outstanding == 0)
    Ungranted.reset();
  requestPiece();
}

void receive_credit::requestPiece() {
  bool MayGrowCredit = Outstanding <= Pacer.pieceSize();
  if (AwaitsTurn || isGrantedWhole() || !MayGrowCredit)
    return;
  AwaitsTurn = true;
  if (!Transfer)
    Transfer = bulk_transfer(Pacer, Ungranted.value_or(Pacer.pieceSize()));
  Transfer.awaitTurn([this] { grantPiece(); });
}

void receive_credit::grantPiece() {
  AwaitsTurn = false;
  size_t Size = Pacer.pieceSize();
  if (Ungranted) {
    Size = std::min(Size, *Ungranted);
    *Ungranted -= Size;
  }
  Outstanding += Size;
  // Without a known length, each piece is a transfer of its own.
  if (!Ungranted || isGrantedWhole())
    Transfer = {};
  requestPiece();
  OnCredit(Size);
}

} // namespace dragonflyvane
