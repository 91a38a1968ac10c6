/// An entrance's chunks of tokens, and the requests that wait for one.
#ifndef DRAGONFLYVANE_CORE_TOKEN_CACHE_HPP
#define DRAGONFLYVANE_CORE_TOKEN_CACHE_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/messages.hpp"
#include "dragonflyvane/core/rate_home.hpp"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonflyvane {

/// Takes tokens of workspaces for requests. A request that finds none waits,
/// inside its deadline, in a bounded queue. Sends nothing itself: asks come out
/// of `takeAsks`.
class token_cache {
public:
  /// Called with whether a token was had.
  using callback = std::function<void(bool)>;

  explicit token_cache(uint64_t FirstSequence) : LastSequence(FirstSequence) {}

  void take(const std::string &Workspace, time_point Deadline, time_point Now,
            callback Callback);
  void onGrant(const token_grant &Grant, time_point Now);
  /// Lets the waiting go whose deadline has passed, and chunks that expired.
  void tick(time_point Now);
  std::vector<token_ask> takeAsks(time_point Now);

private:
  struct chunk {
    uint64_t Sequence = 0;
    uint32_t Left = 0;
    time_point Expires;
  };
  struct waiter {
    time_point Deadline;
    callback Callback;
  };
  struct purse {
    std::deque<chunk> Chunks;
    std::deque<waiter> Waiting;
    std::vector<finished_chunk> Finished;
    /// The ask that is under way, and when it was sent; 0 for none.
    uint64_t Asked = 0;
    time_point AskedAt;
    time_point NextAsk;
    /// Requests a second, smoothed.
    double Demand = 0;
    uint64_t Arrived = 0;
    time_point DemandSince;
  };

  static bool spend(purse &Purse, time_point Now);
  static void expireChunks(purse &Purse, time_point Now);
  static void measureDemand(purse &Purse, time_point Now);
  static uint32_t wanted(const purse &Purse);
  static void serveWaiting(purse &Purse, time_point Now);

  std::map<std::string, purse> Purses;
  uint64_t LastSequence;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_TOKEN_CACHE_HPP
