#include "process/child_process.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dragonflyvane {

namespace {

constexpr std::chrono::milliseconds PollPeriod{5};

/// The programs are those of the build, unless the environment names a folder
/// with others.
std::string pathOf(const std::string &Program) {
  const char *Folder = std::getenv("DRAGONFLYVANE_PROGRAMS");
  return std::string(Folder ? Folder : PROGRAM_FOLDER) + "/" + Program;
}

process_end toProcessEnd(int Status) {
  process_end End;
  if (WIFEXITED(Status))
    End.ExitCode = WEXITSTATUS(Status);
  else
    End.Signal = WTERMSIG(Status);
  return End;
}

} // namespace

child_process::child_process(const std::string &Program,
                             const std::vector<std::string> &Arguments,
                             const std::string &LogPath, int Output) {
  std::string Path = pathOf(Program);
  std::vector<char *> Words = {Path.data()};
  for (const std::string &Argument : Arguments)
    Words.push_back(const_cast<char *>(Argument.data()));
  Words.push_back(nullptr);
  Pid = fork();
  if (Pid < 0)
    throw std::runtime_error("cannot start " + Path);
  if (Pid > 0)
    return;
  if (Output < 0)
    Output = open(LogPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Output, STDOUT_FILENO);
  dup2(Output, STDERR_FILENO);
  execv(Path.c_str(), Words.data());
  _exit(127);
}

child_process::~child_process() {
  if (End)
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void child_process::signal(int Signal) const {
  if (!End)
    kill(Pid, Signal);
}

std::optional<process_end>
child_process::wait(std::chrono::milliseconds Timeout) {
  auto Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!End) {
    int Status = 0;
    if (waitpid(Pid, &Status, WNOHANG) == Pid)
      End = toProcessEnd(Status);
    else if (std::chrono::steady_clock::now() >= Deadline)
      return std::nullopt;
    else
      std::this_thread::sleep_for(PollPeriod);
  }
  return End;
}

processor_times child_process::processorTimes() const {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/schedstat");
  int64_t Running = 0;
  int64_t Waiting = 0;
  File >> Running >> Waiting;
  return {std::chrono::nanoseconds(Running), std::chrono::nanoseconds(Waiting)};
}

size_t child_process::peakMemory() const {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  for (std::string Word; Status >> Word;) {
    size_t Kilobytes = 0;
    if (Word == "VmHWM:" && Status >> Kilobytes)
      return Kilobytes << 10;
  }
  return 0;
}

} // namespace dragonflyvane
