/// Tells the end of a TCP stream from a connection that broke off. Internal to
/// this library.
#ifndef DRAGONFLYVANE_NET_STREAM_END_HPP
#define DRAGONFLYVANE_NET_STREAM_END_HPP

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

namespace dragonflyvane {

/// Whether a failed read means that the other side has ended its stream, so
/// that all its bytes have arrived. `WriteError` is the error of the first
/// write on the connection that failed, and must be taken from the system call
/// itself: a completion that is queued may come after that of the read.
///
/// The kernel reports a reset once, to the next operation in either direction.
/// A read after a write that failed so sees an ordinary end of the stream. If
/// the other side had ended its stream before the reset, writes fail with
/// `broken_pipe` instead.
inline bool isOrderlyEnd(const boost::system::error_code &ReadError,
                         const boost::system::error_code &WriteError) {
  bool HadEndedBefore =
      !WriteError || WriteError == boost::asio::error::broken_pipe;
  return ReadError == boost::asio::error::eof && HadEndedBefore;
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NET_STREAM_END_HPP
