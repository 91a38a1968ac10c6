// Real daemons that receive bytes without an end where a message is due: from a
// backend server, the store or a peer.
#include "http2_frames.hpp"
#include "process/caller_connection.hpp"
#include "process/local_cluster.hpp"
#include "process/raw_http.hpp"
#include "process/steady_callers.hpp"
#include "scripted_server.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <future>
#include <map>
#include <thread>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr int MemoryMb = 160;
constexpr size_t MemoryLimit = size_t{MemoryMb} << 20;
constexpr milliseconds RouteTimeout{1000};
constexpr milliseconds SoundPause{20};
constexpr int FaultyClients = 4;
constexpr int SoundClients = 6;
constexpr const char *SoundTarget = "/photos/1";
/// The store is faulty for at least the first time, and until it has had enough
/// connections. For at most the second time leases and confirmations hold.
constexpr milliseconds StoreFaultTime{1500};
constexpr milliseconds MaxStoreFaultTime{4000};
constexpr int FaultyStoreConnections = 10;
/// What a faulty peer or client sends for each kind of endless bytes, unless
/// the daemon closes the connection, or takes no more of them, before.
constexpr size_t EndlessSize = size_t{64} << 20;
constexpr milliseconds SendTime{200};
constexpr size_t BlockSize = size_t{64} << 10;
constexpr const char *EndlessPath = "/endless/";

/// Bytes that never make a whole response.
struct endless_bytes {
  std::string Start;
  /// Repeated until the caller closes the connection.
  std::string Rest;
};

