#include "dragonflyvane/core/admission/admission_queue.hpp"

#include <doctest/doctest.h>

using namespace dragonflyvane;
using std::chrono::milliseconds;

namespace {

const time_point Start{std::chrono::hours(1)};

queued_request request(dispatch_id Id, int Priority, int DeadlineMs,
                       int SoftDeadlineMs, int ProcessingMs) {
  return {Id, Priority, Start + milliseconds(DeadlineMs),
          Start + milliseconds(SoftDeadlineMs), milliseconds(ProcessingMs)};
}

} // namespace

TEST_CASE("under lasting overload the soft deadline limits the queue, not the "
          "deadline") {
  admission_queue Queue;
  dispatch_id Id = 0;
  while (Queue.admits(request(++Id, 1, 500, 200, 60), 9, 9, Start) ==
         queue_class::InTime)
    Queue.push(request(Id, 1, 500, 200, 60));
  // The last request admitted has 20 ahead of it:
  // (20 + 1) * 60 ms / 9 slots + 60 ms = 200 ms.
  CHECK(Queue.size() == 21);
}

// Guards against a change of the order where it is not asked for. Pattern: a
// queue that is full up to the soft deadline, and a late request.
TEST_CASE("by arrival, a late request keeps its place and none is displaced") {
  admission_queue Queue;
  Queue.setPolicy(queue_policy::Arrival);
  for (dispatch_id Id = 1; Id <= 21; ++Id)
    REQUIRE(Queue.offer(request(Id, 2, 500, 200, 60), 9, 9, Start));
  CHECK(!Queue.offer(request(99, 2, 500, 200, 60), 9, 9, Start));
  CHECK(Queue.offer(request(22, 2, 500, 20, 60), 9, 9, Start));
  CHECK(Queue.offer(request(23, 1, 500, 200, 60), 9, 9, Start));
  CHECK(Queue.takeDisplaced(1, Start).empty());
  std::vector<dispatch_id> TooLate;
  CHECK(Queue.pop(Start + milliseconds(190), TooLate) == 23);
  CHECK(Queue.pop(Start + milliseconds(190), TooLate) == 1);
  CHECK(TooLate.empty());
}

TEST_CASE("urgent requests do not wait for less urgent ones") {
  admission_queue Queue;
  for (dispatch_id Id = 1; Id <= 21; ++Id)
    Queue.push(request(Id, 2, 500, 200, 60));
  CHECK(Queue.admits(request(22, 2, 500, 200, 60), 9, 9, Start) !=
        queue_class::InTime);
  CHECK(Queue.admits(request(22, 1, 500, 200, 60), 9, 9, Start) ==
        queue_class::InTime);
  Queue.push(request(22, 1, 500, 200, 60));
  std::vector<dispatch_id> TooLate;
  CHECK(Queue.pop(Start, TooLate) == 22);
  CHECK(Queue.pop(Start, TooLate) == 1);
}

TEST_CASE("a free slot admits a request whose soft deadline has passed") {
  admission_queue Queue;
  CHECK(Queue.admits(request(1, 1, 500, -50, 60), 9, 3, Start));
  CHECK(!Queue.admits(request(1, 1, 20, -50, 60), 9, 3, Start));
}

TEST_CASE("requests that would finish after their deadline are dropped, not "
          "started") {
  admission_queue Queue;
  Queue.push(request(1, 1, 100, 100, 60));
  Queue.push(request(2, 1, 500, 200, 60));
  std::vector<dispatch_id> TooLate;
  CHECK(Queue.pop(Start + milliseconds(90), TooLate) == 2);
  CHECK(TooLate == std::vector<dispatch_id>{1});
  Queue.push(request(3, 1, 100, 100, 60));
  TooLate.clear();
  Queue.expire(Start + milliseconds(90), TooLate);
  CHECK(TooLate == std::vector<dispatch_id>{3});
  CHECK(Queue.queuedProcessingTime() == duration{0});
}

TEST_CASE(
    "a download that the link would deliver too late is refused at once") {
  admission_queue Queue;
  time_point Now{std::chrono::seconds(10)};
  queued_request Download{1, 0, Now + milliseconds(5000),
                          Now + milliseconds(800), milliseconds(100)};
  CHECK(Queue.admits(Download, 6, 0, Now));
  CHECK(Queue.admits(Download, 6, 0, Now, milliseconds(600)));
  CHECK_FALSE(Queue.admits(Download, 6, 0, Now, milliseconds(750)));
}
