// Stand-ins for the scripts of cases 6 to 10: the platform's store, targets that hold
// keys, clients, and the start and end of the project's daemons. All addresses are
// loopback addresses. Pages: PROTOCOL.md, DEPLOY.md.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace harness {

using json = nlohmann::json;

// Time, random numbers, record.

inline double now() {
  using namespace std::chrono;
  static const auto Start = steady_clock::now();
  return duration<double>(steady_clock::now() - Start).count();
}

inline void sleepMs(double Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<int64_t>(Ms * 1000)));
}

inline uint64_t randomNumber() {
  thread_local std::mt19937_64 Engine(std::random_device{}());
  return Engine();
}

inline std::string randomId() {
  char Text[17];
  snprintf(Text, sizeof(Text), "%016llx", static_cast<unsigned long long>(randomNumber()));
  return Text;
}

inline std::string environment(const char *Name, const std::string &Default) {
  const char *Value = getenv(Name);
  return Value && *Value ? Value : Default;
}

inline bool hasTrouble() { return environment("TROUBLE", "1") != "0"; }

inline void record(const char *Format, ...) {
  static std::mutex Mutex;
  static FILE *File = fopen((environment("CASE_FOLDER", ".") + "/record.txt").c_str(), "w");
  char Text[2000];
  va_list Arguments;
  va_start(Arguments, Format);
  vsnprintf(Text, sizeof(Text), Format, Arguments);
  va_end(Arguments);
  std::lock_guard Lock(Mutex);
  for (FILE *Output : {File, environment("VERBOSE", "").empty() ? nullptr : stdout})
    if (Output) {
      fprintf(Output, "%8.3f  %s\n", now(), Text);
      fflush(Output);
    }
}

// HTTP/1.1 on blocking sockets.

struct message {
  std::string First;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const std::string &Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
        return Value;
    return "";
  }
  std::string word(int Index) const {
    size_t Begin = 0;
    for (; Index > 0 && Begin != std::string::npos; --Index)
      Begin = First.find(' ', Begin) + 1;
    return First.substr(Begin, First.find(' ', Begin) - Begin);
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return atoi(word(1).c_str()); }
};

class connection {
public:
  explicit connection(int Socket) : Socket(Socket) {
    int One = 1;
    setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  }
  ~connection() { close(); }
  connection(const connection &) = delete;

  static std::unique_ptr<connection> open(const std::string &Ip, int Port, int TimeoutMs) {
    int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (Socket < 0)
      return nullptr;
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    fcntl(Socket, F_SETFL, O_NONBLOCK);
    connect(Socket, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
    pollfd Poll{Socket, POLLOUT, 0};
    int Error = 0;
    socklen_t Size = sizeof(Error);
    if (poll(&Poll, 1, TimeoutMs) != 1 ||
        getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0 || Error != 0) {
      ::close(Socket);
      return nullptr;
    }
    fcntl(Socket, F_SETFL, 0);
    return std::make_unique<connection>(Socket);
  }

  bool isOpen() const { return Socket >= 0; }
  void close() {
    int Old = Socket.exchange(-1);
    if (Old >= 0)
      ::close(Old);
  }
  /// Ends the connection with a reset.
  void reset() {
    linger Linger{1, 0};
    if (Socket >= 0)
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Linger, sizeof(Linger));
    close();
  }
  /// Makes a reader in another thread return.
  void shutDown() {
    int Now = Socket;
    if (Now >= 0)
      ::shutdown(Now, SHUT_RDWR);
  }
  bool write(const std::string &Text) {
    size_t Done = 0;
    while (Done < Text.size()) {
      ssize_t Size = send(Socket, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Done += static_cast<size_t>(Size);
    }
    return true;
  }
  /// Reads until `Buffer` has more bytes. Returns false at the end or the deadline.
  bool readMore(double Deadline) {
    for (;;) {
      pollfd Poll{Socket, POLLIN, 0};
      int Ms = Deadline > 1e8 ? -1 : static_cast<int>(std::max(0.0, (Deadline - now()) * 1000));
      int Ready = poll(&Poll, 1, Ms);
      if (Ready < 0 && errno == EINTR)
        continue;
      if (Ready <= 0)
        return false;
      char Bytes[65536];
      ssize_t Size = recv(Socket, Bytes, sizeof(Bytes), 0);
      if (Size <= 0)
        return false;
      Buffer.append(Bytes, static_cast<size_t>(Size));
      return true;
    }
  }
  /// Reads a message with a length or in chunks.
  std::optional<message> read(double Deadline = 1e9) {
    size_t End;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!readMore(Deadline))
        return std::nullopt;
    message Message;
    size_t Line = Buffer.find("\r\n");
    Message.First = Buffer.substr(0, Line);
    for (size_t Begin = Line + 2; Begin < End + 2;) {
      size_t Stop = Buffer.find("\r\n", Begin);
      size_t Colon = Buffer.find(':', Begin);
      size_t Value = Buffer.find_first_not_of(' ', Colon + 1);
      Message.Headers.emplace_back(Buffer.substr(Begin, Colon - Begin),
                                   Buffer.substr(Value, Stop - Value));
      Begin = Stop + 2;
    }
    Buffer.erase(0, End + 4);
    size_t Length = strtoul(Message.header("Content-Length").c_str(), nullptr, 10);
    while (Buffer.size() < Length)
      if (!readMore(Deadline))
        return std::nullopt;
    Message.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return Message;
  }

