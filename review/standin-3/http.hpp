// A small HTTP/1.1 server and client over blocking sockets, one thread for each
// connection. For the stand-ins of the third review only.
#ifndef REVIEW_STANDIN_3_HTTP_HPP
#define REVIEW_STANDIN_3_HTTP_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline int64_t nowMs() {
  return std::chrono::duration_cast<milliseconds>(
             steady::now().time_since_epoch())
      .count();
}

inline void sleepMs(int64_t Time) {
  if (Time > 0)
    std::this_thread::sleep_for(milliseconds(Time));
}

struct message {
  /// Method, target and version of a request, or version and status of a
  /// response.
  std::string First, Second, Third;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  std::optional<std::string> find(const std::string &Name) const {
    for (const auto &[Key, Value] : Fields)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return std::nullopt;
  }
};

struct response {
  int Status = 200;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  /// Closes the connection without a response.
  bool Drops = false;
};

inline sockaddr_in addressOf(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

/// A connected socket with a read buffer.
class stream {
public:
  explicit stream(int Fd = -1) : Fd(Fd) {}
  stream(const stream &) = delete;
  stream &operator=(const stream &) = delete;
  ~stream() { close(); }

  bool connect(const std::string &Ip, int Port, int64_t TimeoutMs) {
    close();
    Buffer.clear();
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in Address = addressOf(Ip, Port);
    if (::connect(Fd, reinterpret_cast<sockaddr *>(&Address),
                  sizeof(Address)) != 0) {
      pollfd Poll{Fd, POLLOUT, 0};
      int Error = errno;
      socklen_t Size = sizeof(Error);
      bool IsOpen =
          Error == EINPROGRESS &&
          ::poll(&Poll, 1, static_cast<int>(TimeoutMs)) == 1 &&
          ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size) == 0 &&
          Error == 0;
      if (!IsOpen) {
        close();
        return false;
      }
    }
    int On = 1;
    ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    return true;
  }

  bool isOpen() const { return Fd >= 0; }

  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  bool write(const std::string &Bytes, int64_t DeadlineMs) {
    size_t Sent = 0;
    while (Sent < Bytes.size()) {
      ssize_t Size = ::send(Fd, Bytes.data() + Sent, Bytes.size() - Sent,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Size > 0) {
        Sent += static_cast<size_t>(Size);
        continue;
      }
      if ((errno != EAGAIN && errno != EINTR) || !await(POLLOUT, DeadlineMs))
        return false;
    }
    return true;
  }

  /// Reads a message. Returns nothing at the end of the stream, after an error
  /// and at the deadline.
  std::optional<message> read(int64_t DeadlineMs) {
    size_t HeadEnd = std::string::npos;
    while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more(DeadlineMs))
        return std::nullopt;
    message Message = parseHead(Buffer.substr(0, HeadEnd));
    size_t Length = std::strtoull(
        Message.find("content-length").value_or("0").c_str(), nullptr, 10);
    while (Buffer.size() < HeadEnd + 4 + Length)
      if (!more(DeadlineMs))
        return std::nullopt;
    Message.Body = Buffer.substr(HeadEnd + 4, Length);
    Buffer.erase(0, HeadEnd + 4 + Length);
    return Message;
  }

private:
  static message parseHead(const std::string &Head) {
    message Message;
    size_t LineEnd = std::min(Head.find("\r\n"), Head.size());
    std::string Line = Head.substr(0, LineEnd);
    size_t A = Line.find(' ');
    size_t B = A == std::string::npos ? A : Line.find(' ', A + 1);
    Message.First = Line.substr(0, A);
    if (A != std::string::npos)
      Message.Second =
          Line.substr(A + 1, B == std::string::npos ? B : B - A - 1);
    if (B != std::string::npos)
      Message.Third = Line.substr(B + 1);
    while (LineEnd < Head.size()) {
      size_t Begin = LineEnd + 2;
      LineEnd = std::min(Head.find("\r\n", Begin), Head.size());
      std::string Field = Head.substr(Begin, LineEnd - Begin);
      size_t Colon = Field.find(':');
      if (Colon == std::string::npos)
        continue;
      size_t Value = Field.find_first_not_of(' ', Colon + 1);
      Message.Fields.emplace_back(
          Field.substr(0, Colon),
          Value == std::string::npos ? "" : Field.substr(Value));
    }
    return Message;
  }

  bool await(short Events, int64_t DeadlineMs) const {
    int64_t Left = DeadlineMs - nowMs();
    pollfd Poll{Fd, Events, 0};
    return Left > 0 && ::poll(&Poll, 1, static_cast<int>(Left)) == 1;
  }

  bool more(int64_t DeadlineMs) {
    if (!await(POLLIN, DeadlineMs))
      return false;
    char Bytes[16384];
    ssize_t Size = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Size <= 0)
      return false;
    Buffer.append(Bytes, static_cast<size_t>(Size));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline std::string encodeRequest(
    const std::string &Method, const std::string &Target,
    const std::vector<std::pair<std::string, std::string>> &Fields,
    const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Serves requests until the process ends.
class server {
public:
  using handler = std::function<response(const message &)>;

  server(const std::string &Ip, int Port, handler Handler)
      : Handler(std::move(Handler)) {
    Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int On = 1;
    ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
    sockaddr_in Address = addressOf(Ip, Port);
    if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) !=
            0 ||
        ::listen(Fd, 256) != 0) {
      std::perror("cannot listen");
      std::_Exit(2);
    }
    std::thread([this] { accept(); }).detach();
  }

  /// Ends all connections, and refuses further ones.
  void stop() {
    IsStopped = true;
    ::shutdown(Fd, SHUT_RDWR);
    ::close(Fd);
    std::lock_guard Lock(Mutex);
    for (int Client : Clients)
      ::shutdown(Client, SHUT_RDWR);
  }

private:
  void accept() {
    while (!IsStopped) {
      int Client = ::accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0) {
        sleepMs(10);
        continue;
      }
      int On = 1;
      ::setsockopt(Client, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([this, Client] { serve(Client); }).detach();
    }
  }

  void serve(int Client) {
    stream Stream(Client);
    {
      std::lock_guard Lock(Mutex);
      Clients.insert(Client);
    }
    serve(Stream);
    std::lock_guard Lock(Mutex);
    Clients.erase(Client);
    Stream.close();
  }

  void serve(stream &Stream) {
    while (auto Request = Stream.read(nowMs() + 60'000)) {
      response Response = Handler(*Request);
      if (Response.Drops)
        return;
      std::string Text =
          "HTTP/1.1 " + std::to_string(Response.Status) + " Status\r\n";
      for (const auto &[Name, Value] : Response.Fields)
        Text += Name + ": " + Value + "\r\n";
      Text += "Content-Length: " + std::to_string(Response.Body.size()) +
              "\r\n\r\n" + Response.Body;
      if (!Stream.write(Text, nowMs() + 5000))
        return;
    }
  }

  handler Handler;
  int Fd;
  std::atomic<bool> IsStopped{false};
  std::mutex Mutex;
  std::set<int> Clients;
};

} // namespace review

#endif // REVIEW_STANDIN_3_HTTP_HPP
