// Planned stops of real daemons while requests are still arriving.
#include "process/local_cluster.hpp"
#include "process/steady_callers.hpp"
#include "process/upload_callers.hpp"
#include "slow_link.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace dragonflyvane;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The platform sends SIGKILL after this time.
constexpr seconds Grace{6};
/// Bounds a stop that has no reason to wait.
constexpr seconds CalmStopTime{4};
/// Callers begin requests for this long after the signal.
constexpr milliseconds BeginTime{4000};
/// A request whose connection ends sooner after its last byte may have crossed
/// the daemon's close.
constexpr milliseconds CrossingTime{200};
/// Uploads in many pieces take about 0.75 s.
constexpr int PieceCount = 15;
constexpr milliseconds PiecePause{50};

struct observed_stop {
  std::optional<process_end> End;
  std::vector<ended_upload> Uploads;
};

const char *nameOf(upload_form Form) {
  switch (Form) {
  case upload_form::WithLength:
    return "length";
  case upload_form::Chunked:
    return "chunked";
  case upload_form::SplitHead:
    return "split head";
  case upload_form::ExpectContinue:
    return "continue";
  }
  return "";
}

std::string describe(const ended_upload &Upload) {
  auto Milliseconds = [](duration Time) {
    return std::to_string(inMilliseconds(Time));
  };
  return std::string(nameOf(Upload.Plan.Form)) +
         (Upload.Plan.IsConnectionKept ? " kept" : " new") + " begun at " +
         Milliseconds(Upload.Plan.BeginsAfter) + " status " +
         std::to_string(Upload.Status) + " after " +
         Milliseconds(Upload.EndedAt - Upload.FirstSentAt) + ", " +
         Milliseconds(Upload.EndedAt - Upload.LastSentAt) +
         " after the last byte; ";
}

/// Stops the daemon of host 0 and starts the callers with the signal.
observed_stop stopWith(local_cluster &Cluster, upload_callers &Callers) {
  observed_stop Stop;
  Cluster.daemon(0).signal(SIGTERM);
  Callers.start();
  Stop.End = Cluster.daemon(0).wait(Grace);
  Stop.Uploads = Callers.finish();
  return Stop;
}

template <typename Predicate>
std::string describeAll(const std::vector<ended_upload> &Uploads,
                        const Predicate &IsMeant) {
  std::string Text;
  for (const ended_upload &Upload : Uploads)
    if (IsMeant(Upload))
      Text += describe(Upload);
  return Text;
}

bool hasEndedLate(const ended_upload &Upload) {
  return Upload.EndedAt - Upload.LastSentAt > CrossingTime;
}

/// Whether the connection ended without a response, as the daemon closed it
/// before it read anything of the request. The caller notices that before it
/// sends more than a first part.
bool hasCrossedTheClose(const ended_upload &Upload) {
  return Upload.Plan.IsConnectionKept && Upload.Status == 0 &&
         Upload.SentParts == 1 && !hasEndedLate(Upload);
}

/// Describes the uploads that a stop must not leave so.
std::string unanswered(const std::vector<ended_upload> &Uploads) {
  return describeAll(Uploads, [](const ended_upload &Upload) {
    return Upload.IsOpened && !Upload.isServedOrRefused() &&
           !hasCrossedTheClose(Upload);
  });
}

/// Describes the requests that ended without a response too late to have
/// crossed the end of the process, or with an error.
std::string unansweredLate(const std::vector<ended_upload> &Uploads,
                           const slow_link &Link) {
  return describeAll(Uploads, [&](const ended_upload &Upload) {
    return !Link.hasRefused(Upload.LocalPort) && !Upload.isServedOrRefused() &&
           (Upload.Status != 0 || hasEndedLate(Upload));
  });
}

using run_counts = std::map<std::string, int>;

/// Checks what the servers ran against what the caller was told.
void checkRuns(const std::string &RequestId, bool Idempotent, int Status,
               const run_counts &RunCounts) {
  auto Found = RunCounts.find(RequestId);
  int Runs = Found == RunCounts.end() ? 0 : Found->second;
  CAPTURE(RequestId);
  CAPTURE(Status);
  if (!Idempotent)
    CHECK(Runs <= 1);
  if (Status == 200)
    CHECK(Runs >= 1);
  if (Status == 408 || Status == 503)
    CHECK(Runs == 0);
}

void checkRuns(const std::vector<ended_upload> &Uploads,
               const run_counts &RunCounts) {
  for (const ended_upload &Upload : Uploads)
    checkRuns(Upload.RequestId, Upload.Plan.Idempotent, Upload.Status,
              RunCounts);
}

