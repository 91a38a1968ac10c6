// Stand-ins for the users' platform, for the scripts of this review: the store, the
// operator, target servers, clients, and the start and end of daemons as separate
// processes. They follow the users' pages; where a page is silent they are sound.
// Everything listens on loopback addresses only.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

inline const steady::time_point StartOfRun = steady::now();

/// Seconds since the start of the run.
inline double now() {
  return std::chrono::duration<double>(steady::now() - StartOfRun).count();
}

inline void sleepMs(double Ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

inline int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The record of what was sent, answered and run. One line an event, with the
/// time in seconds.
class record {
public:
  static record &get() {
    static record R;
    return R;
  }
  void open(const std::string &Path) { File = fopen(Path.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[2000];
    va_list Arguments;
    va_start(Arguments, Format);
    vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    std::lock_guard<std::mutex> Lock(Mutex);
    if (File) {
      fprintf(File, "%8.3f %s\n", now(), Text);
      fflush(File);
    }
  }

private:
  std::mutex Mutex;
  FILE *File = nullptr;
};

#define RECORD(...) ::standin::record::get().line(__VA_ARGS__)

// HTTP/1.1.

inline std::string lower(std::string Text) {
  for (char &C : Text)
    C = static_cast<char>(tolower(static_cast<unsigned char>(C)));
  return Text;
}

struct message {
  std::string First; ///< Request line or status line.
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const std::string &Name) const {
    for (const auto &[N, V] : Headers)
      if (lower(N) == lower(Name))
        return V;
    return "";
  }
  bool has(const std::string &Name) const {
    for (const auto &[N, V] : Headers)
      if (lower(N) == lower(Name))
        return true;
    return false;
  }
  std::string word(int Index) const {
    size_t From = 0;
    for (; Index > 0; --Index) {
      From = First.find(' ', From);
      if (From == std::string::npos)
        return "";
      ++From;
    }
    return First.substr(From, First.find(' ', From) - From);
  }
  std::string method() const { return word(0); }
  std::string target() const { return word(1); }
  int status() const { return atoi(word(1).c_str()); }
};

inline sockaddr_in toSockaddr(const std::string &Address) {
  sockaddr_in Result{};
  size_t Colon = Address.find(':');
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<uint16_t>(atoi(Address.c_str() + Colon + 1)));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Result.sin_addr);
  return Result;
}

/// A connected socket with a read buffer.
class connection {
public:
  explicit connection(int Fd) : Fd(Fd) {
    int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  }
  ~connection() { close(); }
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  static std::unique_ptr<connection> open(const std::string &Address, double TimeoutMs) {
    int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in Remote = toSockaddr(Address);
    int Result = ::connect(Fd, reinterpret_cast<sockaddr *>(&Remote), sizeof Remote);
    if (Result < 0 && errno == EINPROGRESS) {
      pollfd P{Fd, POLLOUT, 0};
      int Error = ETIMEDOUT;
      socklen_t Size = sizeof Error;
      if (poll(&P, 1, static_cast<int>(TimeoutMs)) == 1)
        getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
      Result = Error == 0 ? 0 : -1;
    }
    if (Result < 0) {
      ::close(Fd);
      return nullptr;
    }
    fcntl(Fd, F_SETFL, 0);
    return std::make_unique<connection>(Fd);
  }

  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }
  void reset() {
    linger L{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &L, sizeof L);
    close();
  }
  int fd() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }

  bool write(const std::string &Text) {
    size_t Done = 0;
    while (Done < Text.size()) {
      ssize_t Sent = send(Fd, Text.data() + Done, Text.size() - Done, MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Done += static_cast<size_t>(Sent);
    }
    return true;
  }

  /// Reads more bytes into the buffer; false at the end, on an error or after
  /// the time.
  bool fill(double TimeoutMs) {
    pollfd P{Fd, POLLIN, 0};
    TimedOut = poll(&P, 1, static_cast<int>(std::max(0.0, TimeoutMs))) != 1;
    if (TimedOut)
      return false;
    char Bytes[65536];
    ssize_t Size = recv(Fd, Bytes, sizeof Bytes, 0);
    if (Size <= 0) {
      WasReset = Size < 0;
      return false;
    }
    Buffer.append(Bytes, static_cast<size_t>(Size));
    return true;
  }

  /// Reads the head of a message, and leaves what follows in the buffer.
  bool readHead(message &Message, double Until) {
    size_t End;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill((Until - now()) * 1000))
        return false;
    std::string Head = Buffer.substr(0, End);
    Buffer.erase(0, End + 4);
    Message = {};
    size_t From = Head.find("\r\n");
    Message.First = Head.substr(0, From);
    while (From != std::string::npos) {
      size_t Begin = From + 2;
      From = Head.find("\r\n", Begin);
      std::string Line = Head.substr(Begin, From - Begin);
      size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Message.Headers.emplace_back(Line.substr(0, Colon),
                                   Value == std::string::npos ? "" : Line.substr(Value));
    }
    return true;
  }

  bool readBytes(std::string &Into, size_t Size, double Until) {
    while (Buffer.size() < Size)
      if (!fill((Until - now()) * 1000))
        return false;
    Into.append(Buffer, 0, Size);
    Buffer.erase(0, Size);
    return true;
  }

  /// Reads a whole message with a length or in chunks.
  bool readMessage(message &Message, double Until) {
    if (!readHead(Message, Until))
      return false;
    if (lower(Message.header("Transfer-Encoding")) == "chunked") {
      for (;;) {
        size_t End;
        while ((End = Buffer.find("\r\n")) == std::string::npos)
          if (!fill((Until - now()) * 1000))
            return false;
        size_t Size = strtoul(Buffer.c_str(), nullptr, 16);
        Buffer.erase(0, End + 2);
        std::string Rest;
        if (!readBytes(Message.Body, Size, Until) || !readBytes(Rest, 2, Until))
          return false;
        if (Size == 0)
          return true;
      }
    }
    size_t Size = strtoul(Message.header("Content-Length").c_str(), nullptr, 10);
    return readBytes(Message.Body, Size, Until);
  }

  std::string Buffer;
  bool TimedOut = false;
  bool WasReset = false;

