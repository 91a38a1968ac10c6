// A stand-in for the platform's store: rows, transactions, reads and a feed, as
// PROTOCOL.md describes them, and drills after which it is back from a copy.
#ifndef REVIEW_STANDIN_3_STORE_HPP
#define REVIEW_STANDIN_3_STORE_HPP

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace review {

using nlohmann::json;

inline std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    size_t Size = std::min<size_t>(3, Bytes.size() - I);
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (J < Size ? static_cast<unsigned char>(Bytes[I + J]) : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += J <= Size ? Digits[Group >> (18 - 6 * J) & 63U] : '=';
  }
  return Text;
}

class store {
public:
  explicit store(int64_t TransactionMs) : TransactionMs(TransactionMs) {}

  response serve(const message &Request) {
    std::string Path = Request.Second.substr(0, Request.Second.find('?'));
    response Response;
    if (IsDown)
      Response.Status = 503;
    else if (Path == "/-/rows-tx")
      Response = transact(Request.Body);
    else if (Path == "/-/rows-get")
      Response = read(Request.Second);
    else if (Path == "/-/rows-feed")
      Response = feed(Request.Second);
    else
      Response.Status = 404;
    Response.Fields.emplace_back("Content-Type", "application/json");
    Response.Fields.emplace_back("Store-Era", std::to_string(Era.load()));
    ++Calls;
    return Response;
  }

  /// Writes a row in the role of the operator. Returns when it is acknowledged.
  void putOperatorRow(const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(Mutex);
    put("op", Key, base64(Value));
    Changed.notify_all();
  }

  void setDown(bool Value) {
    IsDown = Value;
    Changed.notify_all();
  }

  /// Makes a copy, from which the store can come back later.
  void copy() {
    std::lock_guard Lock(Mutex);
    CopiedRows = Rows;
    CopiedVersion = Version;
    CopiedAt = nowMs();
  }

  /// Comes back from the copy. What the operator wrote is written again.
  /// Returns the age of the copy in milliseconds.
  int64_t restore() {
    std::lock_guard Lock(Mutex);
    std::map<row_key, row> Before = Rows;
    Rows = CopiedRows;
    Version = CopiedVersion;
    History.clear();
    HistoryStart = Version;
    ++Era;
    for (const auto &[Key, Row] : Before)
      if (Key.first == "op")
        put(Key.first, Key.second, Row.Value);
    Changed.notify_all();
    return nowMs() - CopiedAt;
  }

