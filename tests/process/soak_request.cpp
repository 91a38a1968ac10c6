#include "process/soak_request.hpp"

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "platform/header_names.hpp"

namespace dragonflyvane {

namespace {

using std::chrono::milliseconds;

constexpr size_t UploadBytes = 24'000;
constexpr size_t ChunkBytes = 4'000;
constexpr int SmallestUpload = 60'000;
constexpr int LargestUpload = 360'000;
constexpr const char *UploadWork = "w60/";
constexpr int LargestAnswer = 540'000;

/// Draws the part of a path that says how long the work takes.
std::string drawWork(std::mt19937 &Random) {
  return "w" + std::to_string(draw(Random, 60, 1200)) + "/";
}

std::string sizePart(size_t Bytes) { return "s" + std::to_string(Bytes) + "/"; }

std::string head(std::mt19937 &Random, const std::string &Line,
                 const std::string &RequestId) {
  header_names Names = platform::headerNames();
  return Line + " HTTP/1.1\r\nHost: cluster.example\r\n" + Names.RequestId +
         ": " + RequestId + "\r\n" + Names.KeyPoint + ": " +
         std::to_string(draw(Random, 0, LastPoint)) + "\r\n" + Names.TimeLeft +
         ": " + std::to_string(CallerPatience.count()) + "\r\n";
}

std::string inChunks(const std::string &Body) {
  std::string Text;
  for (size_t At = 0; At < Body.size(); At += ChunkBytes)
    Text += "fa0\r\n" + Body.substr(At, ChunkBytes) + "\r\n";
  return Text + "0\r\n\r\n";
}

soak_request drawGet(std::mt19937 &Random, const std::string &RequestId,
                     const std::string &Path, size_t AnswerBytes) {
  soak_request Request;
  Request.RequestId = RequestId;
  Request.AnswerBytes = AnswerBytes;
  std::string Line =
      "GET " + Path + drawWork(Random) + sizePart(AnswerBytes) + "1";
  Request.Bytes = head(Random, Line, RequestId) + "\r\n";
  Request.PieceBytes = Request.Bytes.size();
  return Request;
}

soak_request drawPhoto(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request =
      drawGet(Random, RequestId, "/photos/", draw(Random, 1000, LargestAnswer));
  Request.Kind = "photo";
  if (draw(Random, 0, 1) == 0)
    return Request;
  Request.Kind = "photo read slowly";
  Request.ReadBytes = size_t{16} << 10;
  Request.ReadPause = milliseconds(draw(Random, 5, 30));
  return Request;
}

soak_request drawOrder(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request;
  Request.Kind = "order";
  Request.RequestId = RequestId;
  Request.Idempotent = false;
  Request.AnswerBytes = 200;
  std::string Line = "POST /orders/" + drawWork(Random) + sizePart(200) + "1";
  std::string Body(UploadBytes, 'x');
  bool IsChunked = draw(Random, 0, 4) == 0;
  Request.Bytes =
      head(Random, Line, RequestId) +
      (IsChunked
           ? "Transfer-Encoding: chunked\r\n\r\n"
           : "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n") +
      (IsChunked ? inChunks(Body) : Body);
  Request.PieceBytes = Request.Bytes.size();
  return Request;
}

soak_request drawSlowOrder(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request = drawOrder(Random, RequestId);
  Request.Kind = "order sent slowly";
  Request.PieceBytes = 3000;
  Request.PiecePause = milliseconds(draw(Random, 30, 150));
  return Request;
}

soak_request drawSplitHead(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request = drawGet(Random, RequestId, "/parts/", 200);
  Request.Kind = "part, head in two parts";
  Request.PieceBytes = Request.Bytes.size() - 10;
  Request.PiecePause = milliseconds(draw(Random, 50, 400));
  return Request;
}

soak_request drawPart(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request = drawGet(Random, RequestId, "/parts/", 200);
  Request.Kind = "part";
  return Request;
}

soak_request drawCall(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request = drawGet(Random, RequestId, "/parts/call/", 200);
  Request.Kind = "part with a call";
  return Request;
}

soak_request drawKind(std::mt19937 &Random, const std::string &RequestId) {
  int Percent = draw(Random, 0, 99);
  if (Percent < 35)
    return drawOrder(Random, RequestId);
  if (Percent < 55)
    return drawSlowOrder(Random, RequestId);
  if (Percent < 70)
    return drawPhoto(Random, RequestId);
  if (Percent < 77)
    return drawCall(Random, RequestId);
  if (Percent < 82)
    return drawSplitHead(Random, RequestId);
  return drawPart(Random, RequestId);
}

} // namespace

soak_request drawUpload(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request;
  Request.Kind = "upload";
  Request.RequestId = RequestId;
  Request.Idempotent = false;
  Request.AnswerBytes = 200;
  std::string Path = draw(Random, 0, 3) == 0 ? "/orders/" : "/albums/";
  std::string Body(draw(Random, SmallestUpload, LargestUpload), 'x');
  Request.Bytes =
      head(Random, "POST " + Path + UploadWork + sizePart(200) + "1",
           RequestId) +
      "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  Request.PieceBytes = Request.Bytes.size();
  return Request;
}

soak_request drawRequestOrUpload(std::mt19937 &Random,
                                 const std::string &RequestId) {
  if (draw(Random, 0, 2) == 0)
    return drawRequest(Random, RequestId);
  return drawUpload(Random, RequestId);
}

soak_request drawShortCall(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request;
  Request.Kind = "short call";
  Request.RequestId = RequestId;
  Request.AnswerBytes = 200;
  std::string Path = draw(Random, 0, 1) == 0 ? "/parts/" : "/photos/";
  Request.Bytes =
      head(Random, "GET " + Path + "w5/" + sizePart(200) + "1", RequestId) +
      "\r\n";
  Request.PieceBytes = Request.Bytes.size();
  if (draw(Random, 0, 1) == 0)
    Request.GivesUpAfter = milliseconds(200);
  return Request;
}

soak_request drawRequest(std::mt19937 &Random, const std::string &RequestId) {
  soak_request Request = drawKind(Random, RequestId);
  if (draw(Random, 0, 39) == 0)
    Request.GivesUpAfter = milliseconds(draw(Random, 50, 800));
  return Request;
}

} // namespace dragonflyvane