private:
  int Fd;
};

inline std::string reason(int Status) {
  static const std::map<int, std::string> Reasons = {
      {200, "OK"}, {400, "Bad Request"}, {403, "Forbidden"}, {404, "Not Found"},
      {409, "Conflict"}, {410, "Gone"}, {412, "Precondition Failed"},
      {421, "Misdirected Request"}, {500, "Internal Server Error"},
      {503, "Service Unavailable"}};
  auto Found = Reasons.find(Status);
  return Found == Reasons.end() ? "Status" : Found->second;
}

using fields = std::vector<std::pair<std::string, std::string>>;

inline std::string encodeResponse(int Status, const fields &Headers, const std::string &Body) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " " + reason(Status) + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string encodeRequest(const std::string &Method, const std::string &Target,
                                 const fields &Headers, const std::string &Body) {
  std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
  for (const auto &[Name, Value] : Headers)
    Text += Name + ": " + Value + "\r\n";
  if (!Body.empty() || Method == "POST")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

/// Listens on an address, with a thread for each connection.
class server {
public:
  using handler = std::function<void(connection &)>;

  server(const std::string &Address, handler Handler, int ReceiveBuffer = 0)
      : Handler(std::move(Handler)) {
    Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int One = 1;
    if (ReceiveBuffer > 0)
      setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
    setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
    sockaddr_in Local = toSockaddr(Address);
    if (bind(Fd, reinterpret_cast<sockaddr *>(&Local), sizeof Local) != 0 || listen(Fd, 512) != 0) {
      fprintf(stderr, "cannot listen on %s\n", Address.c_str());
      exit(2);
    }
    std::thread([this] { accept(); }).detach();
  }

private:
  void accept() {
    for (;;) {
      int Client = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        continue;
      std::thread([this, Client] {
        connection Connection(Client);
        Handler(Connection);
      }).detach();
    }
  }

  handler Handler;
  int Fd;
};

/// One call on a new connection.
inline bool call(const std::string &Address, const std::string &Request, double TimeoutMs,
                 message &Answer) {
  auto Connection = connection::open(Address, TimeoutMs);
  return Connection && Connection->write(Request) &&
         Connection->readMessage(Answer, now() + TimeoutMs / 1000);
}

// The store.

inline std::string base64(const std::string &Bytes) {
  static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 | (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J]) : 0);
    for (size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Text;
}

