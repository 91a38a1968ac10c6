#include "slow_link.hpp"

#include "dragonflyvane/net/stream_end.hpp"

#include <utility> // Must precede the headers of Boost.Asio 1.74.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace dragonflyvane {

namespace {

using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::steady_clock;

/// Bytes arrive in segments of at most this size, as on a real link.
constexpr size_t SegmentSize = 1460;

enum class segment_kind { Bytes, End, Reset };

/// Something on its way.
struct segment {
  segment_kind Kind;
  std::string Bytes;
  steady_clock::time_point ArrivesAt;
};

/// A socket whose bytes one direction reads, and to which the other one writes.
struct link_socket {
  explicit link_socket(tcp::socket Socket) : Socket(std::move(Socket)) {}

  tcp::socket Socket;
  /// The error of the first write that failed.
  error_code WriteError;
};

using socket_pointer = std::shared_ptr<link_socket>;

/// Processes that a test starts must not hold the connections open.
void closeOnExec(int Socket) { fcntl(Socket, F_SETFD, FD_CLOEXEC); }

void reset(tcp::socket &Socket) {
  error_code Ignored;
  Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

/// The sender's end of one direction of a link, where bytes wait until the link
/// takes them.
class link_queue {
public:
  explicit link_queue(const link_direction &Link) : Link(Link) {}

  /// Adds bytes that are sent now, and returns when they arrive.
  steady_clock::time_point add(size_t Bytes) {
    LeftAt = std::max(LeftAt, steady_clock::now()) + sendTime(Bytes);
    return LeftAt + Link.Delay;
  }

private:
  std::chrono::nanoseconds sendTime(size_t Bytes) const {
    if (Link.BytesPerSecond == 0)
      return {};
    return std::chrono::nanoseconds(std::chrono::seconds(Bytes)) /
           Link.BytesPerSecond;
  }

  link_direction Link;
  /// When the last bytes leave the sender.
  steady_clock::time_point LeftAt{};
};

using queue_pointer = std::shared_ptr<link_queue>;

/// Carries what one socket receives to another one. The sockets close when both
/// directions of a connection are gone.
class one_way : public std::enable_shared_from_this<one_way> {
public:
  one_way(socket_pointer From, socket_pointer To, queue_pointer Queue)
      : From(std::move(From)), To(std::move(To)), Queue(std::move(Queue)),
        Timer(this->From->Socket.get_executor()) {}

  void read() {
    From->Socket.async_read_some(
        boost::asio::buffer(Buffer),
        [Self = shared_from_this()](const error_code &Error, size_t Size) {
          Self->onRead(Error, Size);
        });
  }

private:
  void onRead(const error_code &Error, size_t Size) {
    if (Error == boost::asio::error::operation_aborted)
      return;
    if (isOrderlyEnd(Error, From->WriteError))
      return send(segment_kind::End, "");
    if (Error)
      return send(segment_kind::Reset, "");
    send(segment_kind::Bytes, std::string(Buffer.data(), Size));
    read();
  }

  void send(segment_kind Kind, std::string Bytes) {
    auto ArrivesAt = Queue->add(Bytes.size());
    Segments.push_back({Kind, std::move(Bytes), ArrivesAt});
    if (Segments.size() == 1)
      awaitArrival();
  }

  void awaitArrival() {
    Timer.expires_at(Segments.front().ArrivesAt);
    Timer.async_wait(
        [Self = shared_from_this()](const error_code &) { Self->deliver(); });
  }

  void deliver() {
    error_code Ignored;
    switch (Segments.front().Kind) {
    case segment_kind::Bytes:
      return write();
    case segment_kind::End:
      To->Socket.shutdown(tcp::socket::shutdown_send, Ignored);
      return;
    case segment_kind::Reset:
      return reset(To->Socket);
    }
  }

  /// A failed write means that the receiver is gone. The other direction passes
  /// that on, so the bytes are dropped here.
  void write() {
    std::string &Bytes = Segments.front().Bytes;
    error_code Error;
    Bytes.erase(0, To->Socket.write_some(boost::asio::buffer(Bytes), Error));
    bool HasFailed = Error && Error != boost::asio::error::would_block;
    if (HasFailed && !To->WriteError)
      To->WriteError = Error;
    if (!Bytes.empty() && !HasFailed)
      return awaitWritable();
    Segments.pop_front();
    if (!Segments.empty())
      awaitArrival();
  }

  void awaitWritable() {
    To->Socket.async_wait(
        tcp::socket::wait_write,
        [Self = shared_from_this()](const error_code &) { Self->write(); });
  }

  socket_pointer From;
  socket_pointer To;
  queue_pointer Queue;
  boost::asio::steady_timer Timer;
  std::array<char, SegmentSize> Buffer{};
  std::deque<segment> Segments;
};

} // namespace

class slow_link::implementation {
public:
  implementation(const endpoint &Target, const link_direction &ToTarget,
                 const link_direction &FromTarget, link_sharing Sharing)
      : ToTarget(ToTarget), FromTarget(FromTarget), Sharing(Sharing),
        ToTargets(std::make_shared<link_queue>(ToTarget)),
        FromTargets(std::make_shared<link_queue>(FromTarget)),
        Local(addTarget(Target)) {
    Thread = std::thread([this] { Io.run(); });
  }

