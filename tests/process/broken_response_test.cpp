// Real daemons whose backend server sends responses that are broken. Each has
// the fields of a sound one, so that only its end or its head tells.
#include "platform/header_names.hpp"
#include "process/local_cluster.hpp"
#include "process/raw_http.hpp"
#include "scripted_server.hpp"

#include "dragonflyvane/net/http_client.hpp"

#include <doctest/doctest.h>

#include <map>
#include <mutex>
#include <string>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr int HostCount = 5;
/// Its server is faulty. That of host 3 is sound and of the same service.
constexpr int FaultyHost = 1;
/// A host without a server of that service, in the failure domain of the faulty
/// one, to which it therefore sends requests first.
constexpr int NeighborHost = 4;
/// More than the buffers of the sockets hold.
constexpr size_t UploadSize = size_t{8} << 20;
/// For each kind of response and each host.
constexpr int UploadsOfKind = 3;
/// Sound requests before each upload, which earn the budget for its retry.
constexpr int SoundRequests = 16;
constexpr milliseconds CallerTimeout{10'000};
constexpr const char *PartOfBody = "part";

enum class connection_end { Kept, Reset, ClosedWithUnreadBytes };

/// A response that is none, or a part of one.
struct broken_response {
  std::string StatusLine;
  /// The fields besides those of every response.
  std::string Fields;
  connection_end End = connection_end::Kept;
};

/// The responses, by the part of the path that asks for them.
const std::map<std::string, broken_response> &brokenResponses() {
  const std::string Ok = "HTTP/1.1 200 OK";
  const std::string Length = "Content-Length: 4\r\n";
  static const std::map<std::string, broken_response> All = {
      {"reset", {Ok, "", connection_end::Reset}},
      {"closed", {Ok, "", connection_end::ClosedWithUnreadBytes}},
      {"status", {"HTTP/1.1 000 Odd", Length}},
      {"blank-in-name", {Ok, Length + "X Odd: 1\r\n"}},
      {"blank-after-name", {Ok, Length + "X-Odd : 1\r\n"}},
      {"control-in-name", {Ok, Length + "X\x01Odd: 1\r\n"}},
  };
  return All;
}

/// A server that responds soundly to requests without a body, and with a broken
/// response to others.
class faulty_server {
public:
  endpoint address() const { return {"127.0.0.1", Server.port()}; }

  /// How often requests with this id have arrived that got a broken response.
  int arrivals(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    return Arrivals[Id];
  }

private:
  void serve(scripted_connection &Connection) {
    for (std::string Head = Connection.readRequest(); !Head.empty();
         Head = Connection.readRequest()) {
      if (Head.starts_with("POST"))
        return respondBroken(Connection, Head);
      Connection.send(makeSoundResponse(Head));
    }
  }

  void respondBroken(scripted_connection &Connection, const std::string &Head) {
    {
      std::lock_guard Lock(Mutex);
      ++Arrivals[fieldOf(Head, platform::headerNames().RequestId)];
    }
    // The second part of the path.
    size_t Begin = Head.find('/', Head.find('/') + 1) + 1;
    std::string Kind = Head.substr(Begin, Head.find(' ', Begin) - Begin);
    const broken_response &Response = brokenResponses().at(Kind);
    Connection.send(Response.StatusLine + "\r\n" + Response.Fields +
                    makeOwnFields(Head) + "\r\n" + PartOfBody);
    if (Response.End == connection_end::Reset)
      Connection.resetOnClose();
    if (Response.End == connection_end::Kept)
      Connection.readRest();
  }

  std::mutex Mutex;
  std::map<std::string, int> Arrivals;
  scripted_server Server{
      [this](scripted_connection &Connection) { serve(Connection); }};
};

struct ended_request {
  std::string Id;
  int Status = 0;
  std::string Body;
};

/// Uploads to a daemon on a new connection.
ended_request upload(const endpoint &Daemon, const std::string &Target,
                     const std::string &Id) {
  event_loop Loop;
  http_client Client(Loop);
  header_names Names = platform::headerNames();
  http_request Request;
  Request.Method = "POST";
  Request.Target = Target;
  Request.Headers.add("Host", "cluster.example");
  Request.Headers.add(Names.RequestId, Id);
  Request.Headers.add(Names.TimeLeft, std::to_string(CallerTimeout.count()));
  Request.Body = std::string(UploadSize, 'x');
  call_options Options;
  Options.Timeout = CallerTimeout * 2;
  ended_request Ended;
  Ended.Id = Id;
  Client.send(Daemon, Request, Options, [&](const call_result &Result) {
    if (Result.Outcome == call_outcome::Completed)
      Ended.Status = Result.Response.Status;
    Ended.Body = Result.Response.Body.text();
    Loop.stop();
  });
  Loop.run();
  return Ended;
}

/// Five daemons; the test stands in for one of the two servers of a service
/// without keys.
class broken_response_cluster {
public:
  broken_response_cluster()
      : Cluster(HostCount, milliseconds(5),
                cluster_services::BookingsAndCatalogue) {
    Cluster.announceServerAt(FaultyHost, Faulty.address());
    Cluster.start();
  }

  /// Uploads for each kind of response at a host, and calls `Check` for each
  /// ended request. Returns how many broken responses the server sent.
  template <typename Checker>
  int uploadEachKind(int Host, const std::string &Prefix,
                     const Checker &Check) {
    int Broken = 0;
    for (const auto &[Kind, Response] : brokenResponses())
      for (int I = 0; I < UploadsOfKind; ++I) {
        sendSoundRequests(Host);
        std::string Target = Prefix + Kind;
        CAPTURE(Target);
        CAPTURE(Host);
        ended_request Ended =
            upload(Cluster.callerEndpoint(Host), Target,
                   Target + std::to_string(Host) + "-" + std::to_string(I));
        int Arrivals = Faulty.arrivals(Ended.Id);
        Broken += Arrivals;
        CAPTURE(Arrivals);
        CAPTURE(Ended.Status);
        CAPTURE(Ended.Body);
        CHECK(Ended.Body.find(PartOfBody) == std::string::npos);
        Check(Ended, Arrivals);
      }
    return Broken;
  }

  faulty_server Faulty;
  local_cluster Cluster;

private:
  void sendSoundRequests(int Host) const {
    for (int I = 0; I < SoundRequests; ++I)
      CHECK(statusOf(Cluster.callerEndpoint(Host), "GET", "/photos/1") == 200);
  }
};

/// From the neighbor, requests reach the faulty server by a peer.
const int CallerHosts[] = {NeighborHost, FaultyHost};

} // namespace

// Guards against a broken response that reaches callers, and against an answer
// that promises that the request was not processed: it may have been.
TEST_CASE("a broken response to a request that may not be repeated is 502") {
  broken_response_cluster Hosts;
  for (int Host : CallerHosts) {
    int Broken = Hosts.uploadEachKind(
        Host, "/albums/", [](const ended_request &Ended, int Arrivals) {
          CHECK(Arrivals <= 1);
          CHECK(Ended.Status == (Arrivals == 0 ? 200 : 502));
        });
    CAPTURE(Host);
    CHECK(Broken > 0);
  }
}

// Guards against the same, and against a failure where another server would
// have answered.
TEST_CASE("a broken response to an idempotent request lets another server "
          "answer it") {
  broken_response_cluster Hosts;
  for (int Host : CallerHosts) {
    int Broken = Hosts.uploadEachKind(
        Host, "/photos/", [](const ended_request &Ended, int /*Arrivals*/) {
          CHECK(Ended.Status == 200);
        });
    CAPTURE(Host);
    CHECK(Broken > 0);
  }
}
