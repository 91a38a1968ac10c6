#include "dragonflyvane/net/response_head.hpp"

#include "dragonflyvane/core/http_message.hpp"

namespace dragonflyvane {

namespace {

namespace http = boost::beast::http;

} // namespace

std::optional<std::string> describeFault(const response_head &Head) {
  int Status = static_cast<int>(Head.result_int());
  if (!isResponseStatus(Status))
    return "status " + std::to_string(Status);
  // No request asks for another protocol, in which the rest would be.
  if (Head.result() == http::status::switching_protocols)
    return "switches protocols";
  return std::nullopt;
}

} // namespace dragonflyvane
