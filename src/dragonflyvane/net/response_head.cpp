#include "dragonflyvane/net/response_head.hpp"

#include "dragonflyvane/core/http_message.hpp"
#include "dragonflyvane/net/http_wire.hpp"

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

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
