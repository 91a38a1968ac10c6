/// HTTP requests and responses as plain values, independent of any library.
#ifndef DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP
#define DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP

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

/// Header fields in order; names compare without regard to case, and a name
/// may occur more than once.
class header_list {
public:
  void add(std::string Name, std::string Value);
  /// Replaces every field of this name by one.
  void set(const std::string &Name, std::string Value);
  void remove(std::string_view Name);
  /// The first value of a name.
  std::optional<std::string> find(std::string_view Name) const;
  const std::vector<header> &all() const { return Fields; }

private:
  std::vector<header> Fields;
};

/// A request; `Target` is the path with its query.
struct http_request {
  std::string Method = "GET";
  std::string Target = "/";
  header_list Headers;
  std::string Body;
};

/// A whole response.
struct http_response {
  int Status = 200;
  header_list Headers;
  std::string Body;
};

/// A response with a JSON body.
http_response jsonResponse(int Status, std::string Body);

/// Whether two header names are equal without regard to case.
bool equalNames(std::string_view A, std::string_view B);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1),
/// those named by `Connection` among them.
void removeHopByHop(header_list &Headers);

/// Removes the fields that only daemons may set (`X-Dragonflyvane-*`).
void removeInternal(header_list &Headers);

/// The path of a target, without its query.
std::string_view pathOf(std::string_view Target);

/// The value of a query parameter, percent-decoded.
std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name);

/// Decodes `%XX`; a malformed escape stays as it is.
std::string percentDecode(std::string_view Text);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_HTTP_MESSAGE_HPP