inline std::string unescape(const std::string &Text) {
  std::string Result;
  for (size_t I = 0; I < Text.size(); ++I)
    if (Text[I] == '%' && I + 2 < Text.size()) {
      Result += static_cast<char>(strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
      I += 2;
    } else {
      Result += Text[I];
    }
  return Result;
}

inline std::string parameter(const std::string &Target, const std::string &Name) {
  size_t From = Target.find('?');
  while (From != std::string::npos) {
    size_t Begin = From + 1;
    From = Target.find('&', Begin);
    std::string Pair = Target.substr(Begin, From == std::string::npos ? From : From - Begin);
    if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
      return unescape(Pair.substr(Name.size() + 1));
  }
  return "";
}

/// The platform's metadata store, as the pages describe it. Every call takes 4 ms.
class store {
public:
  explicit store(const std::string &Address)
      : Server(Address, [this](connection &C) { serve(C); }) {}

  /// A write of the operator.
  void put(const std::string &Table, const std::string &Key, const std::string &Value) {
    std::lock_guard<std::mutex> Lock(Mutex);
    ++Revision;
    Rows[{Table, "", Key}] = {base64(Value), Revision, true};
    Changed.notify_all();
    RECORD("operator writes %s/%s, acknowledged", Table.c_str(), Key.c_str());
  }

private:
  using row_key = std::tuple<std::string, std::string, std::string>;
  struct row {
    std::string Value;
    uint64_t Version = 0;
    bool Exists = false;
  };

  static json encode(const row_key &Key, const row &Row) {
    json Result = {{"table", std::get<0>(Key)}, {"part", std::get<1>(Key)},
                   {"key", std::get<2>(Key)}, {"rowVersion", Row.Version}};
    if (Row.Exists)
      Result["value"] = Row.Value;
    else
      Result["removed"] = true;
    return Result;
  }
  static row_key keyOf(const json &Row) {
    return {Row.at("table"), Row.value("part", ""), Row.at("key")};
  }
  json base() const {
    return {{"rowVersion", Revision}, {"currentTimeMs", static_cast<int64_t>(now() * 1000) + 50000}};
  }

  void serve(connection &Connection) {
    message Request;
    while (Connection.readMessage(Request, now() + 3600)) {
      sleepMs(4);
      std::string Path = Request.target().substr(0, Request.target().find('?'));
      int Status = 404;
      json Body = json::object();
      if (Path == "/-/rows-tx")
        Status = transact(Request.Body, Body);
      else if (Path == "/-/rows-get")
        Status = get(Request.target(), Body);
      else if (Path == "/-/rows-feed")
        Status = feed(Request.target(), Body);
      if (!Connection.write(encodeResponse(
              Status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}}, Body.dump())))
        return;
    }
  }

  int transact(const std::string &Text, json &Body) {
    json Transaction = json::parse(Text, nullptr, false);
    if (!Transaction.is_object())
      return 400;
    std::lock_guard<std::mutex> Lock(Mutex);
    bool Holds = true;
    json Current = json::array();
    for (const json &Entry : Transaction.value("precondition", json::array())) {
      row Row = Rows[keyOf(Entry)];
      if (!Row.Exists)
        Row.Version = 0;
      Holds = Holds && Row.Version == Entry.at("rowVersion").get<uint64_t>();
      Current.push_back(encode(keyOf(Entry), Row));
    }
    if (!Holds) {
      Body = base();
      Body["rows"] = Current;
      return 412;
    }
    for (const char *List : {"puts", "remove"})
      for (const json &Entry : Transaction.value(List, json::array()))
        if (Entry.at("table") == "op" || Entry.at("table") == "servers")
          return 403;
    ++Revision;
    for (const json &Entry : Transaction.value("puts", json::array()))
      Rows[keyOf(Entry)] = {Entry.at("value"), Revision, true};
    for (const json &Entry : Transaction.value("remove", json::array()))
      Rows[keyOf(Entry)] = {"", Revision, false};
    Changed.notify_all();
    Body = base();
    return 200;
  }

  int get(const std::string &Target, json &Body) {
    std::string Table = parameter(Target, "table"), Part = parameter(Target, "part");
    std::string From = parameter(Target, "from"), To = parameter(Target, "to");
    std::string Limit = parameter(Target, "limit");
    size_t Most = Limit.empty() ? 500 : std::min(500UL, strtoul(Limit.c_str(), nullptr, 10));
    std::lock_guard<std::mutex> Lock(Mutex);
    Body = base();
    Body["rows"] = json::array();
    Body["hasMore"] = false;
    for (const auto &[Key, Row] : Rows) {
      const std::string &Name = std::get<2>(Key);
      if (std::get<0>(Key) != Table || std::get<1>(Key) != Part || !Row.Exists || Name < From ||
          (!To.empty() && Name >= To))
        continue;
      if (Body["rows"].size() == Most) {
        Body["hasMore"] = true;
        break;
      }
      Body["rows"].push_back(encode(Key, Row));
    }
    return 200;
  }

  int feed(const std::string &Target, json &Body) {
    std::string Table = parameter(Target, "table");
    uint64_t After = strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    double Until = now() + std::min(30000.0, atof(parameter(Target, "waitMs").c_str())) / 1000;
    std::unique_lock<std::mutex> Lock(Mutex);
    for (;;) {
      std::map<uint64_t, json> Found;
      for (const auto &[Key, Row] : Rows)
        if (std::get<0>(Key) == Table && Row.Version > After)
          Found.emplace(Row.Version * 1000 + Found.size(), encode(Key, Row));
      if (!Found.empty() || now() >= Until) {
        Body = base();
        Body["rows"] = json::array();
        for (const auto &[Order, Row] : Found)
          Body["rows"].push_back(Row);
        return 200;
      }
      Changed.wait_for(Lock, std::chrono::milliseconds(100));
    }
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<row_key, row> Rows;
  uint64_t Revision = 10;
  server Server;
};

