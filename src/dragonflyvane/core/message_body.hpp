/// The body of a message, which is held once however often the message is
/// copied.
#ifndef DRAGONFLYVANE_CORE_MESSAGE_BODY_HPP
#define DRAGONFLYVANE_CORE_MESSAGE_BODY_HPP

#include "dragonflyvane/core/memory_budget.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace dragonflyvane {

/// Bytes that never change. Copies share them, and the last copy frees them
/// with their share of the memory budget.
class message_body {
public:
  /// An empty body.
  message_body() = default;
  /// A body outside of any memory budget. Conversions are implicit, as bodies
  /// are mostly written as text.
  message_body(std::string Bytes)
      : message_body(std::move(Bytes), memory_share()) {}
  message_body(const char *Text) : message_body(std::string(Text)) {}
  /// A body that takes `Share` of a memory budget.
  message_body(std::string Bytes, memory_share Share);

  /// Returns the bytes; valid as long as this body or a copy of it exists.
  const std::string &text() const;
  operator const std::string &() const { return text(); }
  operator std::string_view() const { return text(); }
  size_t size() const { return text().size(); }
  bool empty() const { return text().empty(); }

private:
  struct contents {
    std::string Bytes;
    memory_share Share;
  };

  std::shared_ptr<const contents> Contents;
};

inline bool operator==(const message_body &Body, std::string_view Text) {
  return std::string_view(Body.text()) == Text;
}

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_MESSAGE_BODY_HPP
