// A stand-in for a target that holds keys: it sends heartbeats, holds what it is
// granted in their answers, and runs requests for these keys.
#ifndef REVIEW_STANDIN_3_TARGET_HPP
#define REVIEW_STANDIN_3_TARGET_HPP

#include "store.hpp"

#include <array>
#include <set>

namespace review {

struct target_options {
  std::string Ip;
  int Port = 0;
  int ControlPort = 0;
  std::string Service;
  std::string Zone;
  std::string Instance;
  int64_t HeartbeatMs = 870;
  int64_t WorkMs = 10;
  int Slots = 9;
  /// Whether the target holds keys.
  bool IsKeyed = true;
};

class target {
public:
  explicit target(const target_options &Options)
      : Options(Options), Born(std::chrono::duration_cast<milliseconds>(
                                   std::chrono::system_clock::now()
                                       .time_since_epoch())
                                   .count()),
        Server(Options.Ip, Options.Port,
               [this](const message &Request) { return serve(Request); }) {
    std::thread([this] { beat(); }).detach();
  }

  struct arrival {
    std::string RequestId;
    int64_t At = 0;
    /// When the work ended; 0 if it did not before the target did.
    int64_t EndedAt = 0;
  };

  /// Begins to leave: says so in heartbeats and in all answers.
  void drain() { IsDraining = true; }
  /// When the first heartbeat that says so was acknowledged; 0 if none was.
  int64_t drainAcknowledgedAt() const { return AcknowledgedAt; }

  /// Gives notice and ends, with the work that is left.
  void leave() {
    HasEnded = true;
    stream Notice;
    if (Notice.connect(Options.Ip, Options.ControlPort, 500)) {
      Notice.write(encodeRequest("POST",
                                 "/-/rpc?call=instances.leave&of=" +
                                     Options.Instance,
                                 {{"Host", "control"}}, ""),
                   nowMs() + 500);
      Notice.read(nowMs() + 500);
    }
    Server.stop();
    StoppedAt = nowMs();
  }
  int64_t stoppedAt() const { return StoppedAt; }

  /// The requests that the target has run.
  std::vector<arrival> arrivals() {
    std::lock_guard Lock(Mutex);
    return Arrivals;
  }

  /// The number of keys that the target holds now.
  int heldKeys() {
    std::lock_guard Lock(Mutex);
    int Count = 0;
    for (const range &Range : held())
      Count += Range.Last - Range.First + 1;
    return Count;
  }

private:
  struct range {
    int First = 0, Last = 0;
    uint64_t Fence = 0;
  };

  /// What is held now; nothing once the lease has expired.
  std::vector<range> held() const {
    return nowMs() < HeldUntil ? Held : std::vector<range>();
  }

  bool holds(int Key) const {
    auto Now = held();
    return std::any_of(Now.begin(), Now.end(), [Key](const range &Range) {
      return Range.First <= Key && Key <= Range.Last;
    });
  }

  response serve(const message &Request) {
    std::unique_lock Lock(Mutex);
    response Response;
    if (auto Id = Request.find("Request-Id"))
      Response.Fields.emplace_back("Request-Id", *Id);
    if (Request.Second == "/health") {
      Response.Fields.emplace_back("Instance-Id", Options.Instance);
      return Response;
    }
    auto Expected = Request.find("Expected-Instance");
    int Key = std::atoi(Request.find("Shard-Key").value_or("-1").c_str());
    if ((Expected && *Expected != Options.Instance) ||
        (Options.IsKeyed && !holds(Key))) {
      Response.Status = 421;
      Response.Fields.emplace_back("Not-Executed", "1");
      Response.Fields.emplace_back("Instance-Id", Options.Instance);
      return Response;
    }
    if (Working >= Options.Slots) {
      Response.Status = 503;
      Response.Fields.emplace_back("Not-Executed", "1");
      return Response;
    }
    ++Working;
    size_t Number = Arrivals.size();
    Arrivals.push_back({Request.find("Request-Id").value_or(""), nowMs()});
    Lock.unlock();
    sleepMs(Options.WorkMs);
    Lock.lock();
    --Working;
    if (StoppedAt == 0)
      Arrivals[Number].EndedAt = nowMs();
    Response.Fields.emplace_back("Server-Stamp", "stamp." + Options.Instance);
    if (IsDraining)
      Response.Fields.emplace_back("Server-Leaving", "1");
    Response.Body = Request.First + " " + Request.Second + "\n";
    return Response;
  }