  int era() const { return Era; }
  uint64_t calls() const { return Calls; }
  uint64_t refusedTransactions() const { return Refused; }

private:
  using row_key = std::pair<std::string, std::string>;
  struct row {
    std::string Value;
    uint64_t Version = 0;
  };
  struct change {
    uint64_t Version;
    row_key Key;
    bool IsRemoval;
  };

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    size_t At = Target.find('?');
    while (At != std::string::npos) {
      size_t End = std::min(Target.find('&', At + 1), Target.size());
      std::string Pair = Target.substr(At + 1, End - At - 1);
      if (Pair.rfind(Name + "=", 0) == 0)
        return Pair.substr(Name.size() + 1);
      At = End < Target.size() ? End : std::string::npos;
    }
    return "";
  }

  static json encode(const row_key &Key, const row &Row) {
    return {{"table", Key.first},
            {"part", ""},
            {"key", Key.second},
            {"value", Row.Value},
            {"rowVersion", Row.Version}};
  }

  response respond(int Status, json Body) const {
    Body["rowVersion"] = Version;
    Body["currentTimeMs"] = nowMs();
    response Response;
    Response.Status = Status;
    Response.Body = Body.dump();
    return Response;
  }

  void put(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    ++Version;
    Rows[{Table, Key}] = {Value, Version};
    History.push_back({Version, {Table, Key}, false});
  }

  response transact(const std::string &Text) {
    // A part handles its transactions one after another.
    std::unique_lock Turn(PartMutex);
    sleepMs(TransactionMs);
    std::lock_guard Lock(Mutex);
    json Body = json::parse(Text, nullptr, false);
    if (!Body.is_object())
      return respond(400, json::object());
    bool Holds = true;
    json Current = json::array();
    for (const json &Entry : Body["precondition"]) {
      row_key Key{Entry["table"], Entry["key"]};
      auto Found = Rows.find(Key);
      uint64_t Actual = Found == Rows.end() ? 0 : Found->second.Version;
      Holds &= Actual == Entry["rowVersion"].get<uint64_t>();
      // A row that does not exist has no current row to show.
      if (Found != Rows.end())
        Current.push_back(encode(Key, Found->second));
    }
    if (!Holds) {
      ++Refused;
      return respond(412, {{"rows", Current}});
    }
    for (const char *List : {"puts", "remove"})
      for (const json &Entry : Body[List])
        if (Entry["table"] == "op" || Entry["table"] == "servers")
          return respond(403, json::object());
    ++Version;
    for (const json &Entry : Body["puts"]) {
      row_key Key{Entry["table"], Entry["key"]};
      Rows[Key] = {Entry["value"].get<std::string>(), Version};
      History.push_back({Version, Key, false});
    }
    for (const json &Entry : Body["remove"]) {
      row_key Key{Entry["table"], Entry["key"]};
      Rows.erase(Key);
      History.push_back({Version, Key, true});
    }
    Changed.notify_all();
    return respond(200, json::object());
  }

  response read(const std::string &Target) {
    sleepMs(2);
    std::lock_guard Lock(Mutex);
    json List = json::array();
    for (const auto &[Key, Row] : Rows)
      if (Key.first == parameter(Target, "table"))
        List.push_back(encode(Key, Row));
    return respond(200, {{"rows", List}, {"hasMore", false}});
  }

  response feed(const std::string &Target) {
    std::string Table = parameter(Target, "table");
    uint64_t After =
        std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    int64_t Wait = std::atoll(parameter(Target, "waitMs").c_str());
    auto Deadline = steady::now() + milliseconds(Wait);
    std::unique_lock Lock(Mutex);
    int EraBefore = Era;
    if (After > Version || After < HistoryStart)
      return respond(410, json::object());
    json List = changesOf(Table, After);
    while (List.empty() && Era == EraBefore && !IsDown &&
           Changed.wait_until(Lock, Deadline) != std::cv_status::timeout)
      List = changesOf(Table, After);
    if (Era != EraBefore || IsDown) {
      // Watches break when the store goes away.
      response Dropped;
      Dropped.Drops = true;
      return Dropped;
    }
    return respond(200, {{"rows", List}});
  }

  json changesOf(const std::string &Table, uint64_t After) const {
    std::map<row_key, const change *> Latest;
    for (const change &Change : History)
      if (Change.Version > After && Change.Key.first == Table)
        Latest[Change.Key] = &Change;
    std::vector<const change *> Ordered;
    for (const auto &[Key, Change] : Latest)
      Ordered.push_back(Change);
    std::sort(Ordered.begin(), Ordered.end(),
              [](const change *A, const change *B) {
                return A->Version < B->Version;
              });
    json List = json::array();
    for (const change *Change : Ordered) {
      if (Change->IsRemoval)
        List.push_back({{"table", Table},
                        {"part", ""},
                        {"key", Change->Key.second},
                        {"rowVersion", Change->Version},
                        {"removed", true}});
      else
        List.push_back(encode(Change->Key, Rows.at(Change->Key)));
    }
    return List;
  }

  int64_t TransactionMs;
  std::mutex PartMutex;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<row_key, row> Rows;
  uint64_t Version = 0;
  std::deque<change> History;
  uint64_t HistoryStart = 0;
  std::map<row_key, row> CopiedRows;
  uint64_t CopiedVersion = 0;
  int64_t CopiedAt = 0;
  std::atomic<int> Era{1};
  std::atomic<bool> IsDown{false};
  std::atomic<uint64_t> Calls{0};
  std::atomic<uint64_t> Refused{0};
};

} // namespace review

#endif // REVIEW_STANDIN_3_STORE_HPP