// Daemons.

/// The addresses of one machine.
struct machine {
  std::string Name, Ip, Zone, Service;
  std::string outbound() const { return Ip + ":8365"; }
  std::string control() const { return Ip + ":8367"; }
  std::string app() const { return Ip + ":8363"; }
  std::string ready() const { return Ip + ":8369"; }
};

struct options {
  std::string Folder = ".";      ///< The folder of the case, for record.txt.
  std::string Root = ".";        ///< The root of the repository.
  std::string Scratch = "/tmp";  ///< A temporary folder.
  bool Trouble = true;
};

inline options readOptions() {
  options Options;
  auto Variable = [](const char *Name, const std::string &Default) {
    const char *Value = getenv(Name);
    return std::string(Value && *Value ? Value : Default.c_str());
  };
  Options.Folder = Variable("CASE_FOLDER", ".");
  Options.Root = Variable("CASE_ROOT", ".");
  Options.Scratch = Variable("CASE_SCRATCH", "/tmp");
  Options.Trouble = Variable("TROUBLE", "1") != "0";
  record::get().open(Options.Folder + "/record.txt");
  signal(SIGPIPE, SIG_IGN);
  return Options;
}

/// The daemons of a small deployment, and the store. Ends all processes that it
/// started.
class deployment {
public:
  deployment(const options &Options, int HeartbeatMs, int MemoryMb)
      : Options(Options), HeartbeatMs(HeartbeatMs), MemoryMb(MemoryMb) {
    Prefix = choosePrefix();
    Store = std::make_unique<store>(Prefix + "2:8362");
  }
  ~deployment() { stop(); }

  machine add(const std::string &Service, const std::string &Zone) {
    int Number = static_cast<int>(Machines.size()) + 1;
    machine Machine{"sidecar-" + Zone + "-" + std::to_string(Number),
                    Prefix + std::to_string(Number + 10), Zone, Service};
    Machines.push_back(Machine);
    return Machine;
  }

