#include "scripted_server.hpp"

#include "dragonflyvane/core/http_message.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflyvane {

namespace {

constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr int SmallSegment = 1'400;
constexpr int SmallReceiveBuffer = 16 << 10;

/// Accepted connections inherit this. The client's send buffer follows the size
/// of the segments.
void makeSmall(int Listener) {
  ::setsockopt(Listener, IPPROTO_TCP, TCP_MAXSEG, &SmallSegment,
               sizeof(SmallSegment));
  ::setsockopt(Listener, SOL_SOCKET, SO_RCVBUF, &SmallReceiveBuffer,
               sizeof(SmallReceiveBuffer));
}

} // namespace

std::string scripted_connection::readRequest() {
  size_t End = 0;
  while ((End = Buffer.find(EndOfHead)) == std::string::npos) {
    char Bytes[4096];
    ssize_t Size = ::recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return "";
    Buffer.append(Bytes, static_cast<size_t>(Size));
  }
  std::string Head = Buffer.substr(0, End + EndOfHead.size());
  Buffer.erase(0, Head.size());
  return Head;
}

std::string scripted_connection::readRest() {
  std::string Rest = std::move(Buffer);
  char Bytes[65536];
  ssize_t Size = 0;
  while ((Size = ::recv(Socket, Bytes, sizeof(Bytes), 0)) > 0)
    Rest.append(Bytes, static_cast<size_t>(Size));
  return Rest;
}

bool scripted_connection::send(std::string_view Bytes) const {
  while (!Bytes.empty()) {
    ssize_t Sent = ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Bytes.remove_prefix(static_cast<size_t>(Sent));
  }
  return true;
}

void scripted_connection::endSending() const { ::shutdown(Socket, SHUT_WR); }

void scripted_connection::resetOnClose() const {
  linger Reset{1, 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

scripted_server::scripted_server(script Script, const endpoint &Listen,
                                 connection_size Size)
    : Script(std::move(Script)),
      Listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  int One = 1;
  ::setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  if (Size == connection_size::Small)
    makeSmall(Listener);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Listen.Port);
  ::inet_pton(AF_INET, Listen.Address.c_str(), &Address.sin_addr);
  socklen_t AddressSize = sizeof(Address);
  auto *Name = reinterpret_cast<sockaddr *>(&Address);
  if (::bind(Listener, Name, AddressSize) != 0 || ::listen(Listener, 16) != 0)
    throw std::runtime_error("cannot listen on " + toString(Listen));
  ::getsockname(Listener, Name, &AddressSize);
  Port = ntohs(Address.sin_port);
  Acceptor = std::thread([this] { accept(); });
}

scripted_server::~scripted_server() {
  ::shutdown(Listener, SHUT_RDWR);
  Acceptor.join();
  ::close(Listener);
  for (std::thread &Thread : Scripts)
    Thread.join();
}

void scripted_server::accept() {
  int Socket = -1;
  while ((Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC)) >= 0) {
    int Number = Connections++;
    Scripts.emplace_back([this, Socket, Number] { serve(Socket, Number); });
  }
}

void scripted_server::serve(int Socket, int Number) {
  scripted_connection Connection(Socket, Number);
  Script(Connection);
  ::close(Socket);
  ++ClosedConnections;
}

std::string fieldOf(const std::string &Head, const std::string &Name) {
  constexpr std::string_view AfterName = ": ";
  std::istringstream Lines(Head);
  for (std::string Line; std::getline(Lines, Line);) {
    size_t Colon = Line.find(AfterName);
    if (Colon == std::string::npos || !equalNames(Line.substr(0, Colon), Name))
      continue;
    std::string Value = Line.substr(Colon + AfterName.size());
    return Value.substr(0, Value.find('\r'));
  }
  return "";
}

} // namespace dragonflyvane