  std::atomic<int> Socket;
  std::string Buffer;
};

using header_fields = std::vector<std::pair<std::string, std::string>>;

inline std::string encode(const std::string &First, const header_fields &Headers,
                          const std::string &Body) {
  std::string Text = First + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string encodeResponse(int Status, const header_fields &Headers,
                                  const std::string &Body) {
  return encode("HTTP/1.1 " + std::to_string(Status) + " -", Headers, Body);
}

/// Accepts connections and serves each in a thread of its own.
class server {
public:
  using handler = std::function<void(connection &)>;

  server(std::string Ip, int Port, handler Handler)
      : Ip(std::move(Ip)), Port(Port), Handler(std::move(Handler)) {}
  ~server() { stop(); }

  bool start() {
    Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<uint16_t>(Port));
    inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
    if (bind(Listener, reinterpret_cast<sockaddr *>(&Address), sizeof(Address)) != 0 ||
        listen(Listener, 512) != 0)
      return false;
    IsRunning = true;
    Thread = std::thread([this] { accept(); });
    return true;
  }
  /// Ends the listener and all connections.
  void stop() {
    if (!IsRunning.exchange(false))
      return;
    ::shutdown(Listener, SHUT_RDWR);
    Thread.join();
    ::close(Listener);
    {
      std::lock_guard Lock(Mutex);
      for (const auto &Weak : Connections)
        if (auto Connection = Weak.lock())
          Connection->shutDown();
    }
    while (Active > 0)
      sleepMs(1);
  }
  size_t connectionCount() const { return static_cast<size_t>(Active.load()); }

private:
  void accept() {
    while (IsRunning) {
      int Socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0) {
        sleepMs(2);
        continue;
      }
      auto Connection = std::make_shared<connection>(Socket);
      {
        std::lock_guard Lock(Mutex);
        std::erase_if(Connections, [](const auto &Weak) { return Weak.expired(); });
        Connections.push_back(Connection);
      }
      ++Active;
      std::thread([this, Connection]() mutable {
        Handler(*Connection);
        Connection->close();
        Connection.reset();
        --Active;
      }).detach();
    }
  }

  std::string Ip;
  int Port;
  handler Handler;
  int Listener = -1;
  std::atomic<bool> IsRunning{false};
  std::atomic<int> Active{0};
  std::thread Thread;
  std::mutex Mutex;
  std::vector<std::weak_ptr<connection>> Connections;
};

// The store, as in PROTOCOL.md, "The platform's metadata store". It never loses,
// delays or refuses anything but what the page says: 100 entries and 1 MB a call,
// 65,536 bytes a row.

inline std::string base64(const std::string &Text) {
  static const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Result;
  for (size_t I = 0; I < Text.size(); I += 3) {
    uint32_t Bits = 0;
    for (size_t K = 0; K < 3; ++K)
      Bits = Bits << 8 | (I + K < Text.size() ? static_cast<unsigned char>(Text[I + K]) : 0);
    for (size_t K = 0; K < 4; ++K)
      Result += I + K <= Text.size() ? Digits[Bits >> (18 - 6 * K) & 63] : '=';
  }
  return Result;
}

inline std::string queryValue(const std::string &Target, const std::string &Name) {
  size_t At = Target.find('?');
  while (At != std::string::npos) {
    size_t End = Target.find('&', At + 1);
    std::string Pair = Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0) {
      std::string Value = Pair.substr(Name.size() + 1);
      if (size_t Zero = Value.find("%00"); Zero != std::string::npos)
        Value.replace(Zero, 3, 1, '\0');
      return Value;
    }
    At = End;
  }
  return "";
}