/// Uploads of all forms, on new and on kept connections, which begin one after
/// the other during a whole stop.
std::vector<upload_plan> uploadsDuringStop(int Count) {
  std::vector<upload_plan> Plans(Count);
  for (int I = 0; I < Count; ++I) {
    Plans[I].Form = static_cast<upload_form>(I % 4);
    Plans[I].IsConnectionKept = I / 4 % 2 == 1;
    Plans[I].Idempotent = I / 8 % 2 == 1;
    Plans[I].BeginsAfter = BeginTime * I / Count;
    Plans[I].Pieces = PieceCount;
    Plans[I].Pause = PiecePause;
  }
  return Plans;
}

/// Requests that are written at once, most of them on new connections.
std::vector<upload_plan> ordersDuringStop(int Count) {
  std::vector<upload_plan> Plans(Count);
  for (int I = 0; I < Count; ++I) {
    Plans[I].IsConnectionKept = I % 4 == 3;
    Plans[I].BeginsAfter = BeginTime * I / Count;
  }
  return Plans;
}

/// An upload that needs more than twice the grace to arrive: in many pieces or,
/// if there are 2, with a long pause.
upload_plan endlessUpload(upload_form Form, int Pieces,
                          milliseconds BeginsAfter) {
  upload_plan Plan;
  Plan.Form = Form;
  Plan.BeginsAfter = BeginsAfter;
  Plan.Pieces = Pieces;
  Plan.Pause = 2 * milliseconds(Grace) / (Pieces - 1);
  return Plan;
}

} // namespace

// Guards against uploads that are cut off in the middle by the end of a stop.
TEST_CASE("a planned stop answers the uploads that are arriving") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  warmUp(Cluster.callerEndpoint(0));
  upload_callers Callers(Cluster.callerEndpoint(0), "upload",
                         uploadsDuringStop(64));
  observed_stop Stop = stopWith(Cluster, Callers);
  REQUIRE(Stop.End);
  CHECK(Stop.End->isSuccess());
  CHECK(unanswered(Stop.Uploads) == "");
  checkRuns(Stop.Uploads, Cluster.runCounts());
}

// Guards against requests that were sent completely and are lost because their
// last bytes reach the daemon when it has ended.
TEST_CASE("a planned stop answers requests that arrive over a slow link") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  warmUp(Cluster.callerEndpoint(0));
  slow_link Link(Cluster.callerEndpoint(0), {milliseconds(60), 64 << 10},
                 {milliseconds(60)});
  upload_callers Callers(Link.localEndpoint(), "order", ordersDuringStop(80));
  observed_stop Stop = stopWith(Cluster, Callers);
  REQUIRE(Stop.End);
  CHECK(Stop.End->isSuccess());
  CHECK(unansweredLate(Stop.Uploads, Link) == "");
  checkRuns(Stop.Uploads, Cluster.runCounts());
}

// Guards against a stop that waits for uploads until it is killed, and against
// callers that are left without an answer when it gives up.
TEST_CASE("a planned stop refuses uploads that do not arrive in time") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  warmUp(Cluster.callerEndpoint(0));
  upload_callers Callers(
      Cluster.callerEndpoint(0), "endless",
      {endlessUpload(upload_form::WithLength, 241, milliseconds(0)),
       endlessUpload(upload_form::Chunked, 241, milliseconds(2000)),
       endlessUpload(upload_form::WithLength, 2, milliseconds(200)),
       endlessUpload(upload_form::Chunked, 2, milliseconds(1500)),
       endlessUpload(upload_form::SplitHead, 2, milliseconds(1500))});
  observed_stop Stop = stopWith(Cluster, Callers);
  REQUIRE(Stop.End);
  CHECK(Stop.End->isSuccess());
  std::string NotRefused =
      describeAll(Stop.Uploads, [](const ended_upload &Upload) {
        return Upload.Status != 408 && Upload.Status != 503;
      });
  CHECK(NotRefused == "");
  checkRuns(Stop.Uploads, Cluster.runCounts());
}

// Guards against a stop that uses its whole grace although nothing arrives.
TEST_CASE("a planned stop without uploads ends soon") {
  local_cluster Cluster(3, milliseconds(5));
  Cluster.start();
  steady_callers Callers(Cluster.callerEndpoint(0), 10, milliseconds(30),
                         milliseconds(30));
  std::this_thread::sleep_for(milliseconds(500));
  Cluster.daemon(0).signal(SIGTERM);
  auto End = Cluster.daemon(0).wait(CalmStopTime);
  REQUIRE(End);
  CHECK(End->isSuccess());
  for (const ended_call &Call : Callers.finish())
    checkRuns(Call.RequestId, Call.Idempotent, Call.Status,
              Cluster.runCounts());
}
