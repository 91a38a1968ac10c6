/// HTTP requests and responses as plain values, independent of any HTTP
/// library.
#ifndef DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP
#define DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP

#include "dragonflyvane/core/message_body.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflyvane {

/// One header field.
struct header {
  std::string Name;
  std::string Value;
};

/// Header fields in the order of their insertion. Names are compared without
/// regard to case, and a name may occur more than once.
class header_list {
public:
  /// Appends a field, and keeps fields of the same name.
  void add(std::string Name, std::string Value);
  /// Replaces all fields of this name by a single field.
  void set(const std::string &Name, std::string Value);
  /// Removes all fields of this name.
  void remove(std::string_view Name);
  /// Returns the value of the first field of this name, if there is such a
  /// field.
  std::optional<std::string> find(std::string_view Name) const;
  const std::vector<header> &all() const { return Fields; }

private:
  std::vector<header> Fields;
};

/// A complete request.
struct http_request {
  std::string Method = "GET";
  /// The path with the query.
  std::string Target = "/";
  header_list Headers;
  message_body Body;
};

/// A complete response.
struct http_response {
  int Status = 200;
  header_list Headers;
  message_body Body;
};

/// Whether HTTP has responses of this status (RFC 9110, 15).
constexpr bool isResponseStatus(int Status) {
  return Status >= 100 && Status < 600;
}

/// Returns a response with a body of type `application/json`.
http_response jsonResponse(int Status, std::string Body);

/// Returns whether two header names are equal without regard to case.
bool equalNames(std::string_view A, std::string_view B);

/// Removes the fields that concern a single connection (RFC 9110, 7.6.1),
/// including those listed in `Connection`.
void removeHopByHop(header_list &Headers);

/// Removes the fields that only daemons may set (`X-Dragonflyvane-*`), so that
/// callers cannot forge them.
void removeInternal(header_list &Headers);

/// Returns the path of a target, without the query.
std::string_view pathOf(std::string_view Target);

/// Returns the percent-decoded value of the first query parameter of this name,
/// which is empty for a parameter without `=`; nothing if there is no such
/// parameter.
std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name);

/// Decodes `%XX`; a malformed escape sequence is copied unchanged.
std::string percentDecode(std::string_view Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP
