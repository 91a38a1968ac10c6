#include "http2_frames.hpp"

namespace dragonflyvane {

std::string encodeFrame(frame_type Type, uint8_t Flags, uint8_t Stream,
                        const std::string &Payload) {
  size_t Size = Payload.size();
  std::string Head = {static_cast<char>(Size >> 16),
                      static_cast<char>(Size >> 8),
                      static_cast<char>(Size),
                      static_cast<char>(Type),
                      static_cast<char>(Flags),
                      0,
                      0,
                      0,
                      static_cast<char>(Stream)};
  return Head + Payload;
}

std::string encodedEntry() {
  // A literal with a new name of 1 byte and a value of 4,000 bytes.
  const std::string Start = {0x40, 1, 'b', 0x7f, '\xa1', 0x1e};
  return Start + std::string(4000, '#');
}

std::string encodedField() {
  const std::string Start = {0, 1, 'a', 100};
  return Start + std::string(100, '#');
}

std::string encodedField(const std::string &Name, const std::string &Value) {
  std::string Field = {0, static_cast<char>(Name.size())};
  Field += Name;
  Field += static_cast<char>(Value.size());
  return Field + Value;
}

std::string repeat(const std::string &Text, size_t Size) {
  std::string All;
  while (All.size() < Size)
    All += Text;
  return All;
}

} // namespace dragonflyvane
