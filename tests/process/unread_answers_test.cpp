// Planned stops of real daemons while callers read answers slowly, or send the
// next request before they have the answer to the last one.
#include "process/local_cluster.hpp"
#include "process/raw_http.hpp"
#include "process/steady_callers.hpp"
#include "raw_connection.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform sends SIGKILL after this time.
constexpr seconds Grace{6};
/// Callers begin for this long, and the signal comes in the middle of it.
constexpr milliseconds BeginTime{5000};
constexpr milliseconds AnswerTimeout{10'000};
constexpr size_t LargeAnswer = 540'000;
/// A caller reads 4 KB, and then waits for this long.
constexpr milliseconds ReadPause{15};
constexpr size_t BodySize = size_t{24} << 10;

/// Reads a response, with a pause after each read.
void readResponse(raw_connection &Connection, response_reader &Response,
                  milliseconds Pause) {
  while (Response.status() == 0) {
    std::string Bytes = Connection.readSome();
    if (Bytes.empty())
      return;
    Response.take(Bytes);
    std::this_thread::sleep_for(Pause);
  }
}

struct download {
  int Status = 0;
  size_t Size = 0;
};

/// Nothing is returned if the connection is refused.
std::optional<download> readSlowly(const endpoint &Daemon,
                                   const std::string &Id) {
  auto Connection = tryConnect(Daemon);
  if (!Connection)
    return std::nullopt;
  std::string Path = "/parts/s" + std::to_string(LargeAnswer) + "/1";
  Connection->send(makeRequestHead(Id, "GET " + Path, AnswerTimeout));
  response_reader Response;
  readResponse(*Connection, Response, ReadPause);
  return download{Response.status(), Response.bodySize()};
}

/// Two requests on one connection.
struct request_pair {
  std::string SecondId;
  int FirstStatus = 0;
  int SecondStatus = 0;
  /// Whether the first response ends the connection, so that the caller knows
  /// that its second request is not processed.
  bool EndsWithFirst = false;
};

/// Sends the second request so long after the first one. Nothing is returned if
/// the connection is refused.
std::optional<request_pair> sendPair(const endpoint &Daemon,
                                     const std::string &Id, milliseconds Gap) {
  auto Connection = tryConnect(Daemon);
  if (!Connection)
    return std::nullopt;
  request_pair Pair{Id + "-second"};
  Connection->send(makeRequestHead(Id, "GET /parts/1", AnswerTimeout));
  std::this_thread::sleep_for(Gap);
  std::string Length = "Content-Length: " + std::to_string(BodySize) + "\r\n";
  Connection->send(
      makeRequestHead(Pair.SecondId, "POST /orders/1", AnswerTimeout, Length) +
      std::string(BodySize, 'x'));
  response_reader First;
  readResponse(*Connection, First, milliseconds(0));
  response_reader Second;
  Second.take(First.rest());
  readResponse(*Connection, Second, milliseconds(0));
  Pair.FirstStatus = First.status();
  Pair.SecondStatus = Second.status();
  Pair.EndsWithFirst = First.status() != 0 && !First.keepsAlive();
  return Pair;
}

bool isServedOrRefused(int Status) {
  return Status == 200 || Status == 408 || Status == 503;
}

/// Calls `Call` with 0 to `Count` - 1, each on a thread of its own, one after
/// the other, and stops the daemon of host 0 meanwhile. Returns the results
/// that are not empty.
template <typename Result>
std::vector<Result>
stopDuring(local_cluster &Cluster, int Count,
           const std::function<std::optional<Result>(int)> &Call) {
  std::vector<std::future<std::optional<Result>>> Futures;
  Futures.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Futures.push_back(std::async(std::launch::async, [&Call, I, Count] {
      std::this_thread::sleep_for(BeginTime * I / Count);
      return Call(I);
    }));
  std::this_thread::sleep_for(BeginTime / 2);
  Cluster.daemon(0).signal(SIGTERM);
  auto End = Cluster.daemon(0).wait(Grace);
  std::vector<Result> Results;
  for (auto &Future : Futures)
    if (auto Value = Future.get())
      Results.push_back(*Value);
  REQUIRE(End);
  CHECK(End->isSuccess());
  return Results;
}

} // namespace

// Guards against answers that are cut off while a slow caller reads them.
TEST_CASE("a planned stop cuts off no answer that a caller reads slowly") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  endpoint Daemon = Cluster.callerEndpoint(0);
  warmUp(Daemon);
  auto Downloads = stopDuring<download>(Cluster, 24, [&](int I) {
    return readSlowly(Daemon, "download-" + std::to_string(I));
  });
  for (const download &Download : Downloads) {
    CHECK(isServedOrRefused(Download.Status));
    if (Download.Status == 200)
      CHECK(Download.Size == LargeAnswer);
  }
}

// Guards against a request that follows at once on the connection of another
// one and is processed, but not answered.
TEST_CASE("a planned stop processes no request behind the last answer") {
  local_cluster Cluster(3, milliseconds(300));
  Cluster.start();
  endpoint Daemon = Cluster.callerEndpoint(0);
  warmUp(Daemon);
  auto Pairs = stopDuring<request_pair>(Cluster, 48, [&](int I) {
    return sendPair(Daemon, "pair-" + std::to_string(I),
                    I % 4 * milliseconds(90));
  });
  auto RunCounts = Cluster.runCounts();
  for (const request_pair &Pair : Pairs) {
    CAPTURE(Pair.SecondId);
    CHECK(isServedOrRefused(Pair.FirstStatus));
    CHECK((isServedOrRefused(Pair.SecondStatus) || Pair.EndsWithFirst));
    CHECK(RunCounts[Pair.SecondId] == (Pair.SecondStatus == 200 ? 1 : 0));
  }
}
