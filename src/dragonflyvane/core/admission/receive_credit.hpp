/// Lets the receiver of a large message decide when each piece of it is sent.
/// All hosts that send to a host at once share its link, which only that host
/// knows.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_RECEIVE_CREDIT_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_RECEIVE_CREDIT_HPP

#include "dragonflyvane/core/admission/bulk_pacer.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace dragonflyvane {

/// The bytes of one message that its sender may send. The first ones, the
/// pacer's `smallSize`, need no permission. Each further piece takes a turn of
/// the pacer of the incoming link; at most two pieces are on their way. Its
/// destruction ends the message.
class receive_credit {
public:
  /// Receives the number of bytes that the sender may send in addition.
  using credit_callback = std::function<void(size_t)>;

  /// `Length` is the size of the whole message in bytes, if it states one. A
  /// longer message arrives all the same. `OnCredit` is called later, from the
  /// scheduler of `Pacer`, which must outlive this object; it may destroy this
  /// object.
  receive_credit(bulk_pacer &Pacer, std::optional<size_t> Length,
                 credit_callback OnCredit);
  receive_credit(const receive_credit &) = delete;
  receive_credit &operator=(const receive_credit &) = delete;

  /// To be called when bytes of the message were received, but not the last
  /// ones.
  void onReceived(size_t Bytes);

private:
  /// Requests a turn for the next piece if the sender may get one.
  void requestPiece();
  void grantPiece();
  bool isGrantedWhole() const { return Ungranted && *Ungranted == 0; }
  int64_t pieceSize() const { return static_cast<int64_t>(Pacer.pieceSize()); }

  bulk_pacer &Pacer;
  credit_callback OnCredit;
  /// The bytes that the sender may not send yet; none if the length of the
  /// message is unknown.
  std::optional<size_t> Ungranted;
  /// The bytes that the sender may send and that have not been received.
  /// Negative if the sender began before it knew of the limit.
  int64_t Outstanding;
  bulk_transfer Transfer;
  bool AwaitsTurn = false;
  /// Whether a piece was granted. Until then, bytes move without a turn.
  bool HasCredit = false;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_RECEIVE_CREDIT_HPP
