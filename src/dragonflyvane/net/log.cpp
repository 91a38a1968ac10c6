#include "dragonflyvane/net/log.hpp"

#include "dragonflyvane/core/rate/token_bucket.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <climits>
#include <csignal>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace dragonflyvane {

namespace {

/// Rate limit and burst of `writeRequestLog`, in lines.
constexpr double RequestLinesPerSecond = 20;
constexpr double RequestLinesBurst = 60;
/// Longer fields are truncated, since a line of more than `PIPE_BUF` bytes is
/// dropped.
constexpr size_t MaxFieldBytes = 1500;

/// Lines dropped since the last line that was written.
uint64_t &droppedLines() {
  static uint64_t Count = 0;
  return Count;
}

/// Writes lines to standard output. Drops a line if writing it would block, as
/// when the reader of standard output is slow.
class stdout_sink : public boost::log::sinks::basic_formatted_sink_backend<
                        char, boost::log::sinks::concurrent_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Text) {
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    std::string Line = Text + "\n";
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
    bool HasRoom = Line.size() <= PIPE_BUF && poll(&Output, 1, 0) == 1 &&
                   (Output.revents & POLLOUT) != 0;
    if (HasRoom && write(STDOUT_FILENO, Line.data(), Line.size()) > 0)
      droppedLines() = 0;
    else
      ++droppedLines();
  }
};

using severity_logger = boost::log::sources::severity_logger_mt<log_level>;

std::string &hostName() {
  static std::string Name;
  return Name;
}

const char *toString(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return "debug";
  case log_level::Info:
    return "info";
  case log_level::Warning:
    return "warning";
  case log_level::Error:
    return "error";
  }
  return "error";
}

/// The current time as ISO 8601 in UTC, with milliseconds.
std::string utcTimestamp() {
  using namespace std::chrono;
  auto Now = system_clock::now().time_since_epoch();
  time_t Seconds = duration_cast<seconds>(Now).count();
  auto Millis = duration_cast<milliseconds>(Now).count() % 1000;
  tm CalendarTime{};
  gmtime_r(&Seconds, &CalendarTime);
  char Text[40];
  size_t Length =
      strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &CalendarTime);
  snprintf(Text + Length, sizeof(Text) - Length, ".%03dZ",
           static_cast<int>(Millis));
  return Text;
}

} // namespace

void setLogHost(const std::string &Host) { hostName() = Host; }

void initLogging(log_level MinLevel) {
  // When the reader of standard output has gone, lines are dropped; a write
  // must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  using frontend = boost::log::sinks::unlocked_sink<stdout_sink>;
  auto Sink = boost::make_shared<frontend>();
  Sink->set_formatter(boost::log::expressions::stream
                      << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(Sink);
  boost::log::core::get()->set_filter(
      boost::log::expressions::attr<log_level>("Severity") >= MinLevel);
}

namespace {

int64_t truncateField(int64_t Value) { return Value; }

std::string truncateField(const std::string &Value) {
  if (Value.size() <= MaxFieldBytes)
    return Value;
  return Value.substr(0, MaxFieldBytes) + "...";
}

void writeLine(log_level Level, const std::string &Message,
               std::initializer_list<log_field> Fields,
               uint64_t SuppressedLines) {
  static severity_logger Logger;
  nlohmann::ordered_json Line = {{"time", utcTimestamp()},
                                 {"level", toString(Level)},
                                 {"host", hostName()},
                                 {"message", Message}};
  for (const log_field &Field : Fields)
    std::visit(
        [&](const auto &Value) { Line[Field.Name] = truncateField(Value); },
        Field.Value);
  if (SuppressedLines > 0)
    Line["lines_left_out"] = SuppressedLines;
  if (droppedLines() > 0)
    Line["lines_dropped"] = droppedLines();
  BOOST_LOG_SEV(Logger, Level)
      << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void writeLog(log_level Level, const std::string &Message,
              std::initializer_list<log_field> Fields) {
  writeLine(Level, Message, Fields, 0);
}

void writeRequestLog(const std::string &Message,
                     std::initializer_list<log_field> Fields) {
  static boot_clock Clock;
  // A bucket starts empty; a start time in the past fills it to the burst.
  static token_bucket Lines(RequestLinesPerSecond, RequestLinesBurst,
                            Clock.now() - std::chrono::seconds(10));
  static uint64_t SuppressedLines = 0;
  if (!Lines.take(1, Clock.now())) {
    ++SuppressedLines;
    return;
  }
  writeLine(log_level::Info, Message, Fields,
            std::exchange(SuppressedLines, 0));
}

} // namespace dragonflyvane