  /// The settings of a process, as the platform writes them.
  void startDaemon(const machine &M) {
    std::string Path = Options.Scratch + "/" + M.Name + ".json";
    json Settings = {
        {"nodeName", M.Name}, {"role", "dragonflyvaned"}, {"machineClass", "sidecar"},
        {"serves", {"sidecar"}}, {"ipAddress", M.Ip}, {"zone", M.Zone}, {"region", "viti"},
        {"zones", {{"suva", "viti"}, {"nadi", "viti"}, {"lautoka", "viti"}}},
        {"listenAddresses", {{"inbound", M.Ip + ":8366"}, {"outbound", M.outbound()},
                             {"ready", M.ready()}, {"controlPlane", M.control()}}},
        {"internalPortRange", {7780, 7795}}, {"seedAddresses", json::array()},
        {"bootstrap", true}, {"countsAsLoss", false},
        {"limits", {{"cpuShare", 0.2}, {"cores", 1}, {"memoryMb", MemoryMb}, {"fdLimit", 4100},
                    {"linkMbps", 1000.0}, {"diskMb", 0}}},
        {"dataDirectory", nullptr}, {"discovery", "local"}, {"entry", "local"},
        {"heartbeatIntervalMs", HeartbeatMs},
        {"contracts", {"base", "drain", "config", "cost", "retry", "recover", "own", "places",
                       "tenants", "quota", "platform"}},
        {"faultTolerance", {{"machines", 2}, {"zones", 1}, {"regions", 0}}},
        {"bounds", {"seedLagS=3", "reuseAfterS=2", "touchMs=3000", "ackMs=4000", "catchUpS=4",
                    "drainMs=2000", "graceS=6", "lossSlackMs=200", "configMs=2000",
                    "rollbackSlackMs=250", "maximumStretchMs=5000", "strictRevocation=true",
                    "revocationMs=5000", "budgetRatio=0.2", "budgetWindowS=10",
                    "budgetExtraAttempts=56", "quotaWindowS=5", "quotaOver=0.1", "quotaSlack=20",
                    "coldOver=1.5", "coldSlack=5", "evacuationMs=5000", "recoverS=15",
                    "maximumHoldMs=10000", "thawMs=300"}},
        {"grants", "heartbeat"}, {"appAddress", M.app()}, {"service", M.Service},
        {"platform", {{"address", Prefix + "2:8362"}, {"form", "table"}, {"writesPerS", 400},
                      {"readsPerS", 2000}, {"transactionMs", 5.0}, {"partWritesPerS", 200},
                      {"rowBytes", 65536}, {"across", false}, {"historyS", 20},
                      {"blobBytes", 8388608}, {"blobMs", 25.0}, {"blobMbPerS", 80.0}}}};
    FILE *File = fopen(Path.c_str(), "w");
    std::string Text = Settings.dump(1);
    fwrite(Text.data(), 1, Text.size(), File);
    fclose(File);
    std::string Log = Options.Scratch + "/" + M.Name + ".log";
    pid_t Pid = fork();
    if (Pid == 0) {
      int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Out, 1);
      dup2(Out, 2);
      if (chdir(Options.Root.c_str()) != 0)
        _exit(2);
      std::string Variable = "DRAGONFLYVANE_CONFIG=" + Path;
      std::string PathVariable = std::string("PATH=") + (getenv("PATH") ? getenv("PATH") : "");
      char *Environment[] = {Variable.data(), PathVariable.data(), nullptr};
      char Program[] = "target/dragonflyvaned";
      char *Arguments[] = {Program, nullptr};
      execve(Program, Arguments, Environment);
      _exit(127);
    }
    std::lock_guard<std::mutex> Lock(Mutex);
    Pids[M.Name] = Pid;
    // For run-case, in case this process is ended from outside.
    FILE *List = fopen((Options.Scratch + "/pids").c_str(), "a");
    fprintf(List, "%d\n", static_cast<int>(Pid));
    fclose(List);
    RECORD("platform starts the daemon on %s", M.Name.c_str());
  }

  pid_t pidOf(const machine &M) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Pids.find(M.Name);
    return Found == Pids.end() ? -1 : Found->second;
  }
  /// Whether the process of the daemon runs.
  bool runs(const machine &M) {
    std::lock_guard<std::mutex> Lock(Mutex);
    auto Found = Pids.find(M.Name);
    if (Found == Pids.end())
      return false;
    int Status = 0;
    if (waitpid(Found->second, &Status, WNOHANG) == 0)
      return true;
    RECORD("the daemon on %s has ended, wait status %d", M.Name.c_str(), Status);
    Pids.erase(Found);
    return false;
  }
  void signalDaemon(const machine &M, int Signal) {
    pid_t Pid = pidOf(M);
    if (Pid > 0)
      kill(Pid, Signal);
  }
  bool isReady(const machine &M) {
    message Answer;
    return call(M.ready(), encodeRequest("GET", "/-/readiness", {{"Host", M.ready()}}, ""), 500,
                Answer) &&
           Answer.status() == 200;
  }
  /// Waits until all daemons are ready.
  bool awaitReady(double Seconds) {
    for (double Until = now() + Seconds; now() < Until; sleepMs(100)) {
      bool All = true;
      for (const machine &M : Machines)
        All = All && isReady(M);
      if (All) {
        RECORD("all daemons are ready");
        return true;
      }
    }
    return false;
  }
  void stop() {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const auto &[Name, Pid] : Pids)
      kill(Pid, SIGKILL);
    for (const auto &[Name, Pid] : Pids)
      waitpid(Pid, nullptr, 0);
    Pids.clear();
  }

  std::unique_ptr<store> Store;
  std::vector<machine> Machines;
  std::string Prefix;

