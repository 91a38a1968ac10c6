#include "process/soak_caller.hpp"

#include "platform/header_names.hpp"
#include "platform/standin/asked_work.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <utility>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;
using response_parser = http::response_parser<http::string_body>;
using std::chrono::milliseconds;

constexpr milliseconds ReconnectPause{50};
/// Longer than the time within which daemons answer at the deadline.
constexpr milliseconds ExtraPatience{1000};

bool isOwnAnswer(const soak_request &Request,
                 const response_parser::value_type &Response) {
  return Response[platform::headerNames().RequestId] == Request.RequestId &&
         Response.body() ==
             standin::answerBody(Request.RequestId, Request.AnswerBytes);
}

} // namespace

soak_caller::soak_caller(caller_place Place, int Seed)
    : Place(std::move(Place)), Random(Seed) {
  Thread = std::thread([this] { run(); });
}

soak_caller::~soak_caller() { finish(); }

std::vector<soak_call> soak_caller::finish() {
  requestFinish();
  if (Thread.joinable())
    Thread.join();
  return Calls;
}

void soak_caller::run() {
  while (!IsFinished) {
    std::string Id = Place.Name + "-" + std::to_string(Calls.size());
    Calls.push_back(call(Place.Draw(Random, Id)));
    pause();
  }
}

/// Most pauses are short; the others leave connections idle for some time.
void soak_caller::pause() {
  bool IsLong = draw(Random, 0, 19) == 0;
  std::this_thread::sleep_for(
      milliseconds(draw(Random, 0, IsLong ? 4000 : 300)));
}

/// Uses the kept connection unless its end has been seen or the caller chooses
/// a new one.
void soak_caller::connect() {
  bool IsKept = Connection && !Connection->awaitInput(Clock.now());
  bool WantsNew = draw(Random, 0, 3) == 0;
  if (!IsKept || WantsNew)
    Connection = std::make_unique<caller_connection>(Place.Remote);
}

soak_call soak_caller::call(const soak_request &Request) {
  soak_call Call;
  Call.Kind = Request.Kind;
  Call.RequestId = Request.RequestId;
  Call.Host = Place.Host;
  Call.Idempotent = Request.Idempotent;
  Call.RoundTrip = Place.RoundTrip;
  connect();
  Call.FirstByteAt = Clock.now();
  Call.EndedAt = Call.FirstByteAt;
  if (!Connection->isOpen()) {
    Connection.reset();
    std::this_thread::sleep_for(ReconnectPause);
    return Call;
  }
  time_point Deadline = Call.FirstByteAt + Request.GivesUpAfter.value_or(
                                               CallerPatience + ExtraPatience);
  if (sendAll(Request, Deadline))
    Call.LastByteAt = Clock.now();
  readAnswer(Request, Deadline, Call);
  Call.EndedAt = Clock.now();
  bool IsPast = Call.EndedAt >= Deadline;
  if (Call.End == call_end::Closed && IsPast)
    Call.End = Request.GivesUpAfter ? call_end::GivenUp : call_end::TimedOut;
  return Call;
}

/// Returns false if it ended early: at the deadline, or because the daemon
/// answered or closed the connection.
bool soak_caller::sendAll(const soak_request &Request, time_point Deadline) {
  std::string_view Left = Request.Bytes;
  while (true) {
    std::string_view Piece = Left.substr(0, Request.PieceBytes);
    if (!Connection->send(Piece, Deadline))
      return false;
    Left.remove_prefix(Piece.size());
    if (Left.empty())
      return true;
    time_point NextAt = std::min(Clock.now() + Request.PiecePause, Deadline);
    if (Connection->awaitInput(NextAt) || Clock.now() >= Deadline)
      return false;
  }
}

/// Keeps the connection only after a whole request and a whole response.
/// Daemons state the length of each response, so that none ends with its
/// connection.
void soak_caller::readAnswer(const soak_request &Request, time_point Deadline,
                             soak_call &Call) {
  response_parser Parser;
  Parser.eager(true);
  Parser.body_limit(boost::none);
  boost::system::error_code Error;
  std::string Bytes;
  while (!Parser.is_done() && !Error) {
    std::string More = Connection->receive(Request.ReadBytes, Deadline);
    if (More.empty())
      break;
    Bytes += More;
    Bytes.erase(0, Parser.put(boost::asio::buffer(Bytes), Error));
    if (Error == http::error::need_more)
      Error = {};
    if (Request.ReadPause.count() > 0)
      std::this_thread::sleep_for(Request.ReadPause);
  }
  bool IsWhole = Parser.is_done() && !Error;
  Call.End = IsWhole ? call_end::Answered : call_end::Closed;
  if (IsWhole) {
    Call.Status = static_cast<int>(Parser.get().result_int());
    Call.IsOwnAnswer = isOwnAnswer(Request, Parser.get());
    Call.Body = Parser.get().body().substr(0, 100);
  }
  if (!IsWhole || !Call.LastByteAt || !Parser.get().keep_alive())
    Connection.reset();
}

} // namespace dragonflyvane