class store {
public:
  store(std::string Ip, int Port)
      : Server(Ip, Port, [this](connection &C) { serve(C); }) {}
  bool start() { return Server.start(); }
  void stop() {
    IsStopping = true;
    Changed.notify_all();
    Server.stop();
  }
  /// A write of the operator.
  void put(const std::string &Table, const std::string &Key, const std::string &Value) {
    std::lock_guard Lock(Mutex);
    apply({Table, Key}, base64(Value), ++Version);
    Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    std::lock_guard Lock(Mutex);
    apply({Table, Key}, std::nullopt, ++Version);
    Changed.notify_all();
  }

  /// Comes back from a copy that is this old. Versions go back and are given out again;
  /// the operator writes its rows again with `put`.
  void restore(double AgeS) {
    std::lock_guard Lock(Mutex);
    double CopyAt = now() - AgeS;
    while (!Log.empty() && Log.back().At > CopyAt)
      Log.pop_back();
    Rows.clear();
    Version = 100;
    for (const change &Change : Log) {
      if (Change.Row.Value)
        Rows[Change.Key] = Change.Row;
      else
        Rows.erase(Change.Key);
      Version = Change.Row.Version;
    }
    ++Era;
    Changed.notify_all();
  }
  /// How calls end: 0 as usual, otherwise with this status, or without an answer (-1).
  std::atomic<int> Outage{0};
  std::atomic<int> Era{1};
  /// Percent of the writes that are done and not answered, and the longest delay with
  /// which those are done.
  std::atomic<int> LostPercent{0};
  std::atomic<int> LateMs{0};
  std::atomic<int> Refused{0};
  std::atomic<size_t> MaxEntries{0};
  /// Called with the number of entries of a transaction that the limit refuses.
  std::function<void(size_t Entries, const std::string &Body)> OnRefused;

private:
  using row_key = std::pair<std::string, std::string>;
  struct row {
    std::optional<std::string> Value;
    uint64_t Version = 0;
  };

  struct change {
    row_key Key;
    row Row;
    double At = 0;
  };

  void apply(const row_key &Key, const std::optional<std::string> &Value, uint64_t At) {
    if (Value)
      Rows[Key] = {Value, At};
    else
      Rows.erase(Key);
    Log.push_back({Key, {Value, At}, now()});
  }
  static json encodeRow(const row_key &Key, const row &Row) {
    json Result = {{"table", Key.first}, {"part", ""}, {"key", Key.second},
                   {"rowVersion", Row.Version}};
    if (Row.Value)
      Result["value"] = *Row.Value;
    else
      Result["removed"] = true;
    return Result;
  }
  json answer() const {
    return {{"rowVersion", Version}, {"currentTimeMs", static_cast<int64_t>(now() * 1000) + 1000000}};
  }