private:
  /// Chooses a part of the loopback range in which nothing listens.
  static std::string choosePrefix() {
    std::random_device Device;
    for (int Try = 0; Try < 50; ++Try) {
      std::string Candidate = "127." + std::to_string(20 + Device() % 200) + "." +
                              std::to_string(1 + Device() % 250) + ".";
      bool IsFree = true;
      for (int Port : {7780, 8362, 8363, 8365, 8366, 8367, 8369, 9464})
        for (int Host = 2; Host < 24 && IsFree; ++Host) {
          int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
          int One = 1;
          setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
          sockaddr_in Local =
              toSockaddr(Candidate + std::to_string(Host) + ":" + std::to_string(Port));
          IsFree = bind(Fd, reinterpret_cast<sockaddr *>(&Local), sizeof Local) == 0 &&
                   listen(Fd, 1) == 0;
          ::close(Fd);
        }
      if (IsFree)
        return Candidate;
    }
    fprintf(stderr, "no free loopback addresses\n");
    exit(2);
  }

  options Options;
  int HeartbeatMs;
  int MemoryMb;
  std::mutex Mutex;
  std::map<std::string, pid_t> Pids;
};

// Targets.

/// A run of a request at a target.
struct run {
  std::string Id, Target;
  double At = 0;
};

/// All runs, over all targets.
class run_list {
public:
  void add(const std::string &Id, const std::string &Target) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Runs[Id].push_back({Id, Target, now()});
  }
  std::map<std::string, std::vector<run>> all() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Runs;
  }

private:
  std::mutex Mutex;
  std::map<std::string, std::vector<run>> Runs;
};

/// A span of time in which a target held a range of keys.
struct hold {
  int From = 0, To = 0;
  int64_t Fence = 0;
  double Begin = 0, End = 0;
};

/// A target server: heartbeats, keys and requests. A case may replace what it does
/// with a request.
class target {
public:
  target(const machine &Machine, run_list &Runs, int HeartbeatMs, bool Keyed, int Slots,
         double WorkMs)
      : Machine(Machine), Runs(Runs), HeartbeatMs(HeartbeatMs), Keyed(Keyed), Slots(Slots),
        WorkMs(WorkMs), Instance("i-" + Machine.Name), Born(wallMs()) {}

  void start() {
    Listener = std::make_unique<server>(
        Machine.app(), [this](connection &C) { serve(C); }, ReceiveBuffer);
    std::thread([this] { sendHeartbeats(); }).detach();
  }

  /// Answers a request that the target may run. The default runs it and answers
  /// 200. Returns whether the connection may go on.
  std::function<bool(connection &, const message &)> Answer;
  /// Reads the next request, by default a whole one.
  std::function<bool(connection &, message &)> Read;

  /// The receive buffer of its connections in bytes; 0 for the usual one.
  int ReceiveBuffer = 0;

  const std::string &instance() const { return Instance; }
  /// The spans in which ranges were held, until now.
  std::vector<hold> holds() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Held;
  }
  bool holdsKey(int Key, double At) {
    std::lock_guard<std::mutex> Lock(Mutex);
    for (const hold &H : Held)
      if (H.From <= Key && Key <= H.To && H.Begin <= At && At < H.End)
        return true;
    return false;
  }

  /// Runs a request in one of the slots.
  void work(const message &Request, double Ms) {
    std::unique_lock<std::mutex> Lock(SlotMutex);
    SlotFree.wait(Lock, [this] { return Running < Slots; });
    ++Running;
    Lock.unlock();
    Runs.add(Request.header("Request-Id"), Machine.Name);
    RECORD("target %s runs %s %s %s", Machine.Name.c_str(), Request.header("Request-Id").c_str(),
           Request.method().c_str(), Request.target().c_str());
    sleepMs(Ms);
    Lock.lock();
    --Running;
    SlotFree.notify_one();
  }

  fields stamped(const message &Request) const {
    return {{"Request-Id", Request.header("Request-Id")},
            {"Server-Stamp", Instance + ".1"},
            {"Content-Type", "text/plain"}};
  }
  std::string bodyFor(const message &Request) const {
    return "answer to " + Request.header("Request-Id") + "\n";
  }
  bool answerOk(connection &C, const message &Request) {
    return C.write(encodeResponse(200, stamped(Request), bodyFor(Request)));
  }

  machine Machine;
  run_list &Runs;
  int HeartbeatMs;
  bool Keyed;
  int Slots;
  double WorkMs;

