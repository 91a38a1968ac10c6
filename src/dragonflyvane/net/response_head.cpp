#include "dragonflyvane/net/response_head.hpp"

#include "dragonflyvane/core/http_message.hpp"

#include <boost/beast/core/string.hpp>

#include <iterator>

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

/// Whether the body is in no transfer coding, or in the one that the parser
/// decodes. It takes the bytes of any other coding for the body.
bool hasKnownCoding(const response_head &Head) {
  auto [First, End] = Head.equal_range(http::field::transfer_encoding);
  if (First == End)
    return true;
  bool IsOnly = std::next(First) == End;
  return IsOnly && boost::beast::iequals(First->value(), "chunked");
}

/// Whether a line begins with a blank. The parser takes it for a part of the
/// field before it, although it may be a field with a malformed name; RFC 9112,
/// 5.2, has gateways reject such a response, or replace the line.
bool hasFoldedLine(std::string_view Bytes) {
  return Bytes.find("\n ") != std::string_view::npos ||
         Bytes.find("\n\t") != std::string_view::npos;
}

} // namespace

std::optional<std::string> describeFault(const response_head &Head,
                                         std::string_view Bytes) {
  int Status = static_cast<int>(Head.result_int());
  if (!isResponseStatus(Status))
    return "status " + std::to_string(Status);
  // No request asks for another protocol, in which the rest would be.
  if (Head.result() == http::status::switching_protocols)
    return "switches protocols";
  if (!hasKnownCoding(Head))
    return "unknown transfer coding";
  if (hasFoldedLine(Bytes))
    return "folded line";
  return std::nullopt;
}

} // namespace dragonflyvane