  void serve(connection &C) {
    while (auto Request = C.read()) {
      int Status = Outage;
      if (Status < 0) {
        while (Outage < 0 && !IsStopping)
          sleepMs(20);
        return;
      }
      if (Status > 0) {
        if (!C.write(encodeResponse(Status, {{"Store-Era", std::to_string(Era)}}, "{}")))
          return;
        continue;
      }
      Status = 200;
      int AnsweredEra = Era;
      std::string Body;
      bool IsLost = Request->target() == "/-/rows-tx" &&
                    static_cast<int>(randomNumber() % 100) < LostPercent;
      if (IsLost && LateMs > 0)
        sleepMs(static_cast<double>(randomNumber() % static_cast<uint64_t>(LateMs)));
      try {
        Body = handle(*Request, Status, AnsweredEra).dump();
      } catch (const std::exception &) {
        Status = 400;
        Body = "{}";
      }
      if (IsLost) {
        // A connection on which a response is lost delivers nothing further.
        while (!IsStopping && C.readMore(now() + 0.1)) {
        }
        sleepMs(1500);
        return;
      }
      if (!C.write(encodeResponse(Status, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(AnsweredEra)}}, Body)))
        return;
    }
  }
  json handle(const message &Request, int &Status, int &AnsweredEra) {
    std::string Path = Request.target().substr(0, Request.target().find('?'));
    if (Path == "/-/rows-tx")
      return transact(Request.Body, Status, AnsweredEra);
    std::string Table = queryValue(Request.target(), "table");
    sleepMs(2);
    std::unique_lock Lock(Mutex);
    AnsweredEra = Era;
    json Result = answer();
    Result["rows"] = json::array();
    if (Path == "/-/rows-get") {
      size_t Limit = std::min<size_t>(500, strtoul(queryValue(Request.target(), "limit").c_str(), nullptr, 10));
      std::string From = queryValue(Request.target(), "from");
      Result["hasMore"] = false;
      for (const auto &[Key, Row] : Rows) {
        if (Key.first != Table || Key.second < From)
          continue;
        if (Result["rows"].size() >= Limit) {
          Result["hasMore"] = true;
          break;
        }
        Result["rows"].push_back(encodeRow(Key, Row));
      }
      return Result;
    }
    if (Path != "/-/rows-feed") {
      Status = 404;
      return json::object();
    }
    uint64_t After = strtoull(queryValue(Request.target(), "after").c_str(), nullptr, 10);
    double Until = now() + std::min(30000.0, atof(queryValue(Request.target(), "waitMs").c_str())) / 1000;
    int AskedEra = Era;
    for (;;) {
      if (Era != AskedEra || After > Version) {
        AnsweredEra = Era;
        Status = 410;
        return json::object();
      }
      json Found = json::array();
      auto First = std::partition_point(Log.begin(), Log.end(), [&](const auto &Entry) {
        return Entry.Row.Version <= After;
      });
      for (; First != Log.end(); ++First)
        if (First->Key.first == Table)
          Found.push_back(encodeRow(First->Key, First->Row));
      double Left = Until - now();
      if (!Found.empty() || Left <= 0 || IsStopping) {
        Result = answer();
        Result["rows"] = std::move(Found);
        return Result;
      }
      Changed.wait_for(Lock, std::chrono::duration<double>(Left));
    }
  }
  json transact(const std::string &Text, int &Status, int &AnsweredEra) {
    json Body = json::parse(Text);
    json Conditions = Body.value("precondition", json::array());
    json Puts = Body.value("puts", json::array());
    json Removes = Body.value("remove", json::array());
    size_t Entries = Conditions.size() + Puts.size() + Removes.size();
    bool IsTooLarge = Entries > 100 || Text.size() > (1U << 20);
    for (const json &Row : Puts)
      IsTooLarge = IsTooLarge || Row.at("value").get<std::string>().size() > 65536 / 3 * 4 + 4;
    sleepMs(5);
    std::lock_guard Lock(Mutex);
    AnsweredEra = Era;
    MaxEntries = std::max(MaxEntries.load(), Entries);
    if (IsTooLarge) {
      ++Refused;
      if (OnRefused)
        OnRefused(Entries, Text);
      Status = 400;
      return {{"error", "a call holds at most 100 entries and 1 MB"}};
    }
    auto KeyOf = [](const json &Row) {
      return row_key{Row.at("table").get<std::string>(), Row.at("key").get<std::string>()};
    };
    bool Holds = true;
    json Current = json::array();
    for (const json &Row : Conditions) {
      auto Found = Rows.find(KeyOf(Row));
      row Known = Found == Rows.end() ? row{} : Found->second;
      Holds = Holds && Known.Version == Row.at("rowVersion").get<uint64_t>();
      json Entry = encodeRow(KeyOf(Row), Known);
      if (!Known.Value)
        Entry.erase("removed");
      Current.push_back(Entry);
    }
    json Result = answer();
    if (!Holds) {
      Status = 412;
      Result["rows"] = Current;
      return Result;
    }
    for (const json &Row : Puts)
      if (KeyOf(Row).first == "op" || KeyOf(Row).first == "servers") {
        Status = 403;
        return json::object();
      }
    ++Version;
    for (const json &Row : Puts)
      apply(KeyOf(Row), Row.at("value").get<std::string>(), Version);
    for (const json &Row : Removes)
      apply(KeyOf(Row), std::nullopt, Version);
    Changed.notify_all();
    return answer();
  }

  server Server;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::atomic<bool> IsStopping{false};
  uint64_t Version = 100;
  std::map<row_key, row> Rows;
  std::vector<change> Log;
};

// Machines and daemons.

struct machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  std::string Service;
  pid_t Pid = -1;
};

constexpr int OutboundPort = 8365, ControlPort = 8367, ReadyPort = 8369, AppPort = 8363,
              StorePort = 8362;

class fleet {
public:
  fleet(std::vector<std::string> Zones, int HeartbeatMs, int MemoryMb)
      : Zones(std::move(Zones)), HeartbeatMs(HeartbeatMs), MemoryMb(MemoryMb) {
    signal(SIGPIPE, SIG_IGN);
    Scratch = environment("CASE_SCRATCH", "/tmp");
    Root = environment("CASE_ROOT", ".");
    // A loopback net of its own, so that no address is in use.
    for (int Tries = 0; Tries < 50; ++Tries) {
      Net = "127." + std::to_string(20 + randomNumber() % 200) + "." +
            std::to_string(1 + randomNumber() % 250) + ".";
      Store = std::make_unique<store>(Net + "1", StorePort);
      if (Store->start())
        return;
    }
    finish(2, "no free address");
  }
  ~fleet() { endAll(); }