  ~implementation() {
    Io.stop();
    Thread.join();
  }

  endpoint localEndpoint() const { return Local; }

  endpoint addTarget(const endpoint &Target) {
    auto Entry = std::make_shared<entry>(
        Io, tcp::endpoint{boost::asio::ip::make_address(Target.Address),
                          Target.Port});
    tcp::endpoint Accepting = Entry->Acceptor.local_endpoint();
    boost::asio::post(Io, [this, Entry] { accept(Entry); });
    return {Accepting.address().to_string(), Accepting.port()};
  }

  int connectionCount() const { return ConnectionCount; }

  bool hasRefused(uint16_t CallerPort) const {
    std::lock_guard Lock(Mutex);
    return RefusedPorts.contains(CallerPort);
  }

private:
  /// Accepts the connections to one target.
  struct entry {
    entry(boost::asio::io_context &Io, tcp::endpoint Target)
        : Target(std::move(Target)),
          Acceptor(Io, {boost::asio::ip::address_v4::loopback(), 0}) {
      closeOnExec(Acceptor.native_handle());
    }
    tcp::endpoint Target;
    tcp::acceptor Acceptor;
  };

  void accept(const std::shared_ptr<entry> &Entry) {
    Entry->Acceptor.async_accept(
        [this, Entry](const error_code &Error, tcp::socket Socket) {
          if (!Error)
            connect(std::make_shared<link_socket>(std::move(Socket)),
                    Entry->Target);
          accept(Entry);
        });
  }

  void connect(const socket_pointer &Caller, const tcp::endpoint &Target) {
    auto Server =
        std::make_shared<link_socket>(tcp::socket(Io, Target.protocol()));
    closeOnExec(Caller->Socket.native_handle());
    closeOnExec(Server->Socket.native_handle());
    Server->Socket.async_connect(
        Target, [this, Caller, Server](const error_code &Error) {
          if (Error)
            return refuse(Caller->Socket);
          carry(Caller, Server);
        });
  }

  void refuse(tcp::socket &Caller) {
    error_code Ignored;
    uint16_t Port = Caller.remote_endpoint(Ignored).port();
    {
      std::lock_guard Lock(Mutex);
      RefusedPorts.insert(Port);
    }
    reset(Caller);
  }

  void carry(const socket_pointer &Caller, const socket_pointer &Server) {
    ++ConnectionCount;
    for (const socket_pointer &Side : {Caller, Server}) {
      error_code Ignored;
      Side->Socket.set_option(tcp::no_delay(true), Ignored);
      Side->Socket.non_blocking(true, Ignored);
    }
    bool IsShared = Sharing == link_sharing::AllConnections;
    auto To = IsShared ? ToTargets : std::make_shared<link_queue>(ToTarget);
    auto From =
        IsShared ? FromTargets : std::make_shared<link_queue>(FromTarget);
    std::make_shared<one_way>(Caller, Server, To)->read();
    std::make_shared<one_way>(Server, Caller, From)->read();
  }

  link_direction ToTarget;
  link_direction FromTarget;
  link_sharing Sharing;
  /// The queues of a shared link.
  queue_pointer ToTargets;
  queue_pointer FromTargets;
  boost::asio::io_context Io{1};
  endpoint Local;
  std::atomic<int> ConnectionCount{0};
  mutable std::mutex Mutex;
  std::set<uint16_t> RefusedPorts;
  std::thread Thread;
};

slow_link::slow_link(const endpoint &Target, const link_direction &ToTarget,
                     const link_direction &FromTarget, link_sharing Sharing)
    : Implementation(std::make_unique<implementation>(Target, ToTarget,
                                                      FromTarget, Sharing)) {}

slow_link::~slow_link() = default;

endpoint slow_link::localEndpoint() const {
  return Implementation->localEndpoint();
}

endpoint slow_link::addTarget(const endpoint &Target) {
  return Implementation->addTarget(Target);
}

int slow_link::connectionCount() const {
  return Implementation->connectionCount();
}

bool slow_link::hasRefused(uint16_t CallerPort) const {
  return Implementation->hasRefused(CallerPort);
}

} // namespace dragonflyvane