private:
  void serve(connection &C) {
    message Request;
    while (Read ? Read(C, Request) : C.readMessage(Request, now() + 3600)) {
      if (Request.target() == "/health") {
        C.write(encodeResponse(200, {{"Instance-Id", Instance}, {"Server-Load", "0,0,6"}}, ""));
        continue;
      }
      std::string Expected = Request.header("Expected-Instance");
      bool IsOther = !Expected.empty() && Expected != Instance;
      bool LacksKey = Keyed && !holdsKey(atoi(Request.header("Shard-Key").c_str()), now());
      if (IsOther || LacksKey) {
        if (!C.write(encodeResponse(421, {{"Request-Id", Request.header("Request-Id")},
                                          {"Instance-Id", Instance}, {"Not-Executed", "1"}}, "")))
          return;
        continue;
      }
      if (Answer) {
        if (!Answer(C, Request))
          return;
        continue;
      }
      work(Request, WorkMs);
      if (!answerOk(C, Request))
        return;
    }
  }

  void sendHeartbeats() {
    int64_t Sequence = 0;
    std::vector<std::pair<std::pair<int, int>, std::string>> Freed;
    for (;;) {
      double SentAt = now();
      json Holds = json::array(), FreedRows = json::array();
      std::vector<hold> Before = current(SentAt);
      for (const hold &H : Before)
        Holds.push_back({H.From, H.To, H.Fence});
      for (const auto &[Range, Handover] : Freed)
        FreedRows.push_back({Range.first, Range.second, Handover});
      json Body = {{"service", Machine.Service}, {"address", Machine.app()}, {"zone", Machine.Zone},
                   {"version", "v1"}, {"slots", Slots}, {"state", "ready"},
                   {"coldRemainingMs", 0}, {"sequence", ++Sequence}, {"born", Born}};
      if (Keyed) {
        Body["holds"] = Holds;
        Body["freed"] = FreedRows;
      }
      message Reply;
      bool IsAnswered =
          call(Machine.control(),
               encodeRequest("POST", "/-/rpc?call=instances.heartbeat&of=" + Instance,
                             {{"Host", Machine.control()}, {"Content-Type", "application/json"}},
                             Body.dump()),
               1000, Reply) &&
          Reply.status() / 100 == 2;
      double Wait = HeartbeatMs;
      if (IsAnswered) {
        Freed.clear();
        json Grant = json::parse(Reply.Body, nullptr, false);
        if (Keyed && Grant.is_object() && Grant.contains("holds")) {
          apply(Before, Grant, SentAt, Freed);
          if (!Freed.empty())
            Wait = 80;
        }
      }
      sleepMs(Wait);
    }
  }

  std::vector<hold> current(double At) {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<hold> Result;
    for (const hold &H : Held)
      if (H.Begin <= At && At < H.End)
        Result.push_back(H);
    return Result;
  }

  /// Applies the answer to a heartbeat: what is named is held until `SentAt` and
  /// the time of the hold, anything else is released.
  void apply(const std::vector<hold> &Before, const json &Grant, double SentAt,
             std::vector<std::pair<std::pair<int, int>, std::string>> &Freed) {
    double End = SentAt + Grant.value("holdMs", 0.0) / 1000;
    double Now = now();
    std::lock_guard<std::mutex> Lock(Mutex);
    for (hold &H : Held)
      if (H.End > Now)
        H.End = Now;
    std::vector<hold> Latest;
    for (const json &Row : Grant["holds"]) {
      hold H{Row.at(0), Row.at(1), Row.at(2), Now, End};
      bool IsSeen = false;
      for (const auto &[Range, Fence] : Seen)
        IsSeen = IsSeen || (Range.first <= H.To && H.From <= Range.second && Fence > H.Fence);
      if (IsSeen)
        continue;
      Latest.push_back(H);
      // A renewal continues the span.
      bool IsRenewal = false;
      for (hold &Old : Held)
        if (Old.From == H.From && Old.To == H.To && Old.Fence == H.Fence && Old.End == Now) {
          Old.End = H.End;
          IsRenewal = true;
        }
      if (!IsRenewal)
        Held.push_back(H);
      Seen.push_back({{H.From, H.To}, H.Fence});
    }
    if (Seen.size() > 2000)
      Seen.erase(Seen.begin(), Seen.begin() + 1000);
    for (const hold &H : Before) {
      bool IsKept = false;
      for (const hold &L : Latest)
        IsKept = IsKept || (L.From <= H.From && H.To <= L.To);
      if (!IsKept)
        Freed.push_back({{H.From, H.To}, "h" + std::to_string(H.Fence)});
    }
    std::string Text;
    for (const hold &H : Latest)
      Text += " " + std::to_string(H.From) + "-" + std::to_string(H.To) + "/" +
              std::to_string(H.Fence);
    if (Text != LastText)
      RECORD("target %s holds%s until %.3f", Machine.Name.c_str(), Text.c_str(), End);
    LastText = Text;
  }

  std::string Instance;
  int64_t Born;
  std::unique_ptr<server> Listener;
  std::mutex Mutex;
  std::vector<hold> Held;
  std::vector<std::pair<std::pair<int, int>, int64_t>> Seen;
  std::string LastText;
  std::mutex SlotMutex;
  std::condition_variable SlotFree;
  int Running = 0;
};

