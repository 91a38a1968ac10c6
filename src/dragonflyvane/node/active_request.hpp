/// One request on its way through an entrance; for sources of this library.
#ifndef DRAGONFLYVANE_NODE_ACTIVE_REQUEST_HPP
#define DRAGONFLYVANE_NODE_ACTIVE_REQUEST_HPP

#include "dragonflyvane/node/request_router.hpp"

#include <set>

namespace dragonflyvane {

/// From the caller's request to its one answer.
class request_router::active_request
    : public std::enable_shared_from_this<active_request> {
public:
  active_request(request_router &Router, exchange_pointer Exchange);
  ~active_request();

  void begin();
  /// Looks for a host again, if it waits for one.
  void lookAgain();

private:
  /// Sets the deadline and the order's fields that follow from the route.
  void readRoute(const route &Route);
  bool authenticate(const route &Route);
  void onAdmitted(bool Admitted, duration RetryAfter);
  void chooseService();
  std::optional<std::string> chooseHost();
  void dispatch();
  void send(const std::string &Host);
  void sendToPeer(const std::string &Host, const host_info &Info);
  void onPeerResult(const std::string &Host, call_result Result);
  void onResult(const std::string &Host, forward_result Result);
  bool mayRepeat(const forward_result &Result);
  void tryAgain();
  void waitForHost(const std::string &Code);
  void cancel();

  void answer(http_response Response);
  void refuse(int Status, const std::string &Code, run_state Ran,
              duration RetryAfter = {});
  void refuseUnserved(const std::string &Code,
                      std::chrono::milliseconds RetryAfter);
  duration spread(duration Mean);
  std::string requestId() const;
  duration left() const;

  request_router &E;
  exchange_pointer Exchange;
  http_request Request;
  forward_metadata Metadata;
  std::shared_ptr<const configuration> Config;
  const route *Route = nullptr;
  bool IsKeyed = false;
  time_point StartedAt;
  time_point Deadline;
  /// Until when it may wait for a host.
  time_point WaitEnd{};
  uint32_t Reached = 0;
  uint32_t Refusals = 0;
  /// It took a token of its workspace's rate.
  bool HasToken = false;
  /// Some backend server may have begun it.
  bool MayHaveRun = false;
  std::string SentTo;
  std::set<std::string> Tried;
  bool IsWaiting = false;
  bool IsDone = false;
  std::string WaitCode;
  dispatch_id AtDoor = 0;
  call_id AtPeer = 0;
  timer Timer;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_NODE_ACTIVE_REQUEST_HPP
