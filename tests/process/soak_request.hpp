/// The requests that callers of the soak send, and how they send them.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_SOAK_REQUEST_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_SOAK_REQUEST_HPP

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <string>

namespace dragonflyvane {

/// Draws a whole number from `First` to `Last`.
inline int draw(std::mt19937 &Random, int First, int Last) {
  return std::uniform_int_distribution<int>(First, Last)(Random);
}

/// One request, with its pace.
struct soak_request {
  std::string Kind;
  std::string RequestId;
  /// The whole message.
  std::string Bytes;
  bool Idempotent = true;
  size_t AnswerBytes = 0;
  /// The message is sent in pieces of this size, with pauses between them.
  size_t PieceBytes = 0;
  std::chrono::milliseconds PiecePause{0};
  /// The caller reads so many bytes at a time, with pauses between them.
  size_t ReadBytes = size_t{64} << 10;
  std::chrono::milliseconds ReadPause{0};
  /// A caller that gives up closes its connection after this time.
  std::optional<std::chrono::milliseconds> GivesUpAfter;
};

/// How long callers wait for a whole response.
constexpr std::chrono::milliseconds CallerPatience{10'000};

/// A function that draws the next request of a caller, with an id.
using request_source =
    std::function<soak_request(std::mt19937 &, const std::string &)>;

/// Draws an upload of 60 to 360 KB, mostly to `catalogue`. It may not be
/// repeated.
soak_request drawUpload(std::mt19937 &Random, const std::string &RequestId);

/// Draws an upload or, less often, a request as `drawRequest` does.
soak_request drawRequestOrUpload(std::mt19937 &Random,
                                 const std::string &RequestId);

/// Draws a small request to either service. The callers of half of them leave
/// after 200 ms.
soak_request drawShortCall(std::mt19937 &Random, const std::string &RequestId);

/// Draws a request: with a short answer, with a body that is sent at once or
/// arrives slowly, in chunks, with a head in two parts, with a large answer, or
/// one whose server makes a call.
soak_request drawRequest(std::mt19937 &Random, const std::string &RequestId);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_SOAK_REQUEST_HPP