// Clients.

/// What a client got.
struct outcome {
  int Status = 0; ///< 0: no answer.
  bool Closed = false;
  message Answer;
};

inline std::string newId() {
  static std::atomic<uint64_t> Count{0};
  static const uint64_t Seed = std::random_device{}();
  char Text[40];
  snprintf(Text, sizeof Text, "%08llx%08llx", static_cast<unsigned long long>(Seed & 0xffffffff),
           static_cast<unsigned long long>(++Count));
  return Text;
}

/// One attempt of a client on a connection that it keeps.
inline outcome attempt(connection &C, const machine &M, const std::string &Method,
                       const std::string &Host, const std::string &Path, fields Headers,
                       const std::string &Body, double TimeoutMs) {
  std::string Id;
  for (const auto &[Name, Value] : Headers)
    if (Name == "Request-Id")
      Id = Value;
  Headers.insert(Headers.begin(), {"Host", Host});
  Headers.push_back({"Request-Deadline", std::to_string(static_cast<int>(TimeoutMs))});
  RECORD("client on %s sends %s %s %s, %zu bytes", M.Name.c_str(), Id.c_str(), Method.c_str(),
         Path.c_str(), Body.size());
  outcome Outcome;
  bool IsSent = C.write(encodeRequest(Method, Path, Headers, Body));
  if (IsSent && C.readMessage(Outcome.Answer, now() + TimeoutMs / 1000))
    Outcome.Status = Outcome.Answer.status();
  else
    Outcome.Closed = !C.TimedOut;
  RECORD("client on %s gets %s: %s", M.Name.c_str(), Id.c_str(),
         Outcome.Status ? std::to_string(Outcome.Status).c_str()
                        : Outcome.Closed ? "connection closed without an answer" : "no answer");
  return Outcome;
}

inline json route(const std::string &Name, const std::string &Prefix, const std::string &Kind,
                  const std::string &Service, int TimeoutMs, int AimMs, int Attempts) {
  return {{"name", Name}, {"host", "ficu95.example"}, {"prefix", Prefix}, {"kind", Kind},
          {"timeoutMs", TimeoutMs}, {"aimMs", AimMs}, {"priority", 1}, {"service", Service},
          {"attempts", Attempts}};
}

inline json service(const std::string &Name, bool Keyed) {
  json Result = {{"name", Name}, {"healthPath", "/health"}, {"connectionLimit", 110},
                 {"protocol", "h1"}, {"transportSecurity", false}, {"coldStartS", 3.0},
                 {"coldPerS", 12.0}};
  if (Keyed) {
    Result["sharded"] = true;
    Result["warmupS"] = 5.0;
    Result["grants"] = "heartbeat";
  }
  return Result;
}

inline std::string configuration(const json &Routes, const json &Services) {
  return json{{"version", "00000007"}, {"routes", Routes}, {"services", Services},
              {"limits", {{"headerBytes", 16384}, {"bodyBytes", 67108864},
                          {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
              {"baseVersion", "00000005"}}
      .dump();
}

/// Ends a case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
[[noreturn]] inline void finish(deployment &Deployment, int Status, const std::string &Verdict) {
  RECORD("verdict: %s", Verdict.c_str());
  printf("%s\n", Verdict.c_str());
  fflush(stdout);
  Deployment.stop();
  _exit(Status);
}

} // namespace standin