  machine makeMachine(const std::string &Service) {
    machine Machine;
    int Number = ++Machines;
    Machine.Zone = Zones[static_cast<size_t>(Number) % Zones.size()];
    Machine.Name = "sidecar-" + Machine.Zone + "-" + std::to_string(Number);
    Machine.Ip = Net + std::to_string(Number + 10);
    Machine.Service = Service;
    return Machine;
  }

  void startDaemon(machine &Machine, bool IsFirstStart = true) {
    json Settings = {
        {"nodeName", Machine.Name}, {"role", "my-sidecar"}, {"machineClass", "sidecar"},
        {"serves", {"sidecar"}}, {"ipAddress", Machine.Ip}, {"zone", Machine.Zone},
        {"region", "home"}, {"seedAddresses", json::array()}, {"bootstrap", IsFirstStart},
        {"countsAsLoss", false}, {"dataDirectory", nullptr}, {"discovery", "local"},
        {"entry", "local"}, {"grants", "heartbeat"}, {"service", Machine.Service},
        {"heartbeatIntervalMs", HeartbeatMs},
        {"internalPortRange", {7780, 7795}},
        {"appAddress", Machine.Ip + ":" + std::to_string(AppPort)},
        {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "own", "places",
                       "tenants", "quota", "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"limits", {{"cpuShare", 0.2}, {"cores", 1}, {"memoryMb", MemoryMb}, {"fdLimit", 4100},
                    {"linkMbps", 1000.0}, {"diskMb", 0}}},
        {"bounds", {"seedLagS=3", "reuseAfterS=2", "touchMs=3000", "ackMs=4000", "catchUpS=4",
                    "drainMs=2000", "graceS=6", "lossSlackMs=200", "configMs=2000",
                    "rollbackSlackMs=250", "maximumStretchMs=5000", "strictRevocation=true",
                    "revocationMs=5000", "budgetRatio=0.2", "budgetWindowS=10",
                    "budgetExtraAttempts=56", "quotaWindowS=5", "quotaOver=0.1", "quotaSlack=20",
                    "coldOver=1.5", "coldSlack=5", "evacuationMs=5000", "recoverS=15",
                    "maximumHoldMs=10000", "thawMs=300"}},
        {"platform", {{"address", Net + "1:" + std::to_string(StorePort)}, {"form", "table"},
                      {"writesPerS", 400}, {"readsPerS", 2000}, {"transactionMs", 5.0},
                      {"partWritesPerS", 200}, {"rowBytes", 65536}, {"across", false},
                      {"historyS", 20}, {"blobBytes", 8388608}, {"blobMs", 25.0},
                      {"blobMbPerS", 80.0}}}};
    for (const std::string &Zone : Zones)
      Settings["zones"][Zone] = "home";
    auto Address = [&](int Port) { return Machine.Ip + ":" + std::to_string(Port); };
    Settings["listenAddresses"] = {{"inbound", Address(8366)}, {"outbound", Address(OutboundPort)},
                                   {"ready", Address(ReadyPort)}, {"controlPlane", Address(ControlPort)}};
    std::string Path = Scratch + "/" + Machine.Name + ".json";
    std::ofstream(Path) << Settings.dump();
    std::string Log = Scratch + "/" + Machine.Name + ".log";
    std::string Program = Root + "/target/dragonflyvaned";
    std::string Setting = "DRAGONFLYVANE_CONFIG=" + Path;
    std::string SearchPath = "PATH=" + environment("PATH", "/usr/bin:/bin");
    pid_t Parent = getpid();
    pid_t Pid = fork();
    if (Pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent)
        _exit(1);
      int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(Output, 1);
      dup2(Output, 2);
      if (chdir(Root.c_str()) != 0)
        _exit(1);
      char *Arguments[] = {Program.data(), nullptr};
      char *Variables[] = {Setting.data(), SearchPath.data(), nullptr};
      execve(Program.c_str(), Arguments, Variables);
      _exit(127);
    }
    Machine.Pid = Pid;
    std::lock_guard Lock(Mutex);
    Pids.insert(Pid);
    std::ofstream(Scratch + "/pids", std::ios::app) << Pid << "\n";
  }

  /// SIGKILL, and waits for the end.
  void killDaemon(machine &Machine) {
    kill(Machine.Pid, SIGKILL);
    waitpid(Machine.Pid, nullptr, 0);
    std::lock_guard Lock(Mutex);
    Pids.erase(Machine.Pid);
    Machine.Pid = -1;
  }
  /// How the process ended, if it did.
  std::optional<int> ended(machine &Machine) {
    int Status = 0;
    if (waitpid(Machine.Pid, &Status, WNOHANG) != Machine.Pid)
      return std::nullopt;
    std::lock_guard Lock(Mutex);
    Pids.erase(Machine.Pid);
    return Status;
  }

  static bool isReady(const machine &Machine) {
    auto C = connection::open(Machine.Ip, ReadyPort, 500);
    if (!C || !C->write("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"))
      return false;
    auto Answer = C->read(now() + 1);
    return Answer && Answer->status() == 200;
  }

  void endAll() {
    std::set<pid_t> Left;
    {
      std::lock_guard Lock(Mutex);
      Left.swap(Pids);
    }
    for (pid_t Pid : Left) {
      kill(Pid, SIGKILL);
      waitpid(Pid, nullptr, 0);
    }
  }
  [[noreturn]] void finish(int Status, const std::string &Text) {
    endAll();
    record("result %d: %s", Status, Text.c_str());
    printf("%s: %s\n", Status == 0 ? "held" : Status == 1 ? "BROKEN" : "could not run", Text.c_str());
    fflush(stdout);
    _exit(Status);
  }

  std::unique_ptr<store> Store;
  std::string Net;
  std::string Scratch;

