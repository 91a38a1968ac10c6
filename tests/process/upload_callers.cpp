#include "process/upload_callers.hpp"

#include "process/raw_http.hpp"
#include "raw_connection.hpp"

#include <sstream>
#include <stdexcept>

namespace dragonflyvane {

namespace {

constexpr size_t BodySize = size_t{24} << 10;
constexpr std::chrono::milliseconds AnswerTimeout{10'000};
/// Callers send the body unasked after this time.
constexpr std::chrono::milliseconds ContinueTimeout{1000};

std::string makeUploadHead(const upload_plan &Plan, const std::string &Id) {
  std::string Fields = "Content-Length: " + std::to_string(BodySize) + "\r\n";
  if (Plan.Form == upload_form::Chunked)
    Fields = "Transfer-Encoding: chunked\r\n";
  if (Plan.Form == upload_form::ExpectContinue)
    Fields += "Expect: 100-continue\r\n";
  return makeRequestHead(Id,
                         Plan.Idempotent ? "POST /parts/1" : "POST /orders/1",
                         AnswerTimeout, Fields);
}

std::string encodeChunk(const std::string &Bytes) {
  std::stringstream Chunk;
  Chunk << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
  return Chunk.str();
}

std::vector<std::string> makeBodyPieces(const upload_plan &Plan) {
  std::vector<std::string> Pieces;
  size_t Begin = 0;
  for (int I = 1; I <= Plan.Pieces; ++I) {
    size_t End = BodySize * I / Plan.Pieces;
    Pieces.emplace_back(End - Begin, 'x');
    Begin = End;
  }
  if (Plan.Form != upload_form::Chunked)
    return Pieces;
  for (std::string &Piece : Pieces)
    Piece = encodeChunk(Piece);
  Pieces.back() += encodeChunk("");
  return Pieces;
}

} // namespace

class upload_callers::caller {
public:
  caller(const endpoint &Daemon, const upload_plan &Plan, std::string RequestId)
      : Daemon(Daemon) {
    Upload.Plan = Plan;
    Upload.RequestId = std::move(RequestId);
    if (Plan.IsConnectionKept)
      warmUp();
  }

  void run(time_point Start) {
    std::this_thread::sleep_for(Start + Upload.Plan.BeginsAfter - Clock.now());
    connect();
    if (Upload.IsOpened)
      sendUpload();
    Upload.EndedAt = Clock.now();
  }

  const ended_upload &result() const { return Upload; }

private:
  void warmUp() {
    Connection = std::make_unique<raw_connection>(Daemon);
    Connection->send(makeRequestHead(Upload.RequestId + "-first",
                                     "GET /parts/1", AnswerTimeout));
    response_reader First;
    while (First.status() == 0 && Connection->awaitInput(AnswerTimeout))
      First.take(Connection->readSome());
    if (First.status() != 200)
      throw std::runtime_error("a first request was not served");
  }

  /// Uses the kept connection if the daemon has not closed it.
  void connect() {
    using std::chrono::milliseconds;
    bool IsUsable = Connection && !Connection->awaitInput(milliseconds(0));
    Upload.Plan.IsConnectionKept = IsUsable;
    if (!IsUsable)
      Connection = tryConnect(Daemon);
    Upload.IsOpened = Connection != nullptr;
  }

  void sendUpload() {
    Upload.LocalPort = Connection->localPort();
    Upload.FirstSentAt = Clock.now();
    std::vector<std::string> Pieces = makeBodyPieces(Upload.Plan);
    Pieces.front() = sendHead() + Pieces.front();
    for (const std::string &Piece : Pieces) {
      if (hasEnded())
        break;
      send(Piece);
      readFor(Upload.Plan.Pause);
    }
    readFor(AnswerTimeout);
    Upload.Status = Response.status();
  }

  /// Sends the part of the head that goes before the first piece of the body,
  /// and returns the rest.
  std::string sendHead() {
    std::string Head = makeUploadHead(Upload.Plan, Upload.RequestId);
    if (Upload.Plan.Form == upload_form::SplitHead) {
      send(Head.substr(0, Head.size() / 2));
      readFor(Upload.Plan.Pause);
      return Head.substr(Head.size() / 2);
    }
    if (Upload.Plan.Form == upload_form::ExpectContinue) {
      send(Head);
      awaitContinue();
      return "";
    }
    return Head;
  }

  void send(const std::string &Bytes) {
    Connection->send(Bytes);
    ++Upload.SentParts;
    Upload.LastSentAt = Clock.now();
  }

  void awaitContinue() {
    time_point End = Clock.now() + ContinueTimeout;
    while (!hasEnded() && !Response.hasInterim() && readOnce(End))
      ;
  }

  void readFor(std::chrono::milliseconds Time) {
    time_point End = Clock.now() + Time;
    while (!hasEnded() && readOnce(End))
      ;
  }

  /// Returns false if nothing arrives until `End`.
  bool readOnce(time_point End) {
    auto Left = std::chrono::ceil<std::chrono::milliseconds>(End - Clock.now());
    if (Left.count() < 0 || !Connection->awaitInput(Left))
      return false;
    std::string Bytes = Connection->readSome();
    IsClosed = Bytes.empty();
    Response.take(Bytes);
    return true;
  }

  bool hasEnded() const { return IsClosed || Response.status() != 0; }

  endpoint Daemon;
  boot_clock Clock;
  ended_upload Upload;
  std::unique_ptr<raw_connection> Connection;
  response_reader Response;
  bool IsClosed = false;
};

upload_callers::upload_callers(const endpoint &Daemon, const std::string &Name,
                               const std::vector<upload_plan> &Plans) {
  for (const upload_plan &Plan : Plans)
    Callers.push_back(std::make_unique<caller>(
        Daemon, Plan, Name + "-" + std::to_string(Callers.size())));
}

upload_callers::~upload_callers() { finish(); }

void upload_callers::start() {
  time_point Start = boot_clock().now();
  for (const auto &Caller : Callers)
    Threads.emplace_back([Start, &Caller = *Caller] { Caller.run(Start); });
}

std::vector<ended_upload> upload_callers::finish() {
  for (std::thread &Thread : Threads)
    Thread.join();
  Threads.clear();
  std::vector<ended_upload> Uploads;
  Uploads.reserve(Callers.size());
  for (const auto &Caller : Callers)
    Uploads.push_back(Caller->result());
  return Uploads;
}

} // namespace dragonflyvane