const std::map<std::string, endless_bytes> &endlessBytes() {
  const std::string Line = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Letters(BlockSize, '#');
  const std::string Fields = repeat("Field: value\r\n", BlockSize);
  static const std::map<std::string, endless_bytes> All = {
      {"garbage", {"", Letters}},
      {"status-line", {"HTTP/1.1 200 ", Letters}},
      {"header-line", {Line + "Field: ", Letters}},
      {"header-lines", {Line, Fields}},
      {"short-header-lines", {Line, repeat("a:\r\n", BlockSize)}},
      {"interim", {"", repeat("HTTP/1.1 100 Continue\r\n\r\n", BlockSize)}},
      {"interim-large",
       {"",
        "HTTP/1.1 103 Early Hints\r\n" + Fields.substr(0, 42'000) + "\r\n"}},
      {"body", {Line + "\r\n", Letters}},
      {"chunks", {Chunked, "10000\r\n" + Letters + "\r\n"}},
      {"small-chunks", {Chunked, repeat("1\r\n#\r\n", BlockSize)}},
      {"chunk-size", {Chunked, repeat("0", BlockSize)}},
      {"chunk-extension", {Chunked + "5;", Letters}},
      {"chunk-extensions", {Chunked, repeat("1;a=b\r\n#\r\n", BlockSize)}},
      {"trailer", {Chunked + "0\r\n", Fields}},
      {"length", {Line + "Content-Length: 67000000\r\n\r\n", Letters}},
      {"huge-length",
       {Line + "Content-Length: 18446744073709551615\r\n\r\n", Letters}},
      {"rest", {Line + "Content-Length: 5\r\n\r\nsound", Letters}},
  };
  return All;
}

/// Bytes of a peer whose request has no end.
std::vector<endless_bytes> endlessFrames() {
  constexpr size_t FrameSize = 16'000;
  const std::string Start =
      ClientPreface + encodeFrame(frame_type::Settings, 0, 0, "");
  auto Continuation = [](const std::string &Fields) {
    return encodeFrame(frame_type::Continuation, 0, 1,
                       repeat(Fields, FrameSize));
  };
  return {
      {Start + encodeFrame(frame_type::Headers, 0, 1, EncodedPost),
       Continuation(encodedField())},
      {Start +
           encodeFrame(frame_type::Headers, 0, 1, EncodedPost + encodedEntry()),
       Continuation(EncodedReference)},
      {Start + encodeFrame(frame_type::Headers, EndHeadersFlag, 1, EncodedPost),
       encodeFrame(frame_type::Data, 0, 1, std::string(FrameSize, '#'))},
  };
}

/// Sends endless bytes to the caller until it closes the connection.
void sendEndlessly(const scripted_connection &Connection,
                   const endless_bytes &Bytes) {
  bool IsOpen = Connection.send(Bytes.Start);
  while (IsOpen)
    IsOpen = Connection.send(Bytes.Rest);
}

/// Responds soundly to requests whose path names no kind of endless bytes.
void serve(scripted_connection &Connection) {
  for (std::string Head = Connection.readRequest(); !Head.empty();
       Head = Connection.readRequest()) {
    size_t Begin = Head.find(EndlessPath);
    if (Begin != std::string::npos) {
      Begin += std::string(EndlessPath).size();
      std::string Kind = Head.substr(Begin, Head.find(' ', Begin) - Begin);
      return sendEndlessly(Connection, endlessBytes().at(Kind));
    }
    Connection.send(makeSoundResponse(Head));
  }
}

/// Bytes of an HTTP/1.1 client whose request has no end.
std::vector<endless_bytes> endlessRequests() {
  const std::string Line = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string Chunked = Line + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Letters(BlockSize, '#');
  const std::string Fields = repeat("Field: value\r\n", BlockSize);
  return {
      {"", Letters},
      {Line, Fields},
      {Line + "Field: ", Letters},
      {Chunked, "10000\r\n" + Letters + "\r\n"},
      {Chunked + "5;", Letters},
      {Chunked + "0\r\n", Fields},
      {Line + "Content-Length: 67000000\r\n\r\n", Letters},
      {"", repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", BlockSize)},
  };
}

/// Sends bytes of each kind to a daemon, on a connection for each.
void sendEach(const endpoint &Daemon, const std::vector<endless_bytes> &Kinds) {
  boot_clock Clock;
  for (const endless_bytes &Bytes : Kinds) {
    caller_connection Connection(Daemon);
    time_point End = Clock.now() + SendTime;
    bool IsOpen = Connection.send(Bytes.Start, End);
    for (size_t Sent = 0; IsOpen && Sent < EndlessSize;
         Sent += Bytes.Rest.size())
      IsOpen = Connection.send(Bytes.Rest, End);
  }
}

/// Whether the response is the whole and sound part of the bytes, or says that
/// there is none.
bool isClean(int Status, const std::string &Kind) {
  return Status == 502 || Status == 503 || Status == 504 ||
         (Status == 200 && Kind == "rest");
}

/// Calls the faulty server through a daemon for bytes of each kind, and checks
/// that each call ends cleanly.
void callForEach(const endpoint &Daemon) {
  for (const auto &Entry : endlessBytes()) {
    const std::string &Kind = Entry.first;
    CAPTURE(Kind);
    int Status = statusOf(Daemon, "GET", "/parts" + (EndlessPath + Kind), "",
                          RouteTimeout * 3);
    CHECK(isClean(Status, Kind));
  }
}

/// Checks that each call was answered. An answer later than `RouteTimeout`
/// would be a 504.
void checkSound(const std::vector<ended_call> &Calls) {
  CHECK(Calls.size() > 20);
  for (const ended_call &Call : Calls) {
    CAPTURE(Call.RequestId);
    CHECK(Call.Status == 200);
  }
}

void checkDaemon(child_process &Daemon) {
  CHECK_FALSE(Daemon.wait(milliseconds(0)));
  size_t Peak = Daemon.peakMemory();
  CHECK(Peak > 0);
  CHECK(Peak < MemoryLimit);
}

/// Two daemons. The test stands in for the server of host 0, whose service is
/// keyed; the server of host 1 is sound and of another service.
class faulty_cluster {
public:
  explicit faulty_cluster(const endpoint &FaultyServer)
      : Cluster(2, milliseconds(5), cluster_services::BookingsAndCatalogue) {
    Cluster.reconfigure(0, RouteTimeout);
    Cluster.setMemoryLimit(MemoryMb);
    Cluster.announceServerAt(0, FaultyServer);
    Cluster.start();
  }

  /// Calls the sound server through both daemons meanwhile, and checks that
  /// neither those calls nor the daemons are disturbed.
  void checkDuring(const std::function<void()> &Fault) {
    steady_callers AtFaulty(Cluster.callerEndpoint(0), SoundClients, SoundPause,
                            SoundPause, SoundTarget);
    steady_callers AtSound(Cluster.callerEndpoint(1), SoundClients, SoundPause,
                           SoundPause, SoundTarget);
    Fault();
    checkSound(AtFaulty.finish());
    checkSound(AtSound.finish());
    for (int Host = 0; Host < Cluster.hostCount(); ++Host) {
      CAPTURE(Host);
      checkDaemon(Cluster.daemon(Host));
    }
  }

  local_cluster Cluster;
};

} // namespace

// Guards against a response without an end that takes the daemons on its way
// over their memory limits, or delays the requests of others.
TEST_CASE("responses without an end disturb no other request") {
  scripted_server Faulty(serve);
  faulty_cluster Hosts({"127.0.0.1", Faulty.port()});
  Hosts.checkDuring([&] {
    std::vector<std::future<void>> Clients;
    for (int Host = 0; Host < Hosts.Cluster.hostCount(); ++Host)
      for (int I = 0; I < FaultyClients; ++I)
        Clients.push_back(std::async(std::launch::async, callForEach,
                                     Hosts.Cluster.callerEndpoint(Host)));
    for (auto &Client : Clients)
      Client.get();
  });
}

// Guards against a store whose responses have no end.
TEST_CASE("a store that responds without an end disturbs no request") {
  std::unique_ptr<scripted_server> Store;
  scripted_server Unused(serve);
  faulty_cluster Hosts({"127.0.0.1", Unused.port()});
  std::atomic<size_t> Calls{0};
  Hosts.checkDuring([&] {
    Hosts.Cluster.killStore();
    Store = std::make_unique<scripted_server>(
        [&](scripted_connection &Connection) {
          Connection.readRequest();
          auto Kind = std::next(endlessBytes().begin(),
                                Calls++ % endlessBytes().size());
          sendEndlessly(Connection, Kind->second);
        },
        Hosts.Cluster.storeEndpoint());
    std::this_thread::sleep_for(StoreFaultTime);
    milliseconds Waited = StoreFaultTime;
    while (Waited < MaxStoreFaultTime &&
           Store->connections() < FaultyStoreConnections) {
      std::this_thread::sleep_for(SoundPause);
      Waited += SoundPause;
    }
    CHECK(Store->connections() >= FaultyStoreConnections);
  });
}

// Guards against a peer, a caller, a backend server or a tool of operators
// whose request has no end.
TEST_CASE("requests without an end disturb no other request") {
  scripted_server Unused(serve);
  faulty_cluster Hosts({"127.0.0.1", Unused.port()});
  const local_cluster &Cluster = Hosts.Cluster;
  Hosts.checkDuring([&] {
    std::vector<std::future<void>> Senders;
    for (int I = 0; I < FaultyClients; ++I) {
      Senders.push_back(std::async(std::launch::async, sendEach,
                                   Cluster.peerEndpoint(0), endlessFrames()));
      for (const endpoint &Port :
           {Cluster.controlEndpoint(0), Cluster.readinessEndpoint(0),
            Cluster.adminEndpoint(0), Cluster.callerEndpoint(0)})
        Senders.push_back(
            std::async(std::launch::async, sendEach, Port, endlessRequests()));
    }
    for (auto &Sender : Senders)
      Sender.get();
  });
}