  /// Sends heartbeats, one after the other.
  void beat() {
    while (!HasEnded) {
      std::string Body;
      int64_t SentAt = nowMs();
      bool SaysDraining = IsDraining;
      {
        std::lock_guard Lock(Mutex);
        Body = heartbeat();
      }
      bool MustHurry = send(Body, SentAt);
      if (SaysDraining && IsAcknowledged && AcknowledgedAt == 0)
        AcknowledgedAt = nowMs();
      int64_t NextAt = SentAt + (MustHurry ? 100 : Options.HeartbeatMs);
      // The news that it leaves does not wait for the next beat.
      while (nowMs() < NextAt && SaysDraining == IsDraining)
        sleepMs(10);
    }
  }

  std::string heartbeat() {
    json Holds = json::array();
    for (const range &Range : held())
      Holds.push_back({Range.First, Range.Last, Range.Fence});
    json Released = json::array();
    for (const range &Range : Freed)
      Released.push_back({Range.First, Range.Last, "5c0e7a21d94b36f8"});
    json Beat = {{"service", Options.Service},
                {"address", Options.Ip + ":" + std::to_string(Options.Port)},
                {"zone", Options.Zone},
                {"version", "v1"},
                {"slots", Options.Slots},
                {"state", IsDraining ? "draining" : "ready"},
                {"coldRemainingMs", 0},
                {"sequence", ++Sequence},
                {"born", Born}};
    if (Options.IsKeyed) {
      Beat["holds"] = Holds;
      Beat["freed"] = Released;
    }
    return Beat.dump();
  }

  /// Returns whether the next heartbeat has to report released keys.
  bool send(const std::string &Body, int64_t SentAt) {
    int64_t Deadline = SentAt + 1000;
    IsAcknowledged = false;
    if (!Control.isOpen() &&
        !Control.connect(Options.Ip, Options.ControlPort, 500))
      return false;
    std::string Path =
        "/-/rpc?call=instances.heartbeat&of=" + Options.Instance;
    std::string Text = encodeRequest(
        "POST", Path,
        {{"Host", "control"}, {"Content-Type", "application/json"}}, Body);
    std::optional<message> Answer;
    if (Control.write(Text, Deadline))
      Answer = Control.read(Deadline);
    IsAcknowledged = Answer && Answer->Second.rfind('2', 0) == 0 &&
                     Answer->Body.size() <= 4096;
    if (!IsAcknowledged) {
      Control.close();
      return false;
    }
    if (Answer->find("Connection").value_or("") == "close")
      Control.close();
    std::lock_guard Lock(Mutex);
    Freed.clear();
    json Grant = json::parse(Answer->Body, nullptr, false);
    if (!Grant.is_object() || !Grant.contains("holds"))
      return false;
    apply(Grant, SentAt);
    return !Freed.empty();
  }

  void apply(const json &Grant, int64_t SentAt) {
    std::vector<range> Before = held();
    std::vector<range> Latest;
    for (const json &Row : Grant["holds"]) {
      range Range{Row[0], Row[1], Row[2]};
      auto First = Highest.begin() + Range.First;
      auto Last = Highest.begin() + Range.Last + 1;
      if (std::any_of(First, Last,
                      [&](uint64_t Seen) { return Seen > Range.Fence; }))
        continue;
      std::fill(First, Last, Range.Fence);
      Latest.push_back(Range);
    }
    Held = Latest;
    HeldUntil = SentAt + Grant["holdMs"].get<int64_t>();
    for (const range &Range : Before) {
      // Keys that are left out are released; the work on them is short.
      int From = -1;
      for (int Key = Range.First; Key <= Range.Last + 1; ++Key) {
        bool IsGone = Key <= Range.Last && !holds(Key);
        if (IsGone && From < 0)
          From = Key;
        if (!IsGone && From >= 0) {
          Freed.push_back({From, Key - 1, Range.Fence});
          From = -1;
        }
      }
    }
  }

  target_options Options;
  int64_t Born;
  std::mutex Mutex;
  stream Control;
  std::vector<range> Held;
  int64_t HeldUntil = 0;
  std::vector<range> Freed;
  std::array<uint64_t, 65536> Highest{};
  uint64_t Sequence = 0;
  /// Whether the last heartbeat was acknowledged.
  bool IsAcknowledged = false;
  int Working = 0;
  std::vector<arrival> Arrivals;
  std::atomic<bool> IsDraining{false};
  std::atomic<int64_t> AcknowledgedAt{0};
  std::atomic<bool> HasEnded{false};
  std::atomic<int64_t> StoppedAt{0};
  server Server;
};

} // namespace review

#endif // REVIEW_STANDIN_3_TARGET_HPP
