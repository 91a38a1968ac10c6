#include "raw_connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyvane {

namespace {

/// Bounds each read, so that a missing response fails the test instead of
/// blocking it.
constexpr timeval ReadTimeout{20, 0};

sockaddr_in loopback(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

} // namespace

raw_connection::raw_connection(const endpoint &Remote)
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &ReadTimeout,
             sizeof(ReadTimeout));
  sockaddr_in Address = loopback(Remote.Port);
  inet_pton(AF_INET, Remote.Address.c_str(), &Address.sin_addr);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return;
  close();
  throw std::runtime_error("cannot connect to " + toString(Remote));
}

raw_connection::~raw_connection() { close(); }

void raw_connection::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

uint16_t raw_connection::localPort() const {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

void raw_connection::send(std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    Reset = Reset || (Sent < 0 && errno == ECONNRESET);
    if (Sent <= 0)
      return;
    Bytes.remove_prefix(static_cast<size_t>(Sent));
  }
}

void raw_connection::endSending() const { shutdown(Socket, SHUT_WR); }

std::string raw_connection::readAll() { return readUntil(""); }

std::string raw_connection::readUntil(std::string_view End) {
  std::string All;
  while (End.empty() || All.find(End) == std::string::npos) {
    std::string Bytes = readSome();
    if (Bytes.empty())
      break;
    All += Bytes;
  }
  return All;
}

bool raw_connection::awaitInput(std::chrono::milliseconds Timeout) const {
  pollfd Entry{Socket, POLLIN, 0};
  return ::poll(&Entry, 1, static_cast<int>(Timeout.count())) > 0;
}

std::string raw_connection::readSome() {
  char Buffer[4096];
  ssize_t Size = ::recv(Socket, Buffer, sizeof(Buffer), 0);
  Reset = Reset || (Size < 0 && errno == ECONNRESET);
  return {Buffer, static_cast<size_t>(std::max<ssize_t>(Size, 0))};
}

std::unique_ptr<raw_connection> tryConnect(const endpoint &Remote) {
  try {
    return std::make_unique<raw_connection>(Remote);
  } catch (const std::runtime_error &) {
    return nullptr;
  }
}

uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address = loopback(0);
  socklen_t Size = sizeof(Address);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0)
    throw std::runtime_error("cannot bind to a free port of 127.0.0.1");
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

} // namespace dragonflyvane
