/// Runs several members on a fake clock, network and table under random faults,
/// and checks that no slice ever has two owners.
#ifndef DRAGONFLYVANE_TESTS_OWNERSHIP_TRIAL_HPP
#define DRAGONFLYVANE_TESTS_OWNERSHIP_TRIAL_HPP

#include "dragonflyvane/core/member.hpp"
#include "standin/memory_table.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dragonflyvane {

/// A kind of schedule that plain chance seldom makes.
enum class trial_aim {
  None,
  /// A writer of lists is often paused just after it sent a late write; hosts
  /// are drained and taken back, so that there are many.
  LateWrites,
  /// Mostly restarts and pauses, which hit witnesses.
  Witnesses,
  /// Mostly processes that start under the name of a paused one, and cuts.
  Replacements,
  /// Mostly hosts that are drained and taken back.
  HandOvers,
};

/// What may go wrong in a trial. Shares are from 0 to 1.
struct trial_faults {
  /// Mean time between two faults; zero for none.
  std::chrono::milliseconds MeanGap{1500};
  double MessageLoss = 0.03;
  double LostAnswers = 0.05;
  double LateWrites = 0.05;
  trial_aim Aim = trial_aim::None;
};

struct trial_settings {
  uint64_t Seed = 1;
  size_t Hosts = 7;
  uint32_t Slices = 6;
  std::chrono::milliseconds Length{20'000};
  trial_faults Faults;
  safety_rules Rules;
};

/// What a trial found.
struct trial_result {
  /// Empty when all checks held.
  std::string Violation;
  /// Share of the time in which a slice had an owner.
  double Served = 0;
  /// The longest time in which a slice had none, after the first 5 s.
  std::chrono::milliseconds LongestGap{0};
  uint64_t Messages = 0;
  uint64_t Events = 0;
};

/// One trial; deterministic for its settings.
class ownership_trial {
public:
  explicit ownership_trial(const trial_settings &Settings);

  trial_result run();

  // For scripted sessions.

  void advance(std::chrono::milliseconds Span);
  void start(size_t Host);
  void kill(size_t Host);
  void pause(size_t Host, std::chrono::milliseconds Span);
  void cut(size_t From, size_t To, std::chrono::milliseconds Span);
  void cutDomain(size_t Domain, std::chrono::milliseconds Span);
  void setOutage(std::chrono::milliseconds Span);
  void setConfiguration(const std::string &Document);
  member &at(size_t Host);
  /// The hosts that may dispatch a slice now.
  std::vector<std::string> ownersOf(uint32_t Slice);
  /// One line for each event so far.
  const std::vector<std::string> &log() const { return Log; }
  const trial_result &result() const { return Result; }
  const memory_table &table() const { return Table; }

  static std::string hostName(size_t Host);

private:
  struct process {
    size_t Host = 0;
    std::unique_ptr<member> Member;
    bool Alive = true;
    time_point PausedUntil;
    /// Its clock runs so much faster than the true one.
    double Drift = 0;
    std::vector<std::function<void()>> Held;
    bool Serves = true;
  };
  struct event {
    time_point Time;
    uint64_t Order = 0;
    std::function<void()> Work;
    bool operator<(const event &Other) const {
      return std::tie(Other.Time, Other.Order) < std::tie(Time, Order);
    }
  };

  void schedule(duration Delay, std::function<void()> Work);
  void runUntil(time_point End);
  time_point localTime(const process &Process) const;
  bool isPaused(const process &Process) const;
  /// Runs an event of a process, later if it is paused, never if it died.
  void deliver(size_t Index, std::function<void(process &)> Work);
  void tick(size_t Index);
  void act(size_t Index);
  void sendMessage(size_t From, const outgoing_message &Message);
  void sendWrite(size_t Index, const outgoing_write &Write);
  void pollTable(size_t Index);
  void readTable(size_t Index);
  void check();
  void checkTokens(uint32_t Slice, const fencing_token &Token,
                   const std::string &Host);
  void injectFault();
  void violation(const std::string &What);
  void record(const std::string &Line);
  double draw();
  std::chrono::milliseconds between(int LowMs, int HighMs);
  bool isCut(size_t From, size_t To) const;
  size_t hostIndex(const std::string &Name) const;

  trial_settings Settings;
  std::mt19937_64 Random;
  time_point Now{std::chrono::hours(1)};
  time_point Begun = Now;
  uint64_t Order = 0;
  std::priority_queue<event> Events;
  std::vector<process> Processes;
  /// The newest process of each host.
  std::map<size_t, size_t> Current;
  std::map<std::pair<size_t, size_t>, time_point> Cuts;
  time_point OutageUntil;
  double ExtraLoss = 0;
  memory_table Table;
  incarnation LastIncarnation = 0;
  std::map<uint32_t, fencing_token> Highest;
  std::map<uint32_t, time_point> LastServed;
  uint64_t Checks = 0;
  uint64_t ServedChecks = 0;
  trial_result Result;
  std::vector<std::string> Log;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_OWNERSHIP_TRIAL_HPP
