#include "dragonflyvane/net/log.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sstream>
#include <unistd.h>

using namespace dragonflyvane;

namespace {

/// Standard output as a pipe that is read only when a test says so.
class slow_reader {
public:
  slow_reader() : Saved(dup(STDOUT_FILENO)) {
    int Ends[2];
    REQUIRE(pipe(Ends) == 0);
    Read = Ends[0];
    fcntl(Read, F_SETFL, O_NONBLOCK);
    dup2(Ends[1], STDOUT_FILENO);
    close(Ends[1]);
  }
  ~slow_reader() {
    dup2(Saved, STDOUT_FILENO);
    close(Saved);
    close(Read);
  }

  std::vector<nlohmann::json> read() const {
    std::string Text;
    char Buffer[4096];
    ssize_t Size = 0;
    while ((Size = ::read(Read, Buffer, sizeof Buffer)) > 0)
      Text.append(Buffer, static_cast<size_t>(Size));
    std::vector<nlohmann::json> Lines;
    std::istringstream Stream(Text);
    for (std::string Line; std::getline(Stream, Line);)
      Lines.push_back(nlohmann::json::parse(Line));
    return Lines;
  }

private:
  int Saved;
  int Read = -1;
};

} // namespace

TEST_CASE("a log that nobody reads is never waited for, and what is lost is "
          "told") {
  size_t Kept = 0;
  nlohmann::json After;
  constexpr size_t Written = 5000;
  {
    slow_reader Reader;
    for (size_t I = 0; I < Written; ++I)
      writeLog(log_level::Error, "full", {{"step", "test"}});
    Kept = Reader.read().size();
    writeLog(log_level::Error, "after", {});
    After = Reader.read().at(0);
  }
  CHECK(Kept > 100);
  CHECK(Kept < Written);
  CHECK(After["message"] == "after");
  CHECK(After["lines_dropped"] == Written - Kept);
}

TEST_CASE("a field of any length leaves a line that a pipe takes at once") {
  std::vector<nlohmann::json> Lines;
  {
    slow_reader Reader;
    writeLog(log_level::Error, "long", {{"loads", std::string(100'000, 'x')}});
    Lines = Reader.read();
  }
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0]["loads"].get<std::string>().size() < 2000);
}
