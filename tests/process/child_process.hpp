/// A program of this project that runs as a process of its own.
#ifndef DRAGONFLYVANE_TESTS_PROCESS_CHILD_PROCESS_HPP
#define DRAGONFLYVANE_TESTS_PROCESS_CHILD_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflyvane {

/// How a process ended.
struct process_end {
  /// The exit code, if the process ended by itself.
  std::optional<int> ExitCode;
  /// The signal that ended the process otherwise.
  std::optional<int> Signal;

  bool isSuccess() const { return ExitCode == 0; }
};

/// How long a process has had a processor, and has waited for one.
struct processor_times {
  std::chrono::nanoseconds Running{0};
  std::chrono::nanoseconds Waiting{0};
};

/// A running process; its destruction kills it.
class child_process {
public:
  /// Starts a program of the build folder. Its output goes to the file
  /// descriptor, or to the file at `LogPath` if that is -1.
  child_process(const std::string &Program,
                const std::vector<std::string> &Arguments,
                const std::string &LogPath, int Output = -1);
  ~child_process();
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;

  void signal(int Signal) const;
  /// Returns how the process ended, or nothing if it still runs after the
  /// timeout.
  std::optional<process_end> wait(std::chrono::milliseconds Timeout);
  /// Returns the largest resident memory so far, in bytes.
  size_t peakMemory() const;
  /// Returns the times of its main thread so far.
  processor_times processorTimes() const;

private:
  pid_t Pid;
  std::optional<process_end> End;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_PROCESS_CHILD_PROCESS_HPP
