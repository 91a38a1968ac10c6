#include "dragonflyvane/net/http_wire.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <string_view>

namespace dragonflyvane {

namespace {

/// Whether a field is not copied from a message: this module writes it, or it
/// concerns a single connection.
bool isFramingField(const std::string &Name) {
  return equalNames(Name, "connection") || equalNames(Name, "content-length") ||
         equalNames(Name, "transfer-encoding") ||
         equalNames(Name, "keep-alive");
}

void appendFields(std::string &Head, const header_list &Headers) {
  for (const header &Field : Headers.all()) {
    if (isFramingField(Field.Name))
      continue;
    Head += Field.Name;
    Head += ": ";
    Head += Field.Value;
    Head += "\r\n";
  }
}

bool mayOmitContentLength(const http_request &Request) {
  return Request.Body.empty() &&
         (Request.Method == "GET" || Request.Method == "HEAD" ||
          Request.Method == "DELETE" || Request.Method == "OPTIONS");
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::optional<std::chrono::seconds> toSeconds(std::string_view Text) {
  uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Value);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return std::chrono::seconds(Value);
}

} // namespace

std::string encodeHead(const http_response &Response, bool KeepAlive,
                       bool HasLength) {
  auto Status = static_cast<boost::beast::http::status>(Response.Status);
  auto Reason = boost::beast::http::obsolete_reason(Status);
  std::string Head = "HTTP/1.1 " + std::to_string(Response.Status) + " ";
  Head.append(Reason.data(), Reason.size());
  Head += "\r\n";
  appendFields(Head, Response.Headers);
  if (HasLength)
    Head += "Content-Length: " +
            Response.Headers.find("content-length")
                .value_or(std::to_string(Response.Body.size())) +
            "\r\n";
  Head += KeepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  return Head;
}

std::string encodeHead(const http_request &Request) {
  std::string Head = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  appendFields(Head, Request.Headers);
  if (!mayOmitContentLength(Request))
    Head += "Content-Length: " + std::to_string(Request.Body.size()) + "\r\n";
  Head += "\r\n";
  return Head;
}

std::optional<std::chrono::seconds>
keepAliveTimeout(const header_list &Headers) {
  std::string Field = Headers.find("keep-alive").value_or("");
  std::string_view Rest = Field;
  while (!Rest.empty()) {
    std::string_view Parameter = Rest.substr(0, Rest.find(','));
    Rest.remove_prefix(std::min(Rest.size(), Parameter.size() + 1));
    size_t Equals = Parameter.find('=');
    if (Equals != std::string_view::npos &&
        equalNames(trim(Parameter.substr(0, Equals)), "timeout"))
      return toSeconds(trim(Parameter.substr(Equals + 1)));
  }
  return std::nullopt;
}

bool hasKnownCoding(const boost::beast::http::fields &Fields) {
  auto [First, End] =
      Fields.equal_range(boost::beast::http::field::transfer_encoding);
  if (First == End)
    return true;
  bool IsOnly = std::next(First) == End;
  return IsOnly && boost::beast::iequals(First->value(), "chunked");
}

header_list toHeaders(const boost::beast::http::fields &Fields) {
  header_list Headers;
  for (const auto &Field : Fields) {
    auto Name = Field.name_string();
    auto Value = Field.value();
    Headers.add({Name.data(), Name.size()}, {Value.data(), Value.size()});
  }
  return Headers;
}

} // namespace dragonflyvane
