#include "dragonflyvane/net/listener.hpp"

#include "dragonflyvane/core/error.hpp"

namespace dragonflyvane {

namespace {

/// Delay after a failed accept, which would fail again at once while file
/// descriptors are exhausted.
constexpr std::chrono::milliseconds RetryDelay{50};

} // namespace

void listener::listen(const endpoint &Listen) {
  try {
    boost::asio::ip::tcp::endpoint Address = toAsio(Listen);
    Acceptor.open(Address.protocol());
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
  } catch (const std::exception &Error) {
    throw step_error("listen", toString(Listen), Error.what());
  }
  accept();
}

void listener::accept() {
  Acceptor.async_accept([Weak = weak_from_this()](auto Error, socket Socket) {
    auto Self = Weak.lock();
    if (!Self || Error == boost::asio::error::operation_aborted)
      return;
    if (!Error) {
      Self->OnAccepted(std::move(Socket));
      if (Self->Acceptor.is_open())
        Self->accept();
      return;
    }
    Self->RetryTimer =
        Self->Loop.after(RetryDelay, [Self = Self.get()] { Self->accept(); });
  });
}

void listener::acceptWaitingAndClose() {
  boost::system::error_code Error;
  if (Acceptor.is_open())
    Acceptor.non_blocking(true, Error);
  while (Acceptor.is_open() && !Error) {
    socket Socket(Loop.internals().Io);
    Acceptor.accept(Socket, Error);
    if (!Error)
      OnAccepted(std::move(Socket));
  }
  close();
}

void listener::close() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  RetryTimer.cancel();
}

} // namespace dragonflyvane