private:
  std::vector<std::string> Zones;
  int HeartbeatMs;
  int MemoryMb;
  std::string Root;
  int Machines = 0;
  std::mutex Mutex;
  std::set<pid_t> Pids;
};

// Targets.

struct run {
  std::string Target;
  double At = 0;
  double End = 0;
};

/// What targets have run, by request id.
class run_list {
public:
  size_t begin(const std::string &Id, const std::string &Target) {
    std::lock_guard Lock(Mutex);
    Runs[Id].push_back({Target, now(), 0});
    return Runs[Id].size() - 1;
  }
  void end(const std::string &Id, size_t Index) {
    std::lock_guard Lock(Mutex);
    Runs[Id][Index].End = now();
  }
  std::map<std::string, std::vector<run>> all() {
    std::lock_guard Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::map<std::string, std::vector<run>> Runs;
};

/// A target, divided by key or not, with grants in answers to heartbeats.
class target {
public:
  target(machine Machine, run_list &Runs, int HeartbeatMs, bool IsSharded, int Slots, double WorkMs)
      : Machine(std::move(Machine)), Runs(Runs), HeartbeatMs(HeartbeatMs), IsSharded(IsSharded),
        Slots(Slots), WorkMs(WorkMs),
        Server(this->Machine.Ip, AppPort, [this](connection &C) { serve(C); }) {}
  ~target() { stop(); }

  bool start(bool KeepsInstance = false) {
    if (!KeepsInstance)
      Instance = "i-" + randomId().substr(0, 10);
    Born = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
    Sequence = 0;
    {
      std::lock_guard Lock(Mutex);
      Fence.assign(IsSharded ? 65536 : 0, 0);
      Seen.assign(IsSharded ? 65536 : 0, 0);
      Freed.clear();
      Busy.clear();
      HoldEnd = 1e9;
    }
    IsRunning = true;
    if (!Server.start())
      return false;
    Beats = std::thread([this] { beat(); });
    return true;
  }
  /// Ends like a process that is killed, or a machine that loses power.
  void stop() {
    if (!IsRunning.exchange(false))
      return;
    Server.stop();
    Beats.join();
  }

  bool holdsKey(int Key) {
    std::lock_guard Lock(Mutex);
    expire();
    return Fence[static_cast<size_t>(Key)] != 0;
  }
  size_t heldKeys() {
    std::lock_guard Lock(Mutex);
    expire();
    return static_cast<size_t>(std::count_if(Fence.begin(), Fence.end(), [](uint64_t F) { return F != 0; }));
  }
  size_t heldRows() {
    std::lock_guard Lock(Mutex);
    return rows().size();
  }

  header_fields stamped(const message &Request) const {
    return {{"Request-Id", Request.header("Request-Id")},
            {"Server-Stamp", Instance + "." + Request.header("Request-Id")},
            {"Server-Load", "1,0," + std::to_string(Slots)},
            {"Content-Type", "text/plain"}};
  }
  static std::string bodyFor(const message &Request) {
    return "whole body for " + Request.header("Request-Id") + "\n";
  }

