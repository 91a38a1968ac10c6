#include "dragonflyvane/core/endpoint.hpp"

#include "dragonflyvane/core/error.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace dragonflyvane {

std::string toString(const endpoint &Endpoint) {
  return Endpoint.Address + ":" + std::to_string(Endpoint.Port);
}

endpoint parseEndpoint(const std::string &Text) {
  endpoint Result;
  size_t Colon = Text.rfind(':');
  in_addr ParsedAddress{};
  if (Colon != std::string::npos)
    Result.Address = Text.substr(0, Colon);
  const char *End = Text.data() + Text.size();
  std::from_chars_result PortResult{};
  if (Colon != std::string::npos)
    PortResult = std::from_chars(Text.data() + Colon + 1, End, Result.Port);
  bool IsValid =
      Colon != std::string::npos && PortResult.ec == std::errc() &&
      PortResult.ptr == End && Result.Port != 0 &&
      inet_pton(AF_INET, Result.Address.c_str(), &ParsedAddress) == 1 &&
      Result.Address.find('\0') == std::string::npos;
  if (!IsValid)
    throw step_error("parse endpoint", "",
                     "expected IP:PORT, got '" + Text + "'");
  return Result;
}

} // namespace dragonflyvane
