/// Limits hot key points of one backend server under overload, so that they do
/// not crowd out the other points of the server.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_HOT_POINTS_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_HOT_POINTS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "dragonflyvane/core/rate/token_bucket.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace dragonflyvane {

/// The capacity of the server at the moment, and whether it is used up.
struct server_headroom {
  /// The requests per second that the server can process.
  double Rate = 0;
  /// Whether a new request would have to wait.
  bool IsFull = false;
};

/// A hot key point, or a narrow group of neighbouring ones, that is limited.
struct hot_span {
  key_point First = 0;
  key_point Last = 0;
  /// The requests per second that arrive for the span.
  double Demand = 0;
  /// The requests per second that are admitted.
  double Limit = 0;
};

/// Finds the points whose demand is far above that of the others, and shares
/// out among them what the others leave of the server's rate (max-min
/// fairness). It acts only while more requests arrive than the server can
/// process and the server is full. Bounded in memory; an analysis of the recent
/// arrivals happens at most every 100 ms, and only under overload.
class hot_points {
public:
  /// Records a request. Returns nothing if it may be admitted, else the time
  /// after which a retry is expected to be admitted.
  std::optional<duration>
  admit(key_point Point, const server_headroom &Headroom, time_point Now);
  /// Returns the limit in force for a point; none if it is not limited.
  std::optional<hot_span> limitOf(key_point Point) const;

private:
  struct arrival {
    key_point Point = 0;
    time_point At;
  };
  struct limited_span {
    hot_span Span;
    token_bucket Tokens;
    /// The time that the next refused request is told to wait for.
    time_point NextRetryAt;
  };
  /// Requests by the first point of a span, for spans of one width.
  using counts = std::map<key_point, size_t>;

  void record(key_point Point, time_point Now);
  void evictExpired(time_point Now);
  /// The seconds that the recorded arrivals span.
  double secondsRecorded(time_point Now) const;
  /// Finds the current hot spans and sets their limits.
  void refresh(double ServerRate, time_point Now);
  /// Returns the hot spans with their demand, without limits.
  std::vector<hot_span> findSpans(time_point Now) const;
  /// Moves the points that are hot by themselves out of `Points`.
  void takeHotPoints(counts &Points, std::vector<hot_span> &Spans) const;
  /// Appends the groups of neighbouring points that are hot together.
  void findHotGroups(const counts &Points, std::vector<hot_span> &Spans) const;
  /// Shares out a rate among the spans; none gets more than its demand.
  static void shareOut(double Rate, std::vector<hot_span> &Spans);
  /// Replaces the limits by those of the spans. A span that was limited before
  /// keeps its tokens and its retry time.
  void apply(const std::vector<hot_span> &Spans, time_point Now);
  limited_span *find(key_point Point);
  /// Returns the time after which a refused request may be retried, a different
  /// one for each.
  static duration scheduleRetry(limited_span &Limited, time_point Now);

  std::deque<arrival> Arrivals;
  std::vector<limited_span> Limits;
  time_point RefreshedAt{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_HOT_POINTS_HPP
