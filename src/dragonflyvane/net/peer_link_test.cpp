/// Several hosts that call one host at once, through the network link of that
/// host.
#include "dragonflyvane/net/peer_transport.hpp"

#include "raw_connection.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

constexpr size_t MaxBodyBytes = size_t{8} << 20;
/// 10 Mbit/s, in bytes per second.
constexpr size_t LinkRate = 1'250'000;
constexpr link_direction HostLink{milliseconds(1), LinkRate};
constexpr size_t HostCount = 14;
/// The first hosts send uploads at once.
constexpr size_t UploadingHosts = 10;
/// The hosts from this one on send small calls; the first two of them send
/// uploads too.
constexpr size_t FirstSmallCaller = 8;
/// The hosts from this one on send one small upload each, a while after the
/// others.
constexpr size_t FirstLateUploader = 12;
constexpr size_t LateUploadSize = 60'000;
constexpr milliseconds LateUploadTime{500};
constexpr size_t UploadsPerHost = 2;
constexpr size_t SmallSize = 300;
constexpr milliseconds SmallCallPeriod{50};
constexpr milliseconds CallTimeout{20'000};
/// Callers of small requests wait this long.
constexpr milliseconds SmallCallBound{300};

/// What a host has beside its connections to peers.
struct host_pacers {
  explicit host_pacers(event_loop &Loop, const clock_source &Clock)
      : Outgoing(Loop, Clock, LinkRate), Incoming(Loop, Clock, LinkRate) {}
  bulk_pacer Outgoing;
  bulk_pacer Incoming;
};

/// A host that calls the server.
struct calling_host {
  explicit calling_host(event_loop &Loop, const clock_source &Clock)
      : Pacers(Loop, Clock),
        Client(Loop, MaxBodyBytes, {&Pacers.Outgoing, &Pacers.Incoming}) {}
  host_pacers Pacers;
  peer_client Client;
};

/// What became of a call.
struct call_record {
  time_point Begin{};
  std::optional<time_point> HandledAt;
  std::optional<time_point> CancelledAt;
  std::optional<time_point> EndedAt;
  call_result Result;

  bool hasEnded() const { return EndedAt || CancelledAt; }
};

/// Hosts, and a host that serves their calls behind its link.
class linked_hosts {
public:
  explicit linked_hosts(size_t ResponseSize, size_t Count = HostCount)
      : ServerPacers(Loop, Clock),
        Server(Loop, Listen, MaxBodyBytes,
               [this, ResponseSize](const exchange_pointer &Exchange) {
                 const http_request &Request = Exchange->request();
                 Calls.at(std::stoul(Request.Target.substr(1))).HandledAt =
                     Clock.now();
                 bool IsSmall = Request.Body.size() == SmallSize;
                 size_t Size = IsSmall ? SmallSize : ResponseSize;
                 Exchange->respond({200, {}, std::string(Size, 'x')});
               },
               {&ServerPacers.Outgoing, &ServerPacers.Incoming}),
        Link(Listen, HostLink, HostLink, link_sharing::AllConnections) {
    for (size_t I = 0; I < Count; ++I)
      Hosts.push_back(std::make_unique<calling_host>(Loop, Clock));
  }

  /// Begins a call, which its caller leaves after `Patience` unless that is
  /// zero. Returns its number.
  size_t call(size_t Host, size_t Size, milliseconds Patience) {
    size_t Number = Calls.size();
    Calls[Number].Begin = Clock.now();
    http_request Request;
    Request.Method = "POST";
    Request.Target = "/" + std::to_string(Number);
    Request.Body = std::string(Size, 'x');
    peer_client &Client = Hosts[Host]->Client;
    call_id Id = Client.send(Link.localEndpoint(), std::move(Request),
                             CallTimeout, [this, Number](call_result Result) {
                               Calls[Number].EndedAt = Clock.now();
                               Calls[Number].Result = std::move(Result);
                             });
    if (Patience > milliseconds(0))
      Departures.push_back(Loop.after(Patience, [this, &Client, Id, Number] {
        Client.cancel(Id);
        if (!Calls[Number].EndedAt)
          Calls[Number].CancelledAt = Clock.now();
      }));
    return Number;
  }

  /// Begins uploads of 60 to 360 KB at once, some later, and small calls at one
  /// host after the other until all uploads have ended. Runs on for `Rest`
  /// after that.
  void run(milliseconds Patience, milliseconds Rest) {
    std::mt19937 Random(1);
    std::uniform_int_distribution<size_t> UploadSize(60'000, 360'000);
    for (size_t I = 0; I < UploadingHosts * UploadsPerHost; ++I)
      Uploads.push_back(call(I % UploadingHosts, UploadSize(Random), {}));
    timer Late = Loop.after(LateUploadTime, [&] {
      for (size_t Host = FirstLateUploader; Host < HostCount; ++Host)
        Uploads.push_back(call(Host, LateUploadSize, {}));
    });
    timer Begin = Loop.every(SmallCallPeriod, [&] {
      if (!haveEnded(Uploads))
        beginSmallCall(Patience);
      else if (haveEnded(SmallCalls) && !End)
        End.emplace(Loop.after(Rest, [&] { Loop.stop(); }));
    });
    Loop.run();
  }

  /// Begins an upload at each host but the last one at once, and a small call
  /// at that one a little later. Runs until all have ended.
  void runBurst(size_t UploadBytes, milliseconds SmallCallTime) {
    size_t Last = Hosts.size() - 1;
    for (size_t Host = 0; Host < Last; ++Host)
      Uploads.push_back(call(Host, UploadBytes, {}));
    timer Begin = Loop.after(SmallCallTime, [&] {
      SmallCalls.push_back(call(Last, SmallSize, {}));
    });
    timer Check = Loop.every(SmallCallPeriod, [&] {
      if (haveEnded(Uploads) && haveEnded(SmallCalls))
        Loop.stop();
    });
    Loop.run();
  }

  std::vector<call_record> uploads() const { return recordsOf(Uploads); }
  std::vector<call_record> smallCalls() const { return recordsOf(SmallCalls); }
  int connectionCount() const { return Link.connectionCount(); }

private:
  void beginSmallCall(milliseconds Patience) {
    size_t Callers = FirstLateUploader - FirstSmallCaller;
    size_t Host = FirstSmallCaller + SmallCalls.size() % Callers;
    SmallCalls.push_back(call(Host, SmallSize, Patience));
  }

  bool haveEnded(const std::vector<size_t> &Numbers) const {
    return std::all_of(Numbers.begin(), Numbers.end(), [&](size_t Number) {
      return Calls.at(Number).hasEnded();
    });
  }

  std::vector<call_record> recordsOf(const std::vector<size_t> &Numbers) const {
    std::vector<call_record> Records;
    Records.reserve(Numbers.size());
    for (size_t Number : Numbers)
      Records.push_back(Calls.at(Number));
    return Records;
  }

  event_loop Loop;
  boot_clock Clock;
  endpoint Listen{"127.0.0.1", freePort()};
  std::map<size_t, call_record> Calls;
  std::vector<size_t> Uploads;
  std::vector<size_t> SmallCalls;
  host_pacers ServerPacers;
  peer_server Server;
  slow_link Link;
  std::vector<std::unique_ptr<calling_host>> Hosts;
  std::vector<timer> Departures;
  std::optional<timer> End;
};

/// Returns how many records satisfy a condition.
template <typename Condition>
size_t countOf(const std::vector<call_record> &Records,
               const Condition &Matches) {
  return std::count_if(Records.begin(), Records.end(), Matches);
}

bool isCompleted(const call_record &Call) {
  return Call.EndedAt && Call.Result.Outcome == call_outcome::Completed;
}

/// The longest time from the begin of a call to its end, or to its handling if
/// that was later.
milliseconds longestTime(const std::vector<call_record> &Records) {
  duration Longest{0};
  for (const call_record &Call : Records) {
    time_point End = Call.EndedAt.value_or(Call.Begin);
    if (Call.HandledAt)
      End = std::max(End, *Call.HandledAt);
    Longest = std::max(Longest, End - Call.Begin);
  }
  return std::chrono::duration_cast<milliseconds>(Longest);
}

/// Checks that no connection was lost, and that no upload had another result
/// than the server's response.
void checkUploads(const linked_hosts &Hosts) {
  std::vector<call_record> Uploads = Hosts.uploads();
  CHECK(countOf(Uploads, isCompleted) == Uploads.size());
  CHECK(countOf(Uploads, [](const call_record &Upload) {
          return Upload.HandledAt && !isCompleted(Upload);
        }) == 0);
  CHECK(Hosts.connectionCount() == HostCount);
}

} // namespace