  machine Machine;
  std::string Instance;
  std::string State = "ready";
  std::atomic<size_t> LargestGrant{0};
  std::atomic<int> Unacknowledged{0};
  /// Replaces the answer, after the request has run; returns whether the connection
  /// goes on.
  std::function<bool(connection &, const message &)> Answer;

private:
  void serve(connection &C) {
    while (IsRunning) {
      auto Request = C.read();
      if (!Request || !IsRunning)
        return;
      if (!handle(C, *Request))
        return;
    }
  }
  bool reject(connection &C, const message &Request, int Status) {
    return C.write(encodeResponse(
        Status, {{"Request-Id", Request.header("Request-Id")}, {"Not-Executed", "1"}}, ""));
  }
  bool handle(connection &C, const message &Request) {
    if (Request.header("Expected-Instance") != Instance && !Request.header("Expected-Instance").empty())
      return reject(C, Request, 421);
    int Key = IsSharded ? atoi(Request.header("Shard-Key").c_str()) : 0;
    {
      std::unique_lock Lock(Mutex);
      if (Running + Queued >= Slots + 24)
        return reject(C, Request, 503);
      ++Queued;
      Free.wait(Lock, [&] { return Running < Slots; });
      --Queued;
      expire();
      if (IsSharded && Fence[static_cast<size_t>(Key)] == 0) {
        Free.notify_one();
        Lock.unlock();
        return reject(C, Request, 421);
      }
      ++Running;
      ++Busy[Key];
    }
    std::string Id = Request.header("Request-Id");
    size_t Index = Runs.begin(Id, Machine.Name);
    sleepMs(WorkMs);
    Runs.end(Id, Index);
    {
      std::lock_guard Lock(Mutex);
      --Running;
      if (--Busy[Key] == 0)
        Busy.erase(Key);
      Free.notify_one();
    }
    if (Answer)
      return Answer(C, Request);
    return C.write(encodeResponse(200, stamped(Request), bodyFor(Request)));
  }

  void expire() {
    if (!IsSharded || now() < HoldEnd)
      return;
    std::fill(Fence.begin(), Fence.end(), 0);
    HoldEnd = 1e9;
  }
  json rows() const {
    json Rows = json::array();
    for (size_t I = 0; I < Fence.size();) {
      size_t End = I;
      while (End + 1 < Fence.size() && Fence[End + 1] == Fence[I])
        ++End;
      if (Fence[I] != 0)
        Rows.push_back({I, End, Fence[I]});
      I = End + 1;
    }
    return Rows;
  }

  std::string heartbeat() {
    json Body = {{"service", Machine.Service},
                 {"address", Machine.Ip + ":" + std::to_string(AppPort)},
                 {"zone", Machine.Zone},
                 {"version", "v1"},
                 {"slots", Slots},
                 {"state", State},
                 {"coldRemainingMs", 0},
                 {"sequence", ++Sequence},
                 {"born", Born}};
    if (IsSharded) {
      std::lock_guard Lock(Mutex);
      expire();
      Body["holds"] = rows();
      // Released keys on which work goes on are still reported as held.
      for (const auto &[Key, Count] : Busy)
        if (Fence[static_cast<size_t>(Key)] == 0)
          Body["holds"].push_back({Key, Key, Seen[static_cast<size_t>(Key)]});
      Body["freed"] = Freed;
    }
    return Body.dump();
  }

