#include "dragonflyvane/core/message_body.hpp"

namespace dragonflyvane {

message_body::message_body(std::string Bytes, memory_share Share) {
  if (!Bytes.empty())
    Contents = std::make_shared<const contents>(
        contents{std::move(Bytes), std::move(Share)});
}

const std::string &message_body::text() const {
  static const std::string Empty;
  return Contents ? Contents->Bytes : Empty;
}

} // namespace dragonflyvane