// Guards against a queue before the link of a host that grows with the number
// of hosts which send to it at once: PINGs and small calls wait behind all
// uploads, connections are taken for lost, and requests that the server handles
// are reported as lost.
TEST_CASE("uploads of many hosts at once keep neither connections nor small "
          "calls waiting") {
  size_t ResponseSize = 0;
  SUBCASE("small responses") { ResponseSize = SmallSize; }
  SUBCASE("the link back is full too") { ResponseSize = 200'000; }
  CAPTURE(ResponseSize);
  linked_hosts Hosts(ResponseSize);
  Hosts.run({}, {});
  checkUploads(Hosts);
  std::vector<call_record> SmallCalls = Hosts.smallCalls();
  CHECK(countOf(SmallCalls, isCompleted) == SmallCalls.size());
  CHECK(longestTime(SmallCalls) < SmallCallBound);
  // The link carries the uploads for more than 3 s.
  CHECK(SmallCalls.size() > 50);
}

// Guards against a server that works for callers which have left long before:
// the request and its cancellation wait on the link.
TEST_CASE("a call behind uploads of many hosts is not handled long after its "
          "caller has left") {
  constexpr milliseconds Patience{200};
  constexpr milliseconds Bound{500};
  linked_hosts Hosts(SmallSize);
  Hosts.run(Patience, milliseconds(2'000));
  checkUploads(Hosts);
  std::vector<call_record> SmallCalls = Hosts.smallCalls();
  CHECK(countOf(SmallCalls, [&](const call_record &Call) {
          return Call.CancelledAt && Call.HandledAt &&
                 *Call.HandledAt > *Call.CancelledAt + Bound;
        }) == 0);
  CHECK(SmallCalls.size() > 50);
}

// Guards against a queue that grows with the number of hosts although each of
// them sends no more than what needs no permission.
TEST_CASE("uploads of sixty hosts that begin at once hardly delay a small "
          "call") {
  constexpr size_t Count = 61;
  linked_hosts Hosts(SmallSize, Count);
  size_t UploadBytes = 0;
  SUBCASE("large uploads") { UploadBytes = 60'000; }
  SUBCASE("small uploads") { UploadBytes = 14'000; }
  CAPTURE(UploadBytes);
  Hosts.runBurst(UploadBytes, milliseconds(100));
  std::vector<call_record> Uploads = Hosts.uploads();
  CHECK(countOf(Uploads, isCompleted) == Uploads.size());
  CHECK(Hosts.connectionCount() == Count);
  CHECK(longestTime(Hosts.smallCalls()) < SmallCallBound);
}
