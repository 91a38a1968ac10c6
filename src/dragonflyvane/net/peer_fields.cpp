#include "dragonflyvane/net/peer_fields.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>
#include <system_error>

namespace dragonflyvane {

namespace {

/// The time in milliseconds at which the message was passed to the connection.
/// If it had to wait for the connection, a comma and that time follow.
constexpr const char *SentAtField = "x-dragonflyvane-sent-at";
constexpr const char *BodyBytesField = "x-dragonflyvane-body-bytes";
/// A longer wait for a connection is not credible.
constexpr std::chrono::seconds MaxWait{10};

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Text;
}

std::string encodeSendTime(time_point Now, duration Waited) {
  std::string Text = std::to_string(inMilliseconds(Now.time_since_epoch()));
  if (inMilliseconds(Waited) > 0)
    Text.append(",").append(std::to_string(inMilliseconds(Waited)));
  return Text;
}

/// Reads a number that is not negative from the front of a text, and removes
/// it. Returns nothing if there is none.
std::optional<int64_t> takeNumber(std::string_view &Text) {
  int64_t Value = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc() || Value < 0)
    return std::nullopt;
  Text.remove_prefix(static_cast<size_t>(Read.ptr - Text.data()));
  return Value;
}

std::optional<send_time> decodeSendTime(std::string_view Text) {
  auto SentAt = takeNumber(Text);
  std::optional<int64_t> Waited = 0;
  if (Text.starts_with(',')) {
    Text.remove_prefix(1);
    Waited = takeNumber(Text);
  }
  if (!SentAt || !Waited || !Text.empty())
    return std::nullopt;
  send_time Time{std::chrono::milliseconds(*SentAt),
                 std::chrono::milliseconds(*Waited)};
  return Time.Waited <= MaxWait ? std::optional(Time) : std::nullopt;
}

std::optional<size_t> decodeBodyBytes(std::string_view Text) {
  auto Bytes = takeNumber(Text);
  bool IsValid = Bytes && Text.empty();
  return IsValid ? std::optional(static_cast<size_t>(*Bytes)) : std::nullopt;
}

void addFacts(header_list &Fields, const message_body &Body, time_point Now,
              duration Waited) {
  Fields.add(SentAtField, encodeSendTime(Now, Waited));
  if (!Body.empty())
    Fields.add(BodyBytesField, std::to_string(Body.size()));
}

void addLowercase(header_list &Fields, const header_list &Headers) {
  for (const header &H : Headers.all())
    Fields.add(toLower(H.Name), H.Value);
}

/// Values that hardly ever repeat would only displace other fields from the
/// table of the header compression.
uint8_t indexingFlag(const header &Field) {
  bool IsFact = Field.Name == SentAtField || Field.Name == BodyBytesField;
  return IsFact ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
}

} // namespace

header_list makeRequestFields(const http_request &Request, time_point Now,
                              duration Waited) {
  header_list Fields;
  Fields.add(":method", Request.Method);
  Fields.add(":scheme", "http");
  Fields.add(":path", Request.Target);
  addFacts(Fields, Request.Body, Now, Waited);
  addLowercase(Fields, Request.Headers);
  return Fields;
}

header_list makeResponseFields(const http_response &Response, time_point Now) {
  header_list Fields;
  Fields.add(":status", std::to_string(Response.Status));
  addFacts(Fields, Response.Body, Now, duration{0});
  addLowercase(Fields, Response.Headers);
  return Fields;
}

std::vector<nghttp2_nv> toNameValuePairs(header_list &Fields) {
  std::vector<nghttp2_nv> Pairs;
  for (const header &H : Fields.all())
    Pairs.push_back(
        {reinterpret_cast<uint8_t *>(const_cast<char *>(H.Name.data())),
         reinterpret_cast<uint8_t *>(const_cast<char *>(H.Value.data())),
         H.Name.size(), H.Value.size(), indexingFlag(H)});
  return Pairs;
}

bool isWellFormed(const std::string &Name, const std::string &Value) {
  auto Bytes = [](const std::string &Text) {
    return reinterpret_cast<const uint8_t *>(Text.data());
  };
  return nghttp2_check_header_name(Bytes(Name), Name.size()) != 0 &&
         nghttp2_check_header_value(Bytes(Value), Value.size()) != 0;
}

bool readFact(const std::string &Name, const std::string &Value,
              message_facts &Facts) {
  if (Name == SentAtField) {
    if (!Facts.SendTime)
      Facts.SendTime = decodeSendTime(Value);
    return true;
  }
  if (Name != BodyBytesField)
    return false;
  Facts.BodyBytes = decodeBodyBytes(Value);
  return true;
}

} // namespace dragonflyvane
