#include "dragonflyvane/net/log.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace dragonflyvane;

namespace {

/// Redirects standard output to a pipe that is read only by calls of `read`.
class stdout_capture {
public:
  stdout_capture() : SavedStdout(dup(STDOUT_FILENO)) {
    int PipeFds[2];
    REQUIRE(pipe(PipeFds) == 0);
    ReadFd = PipeFds[0];
    fcntl(ReadFd, F_SETFL, O_NONBLOCK);
    dup2(PipeFds[1], STDOUT_FILENO);
    close(PipeFds[1]);
  }
  ~stdout_capture() {
    dup2(SavedStdout, STDOUT_FILENO);
    close(SavedStdout);
    close(ReadFd);
  }

  std::vector<nlohmann::json> read() const {
    std::string Text;
    char Buffer[4096];
    ssize_t Size = 0;
    while ((Size = ::read(ReadFd, Buffer, sizeof Buffer)) > 0)
      Text.append(Buffer, static_cast<size_t>(Size));
    std::vector<nlohmann::json> Lines;
    std::istringstream Stream(Text);
    for (std::string Line; std::getline(Stream, Line);)
      Lines.push_back(nlohmann::json::parse(Line));
    return Lines;
  }

private:
  int SavedStdout;
  int ReadFd = -1;
};

} // namespace

TEST_CASE("logging does not block on a pipe that is not read, and counts "
          "dropped lines") {
  size_t LinesRead = 0;
  nlohmann::json After;
  constexpr size_t LinesLogged = 5000;
  {
    stdout_capture Capture;
    for (size_t I = 0; I < LinesLogged; ++I)
      writeLog(log_level::Error, "full", {{"step", "test"}});
    LinesRead = Capture.read().size();
    writeLog(log_level::Error, "after", {});
    After = Capture.read().at(0);
  }
  CHECK(LinesRead > 100);
  CHECK(LinesRead < LinesLogged);
  CHECK(After["message"] == "after");
  CHECK(After["lines_dropped"] == LinesLogged - LinesRead);
}

TEST_CASE("a line with a field of any length fits into one pipe write") {
  std::vector<nlohmann::json> Lines;
  {
    stdout_capture Capture;
    writeLog(log_level::Error, "long", {{"loads", std::string(100'000, 'x')}});
    Lines = Capture.read();
  }
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0]["loads"].get<std::string>().size() < 2000);
}