  void beat() {
    std::unique_ptr<connection> C;
    double Next = now() + static_cast<double>(randomNumber() % 200) / 1000;
    while (IsRunning) {
      while (IsRunning && now() < Next)
        sleepMs(std::min(20.0, (Next - now()) * 1000));
      if (!IsRunning)
        return;
      double SentAt = now();
      Next = SentAt + HeartbeatMs / 1000.0;
      size_t FreedCount = Freed.size();
      std::string Text = encode("POST /-/rpc?call=instances.heartbeat&of=" + Instance + " HTTP/1.1",
                                {{"Host", Machine.Ip}, {"Content-Type", "application/json"}}, heartbeat());
      if (!C || !C->isOpen())
        C = connection::open(Machine.Ip, ControlPort, 500);
      std::optional<message> Reply;
      if (C && C->write(Text))
        Reply = C->read(SentAt + 1);
      if (!Reply || Reply->header("Connection") == "close")
        C.reset();
      if (!Reply || Reply->status() != 200 || Reply->Body.size() > 4096) {
        ++Unacknowledged;
        if (Reply)
          LargestGrant = std::max(LargestGrant.load(), Reply->Body.size());
        else
          Next = std::min(Next, now() + 0.2);
        continue;
      }
      LargestGrant = std::max(LargestGrant.load(), Reply->Body.size());
      if (IsSharded && take(Reply->Body, SentAt, FreedCount))
        Next = std::min(Next, now() + 0.1);
    }
  }
  /// Takes the grant of an answer. Returns whether keys were released.
  bool take(const std::string &Text, double SentAt, size_t FreedCount) {
    json Body = json::parse(Text, nullptr, false);
    std::lock_guard Lock(Mutex);
    Freed.erase(Freed.begin(), Freed.begin() + static_cast<ptrdiff_t>(FreedCount));
    if (!Body.is_object() || !Body.contains("holds"))
      return false;
    expire();
    std::vector<uint64_t> Granted(65536, 0);
    for (const json &Row : Body["holds"]) {
      size_t From = Row.at(0), To = Row.at(1);
      uint64_t Token = Row.at(2);
      bool IsOld = false;
      for (size_t I = From; I <= To; ++I)
        IsOld = IsOld || Seen[I] > Token;
      if (IsOld)
        continue;
      for (size_t I = From; I <= To; ++I)
        Granted[I] = Seen[I] = Token;
    }
    bool HasReleased = false;
    for (size_t I = 0; I < Fence.size();) {
      size_t End = I;
      bool IsReleased = Fence[I] != 0 && Granted[I] == 0;
      while (End + 1 < Fence.size() && (Fence[End + 1] != 0 && Granted[End + 1] == 0) == IsReleased)
        ++End;
      if (IsReleased) {
        Freed.push_back({I, End, randomId()});
        HasReleased = true;
      }
      I = End + 1;
    }
    Fence = std::move(Granted);
    HoldEnd = SentAt + Body.at("holdMs").get<double>() / 1000;
    return HasReleased;
  }

  run_list &Runs;
  int HeartbeatMs;
  bool IsSharded;
  int Slots;
  double WorkMs;
  server Server;
  std::atomic<bool> IsRunning{false};
  std::thread Beats;
  int64_t Born = 0;
  uint64_t Sequence = 0;
  std::mutex Mutex;
  std::condition_variable Free;
  int Running = 0;
  int Queued = 0;
  std::map<int, int> Busy;
  std::vector<uint64_t> Fence, Seen;
  double HoldEnd = 1e9;
  json Freed = json::array();
};

// Configuration and clients.

inline json route(const std::string &Name, const std::string &Prefix, const std::string &Kind,
                  const std::string &Service, int TimeoutMs, int AimMs, int Attempts) {
  return {{"name", Name}, {"host", "ficu95.example"}, {"prefix", Prefix}, {"service", Service},
          {"kind", Kind}, {"timeoutMs", TimeoutMs}, {"aimMs", AimMs}, {"attempts", Attempts},
          {"priority", 1}, {"allowAnonymous", true}};
}

inline json service(const std::string &Name, bool IsSharded) {
  json Service = {{"name", Name}, {"healthPath", "/health"}, {"connectionLimit", 110},
                  {"coldStartS", 3.0}, {"coldPerS", 12.0}};
  if (IsSharded) {
    Service["sharded"] = true;
    Service["warmupS"] = 5.0;
  }
  return Service;
}

inline std::string configuration(const json &Routes, const json &Services, int Version = 1) {
  char Text[9];
  snprintf(Text, sizeof(Text), "%08x", Version);
  return json{{"version", Text}, {"routes", Routes}, {"services", Services},
              {"limits", {{"headerBytes", 16384}, {"bodyBytes", 67108864},
                          {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}}}
      .dump();
}

struct outcome {
  /// 0 if there was no whole answer.
  int Status = 0;
  message Response;
};

/// One attempt of a client on an open connection; closes it if there is no answer.
inline outcome attempt(std::unique_ptr<connection> &C, const machine &Machine,
                       const std::string &Method, const std::string &Path, header_fields Headers,
                       const std::string &Body, double DeadlineMs) {
  double Until = now() + DeadlineMs / 1000;
  if (!C || !C->isOpen())
    C = connection::open(Machine.Ip, OutboundPort, 1000);
  if (!C)
    return {};
  Headers.insert(Headers.begin(), {"Host", "ficu95.example"});
  Headers.emplace_back("Request-Deadline", std::to_string(static_cast<int>(DeadlineMs)));
  outcome Outcome;
  if (C->write(encode(Method + " " + Path + " HTTP/1.1", Headers, Body)))
    if (auto Reply = C->read(Until)) {
      Outcome.Status = Reply->status();
      Outcome.Response = *Reply;
    }
  if (Outcome.Status == 0 || Outcome.Response.header("Connection") == "close")
    C.reset();
  return Outcome;
}

} // namespace harness
