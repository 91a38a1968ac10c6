/// Refuses requests whose nested calls would be refused by an overloaded
/// service, before they take a slot.
#ifndef DRAGONFLYVANE_CORE_ADMISSION_CALL_PRESSURE_HPP
#define DRAGONFLYVANE_CORE_ADMISSION_CALL_PRESSURE_HPP

#include "dragonflyvane/core/clock.hpp"

#include <map>
#include <string>

namespace dragonflyvane {

/// A request that has ended at the local backend server.
struct ended_run {
  std::string Route;
  time_point SentAt;
  /// Whether the backend server reported a failure.
  bool HasFailed = false;
};

/// Learns which share of the requests of each route fails because nested calls
/// are refused, and refuses about that share of new ones (adaptive throttling).
/// Nested calls have the priority of their parents, so the called service
/// refuses those of the least urgent routes first, and so does this class.
/// Without refused nested calls every request is admitted.
class call_pressure {
public:
  /// Time after which a refused caller is told to return. The pressure changes
  /// within seconds.
  static constexpr std::chrono::milliseconds ReturnDelay{2000};

  /// To be called when a nested call of the local backend server was refused
  /// with this code. Refusals for other reasons than overload of the called
  /// service are ignored.
  void onNestedCallRefused(const std::string &Code, time_point Now);
  /// To be called when the backend server has responded to a request.
  void onEnd(const ended_run &Run, time_point Now);
  /// Records a request that arrives, and returns whether it may begin. Some of
  /// a route's requests always may, so that the end of the pressure is noticed.
  bool admits(const std::string &Route, time_point Now);
  /// The share of the requests of a route that is refused now.
  double refusedShare(const std::string &Route, time_point Now) const;

private:
  /// A count in which older events weigh less.
  class recent_count {
  public:
    void add(time_point Now);
    double at(time_point Now) const;

  private:
    double Count = 0;
    time_point UpdatedAt{};
  };

  struct route_counts {
    recent_count Arrived;
    /// Requests that ended, other than those in `Failed`.
    recent_count Passed;
    /// Requests that failed while nested calls were refused.
    recent_count Failed;
    /// Accumulated share of refusals; a request is refused once it reaches 1.
    double DueRefusals = 0;
  };

  std::map<std::string, route_counts> Routes;
  time_point LastRefusedCall{};
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_ADMISSION_CALL_PRESSURE_HPP
