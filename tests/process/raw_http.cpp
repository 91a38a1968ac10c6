#include "process/raw_http.hpp"

#include "dragonflyvane/core/ownership/ownership_map.hpp"
#include "platform/header_names.hpp"
#include "scripted_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <sstream>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

/// Spreads the keys of the requests over all hosts.
constexpr uint64_t KeyStep = 7919;

} // namespace

std::string makeRequestHead(const std::string &RequestId,
                            const std::string &RequestLine,
                            std::chrono::milliseconds Timeout,
                            const std::string &Fields) {
  header_names Names = platform::headerNames();
  uint64_t Point =
      std::hash<std::string>()(RequestId) * KeyStep % (LastPoint + 1);
  std::stringstream Head;
  Head << RequestLine << " HTTP/1.1\r\nHost: cluster.example\r\n"
       << Names.RequestId << ": " << RequestId << "\r\n"
       << Names.KeyPoint << ": " << Point << "\r\n"
       << Names.TimeLeft << ": " << Timeout.count() << "\r\n"
       << Fields << "\r\n";
  return Head.str();
}

std::string makeOwnFields(const std::string &RequestHead) {
  header_names Names = platform::headerNames();
  return Names.Signature + ": scripted\r\n" + Names.RequestId + ": " +
         fieldOf(RequestHead, Names.RequestId) + "\r\n";
}

std::string makeSoundResponse(const std::string &RequestHead) {
  return "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" +
         makeOwnFields(RequestHead) + "\r\nsound";
}

struct response_reader::parser : http::response_parser<http::string_body> {
  parser() { eager(true); }
};

response_reader::response_reader() : Parser(std::make_unique<parser>()) {}

response_reader::~response_reader() = default;

void response_reader::take(const std::string &Bytes) {
  Buffer += Bytes;
  if (Buffer.empty() || Parser->is_done())
    return;
  boost::system::error_code Error;
  Buffer.erase(0, Parser->put(boost::asio::buffer(Buffer), Error));
  if (!Parser->is_done() || Parser->get().result_int() >= 200)
    return;
  HasInterim = true;
  Parser = std::make_unique<parser>();
  take("");
}

int response_reader::status() const {
  return Parser->is_done() ? static_cast<int>(Parser->get().result_int()) : 0;
}

size_t response_reader::bodySize() const { return Parser->get().body().size(); }

bool response_reader::keepsAlive() const { return Parser->get().keep_alive(); }

} // namespace dragonflyvane
