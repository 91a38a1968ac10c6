/// Callers whose requests take time to arrive.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_UPLOAD_CALLERS_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_UPLOAD_CALLERS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace dragonflyvane {

/// How a request with a body is sent. `SplitHead`: the head is sent in two
/// parts. `ExpectContinue`: the body follows once the daemon asks for it.
enum class upload_form { WithLength, Chunked, SplitHead, ExpectContinue };

/// A request with a body of 24 KB.
struct upload_plan {
  upload_form Form = upload_form::WithLength;
  /// Whether the connection was opened before the callers start, and has served
  /// a request.
  bool IsConnectionKept = false;
  bool Idempotent = false;
  /// The time from the start of the callers.
  std::chrono::milliseconds BeginsAfter{0};
  /// The body is sent in this many pieces, the first one together with the
  /// head, with a pause after each and between the parts of a head.
  int Pieces = 1;
  std::chrono::milliseconds Pause{0};
};

/// An upload that has ended.
struct ended_upload {
  upload_plan Plan;
  std::string RequestId;
  /// Whether the connection could be opened.
  bool IsOpened = false;
  /// The caller's port of the connection.
  uint16_t LocalPort = 0;
  /// 0 without a complete response.
  int Status = 0;
  int SentParts = 0;
  time_point FirstSentAt;
  time_point LastSentAt;
  time_point EndedAt;

  /// Whether the response is the server's, or says that the request was not
  /// processed.
  bool isServedOrRefused() const {
    return Status == 200 || Status == 408 || Status == 503;
  }
};

/// Runs each upload on a thread of its own.
class upload_callers {
public:
  /// Opens the connections that are kept. The ids of the requests begin with
  /// `Name`.
  upload_callers(const endpoint &Daemon, const std::string &Name,
                 const std::vector<upload_plan> &Plans);
  ~upload_callers();
  upload_callers(const upload_callers &) = delete;
  upload_callers &operator=(const upload_callers &) = delete;

  /// Must be called once.
  void start();
  /// Waits until all uploads have ended.
  std::vector<ended_upload> finish();

private:
  class caller;

  std::vector<std::unique_ptr<caller>> Callers;
  std::vector<std::thread> Threads;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_UPLOAD_CALLERS_HPP
