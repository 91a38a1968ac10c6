/// HTTP/2 frames for tests that send what no sound peer sends.
#ifndef DRAGONFLYVANE_TESTS_HTTP2_FRAMES_HPP
#define DRAGONFLYVANE_TESTS_HTTP2_FRAMES_HPP

#include <cstdint>
#include <string>

namespace dragonflyvane {

enum class frame_type : uint8_t {
  Data = 0,
  Headers = 1,
  ResetStream = 3,
  Settings = 4,
  Continuation = 9,
};

/// The flag of a frame that ends a message.
constexpr uint8_t EndStreamFlag = 1;
/// The flag of a frame that ends a head.
constexpr uint8_t EndHeadersFlag = 4;
/// What a client sends before its first frame.
constexpr const char *ClientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Returns a frame; `Payload` must be smaller than 16 MB, `Stream` than 256.
std::string encodeFrame(frame_type Type, uint8_t Flags, uint8_t Stream,
                        const std::string &Payload);

/// The payload of a `ResetStream` frame by which a caller cancels its request.
inline const std::string CancelCode{"\0\0\0\x08", 4};

/// Heads in the encoding of HPACK. `encodedEntry` puts a field of 4,001 bytes
/// into the dynamic table; each `EncodedReference` after it repeats that field.
constexpr const char *EncodedPost = "\x83\x84";
constexpr const char *EncodedOk = "\x88";
constexpr const char *EncodedReference = "\xbe";
std::string encodedEntry();
/// Returns a field of 101 bytes that does not enter the dynamic table.
std::string encodedField();
/// Returns a field that does not enter the dynamic table. `Name` and `Value`
/// must be shorter than 127 bytes.
std::string encodedField(const std::string &Name, const std::string &Value);

/// Returns the text as often as it takes to have at least this size.
std::string repeat(const std::string &Text, size_t Size);

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_TESTS_HTTP2_FRAMES_HPP
