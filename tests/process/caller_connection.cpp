#include "process/caller_connection.hpp"

#include <algorithm>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

namespace dragonflyvane {

namespace {

constexpr int ReceiveBuffer = 32 << 10;

sockaddr_in toSocketAddress(const endpoint &Remote) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Remote.Port);
  inet_pton(AF_INET, Remote.Address.c_str(), &Address.sin_addr);
  return Address;
}

void setOption(int Socket, int Level, int Option, int Value) {
  setsockopt(Socket, Level, Option, &Value, sizeof(Value));
}

} // namespace

caller_connection::caller_connection(const endpoint &Remote)
    : Socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  setOption(Socket, SOL_SOCKET, SO_RCVBUF, ReceiveBuffer);
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  sockaddr_in Address = toSocketAddress(Remote);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Address),
              sizeof(Address)) == 0)
    return;
  close(Socket);
  Socket = -1;
}

caller_connection::~caller_connection() {
  if (isOpen())
    close(Socket);
}

bool caller_connection::awaitEvent(short Event, time_point Deadline) const {
  duration Left = std::max(Deadline - Clock.now(), duration(0));
  auto Whole = std::chrono::ceil<std::chrono::milliseconds>(Left);
  pollfd Poll{Socket, Event, 0};
  return poll(&Poll, 1, static_cast<int>(Whole.count())) > 0;
}

bool caller_connection::send(std::string_view Bytes,
                             time_point Deadline) const {
  while (!Bytes.empty()) {
    ssize_t Sent =
        ::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Sent >= 0)
      Bytes.remove_prefix(Sent);
    else if (errno != EAGAIN || !awaitEvent(POLLOUT, Deadline))
      return false;
  }
  return true;
}

bool caller_connection::awaitInput(time_point Deadline) const {
  return awaitEvent(POLLIN, Deadline);
}

std::string caller_connection::receive(size_t Size, time_point Deadline) const {
  if (!awaitInput(Deadline))
    return "";
  std::string Bytes(Size, '\0');
  ssize_t Received = recv(Socket, Bytes.data(), Size, MSG_DONTWAIT);
  Bytes.resize(std::max<ssize_t>(Received, 0));
  return Bytes;
}

} // namespace dragonflyvane
