#include "dragonflyvane/core/http_message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace dragonflyvane {

namespace {

constexpr std::string_view InternalPrefix = "x-dragonflyvane-";

constexpr std::array<std::string_view, 9> HopByHopFields = {
    "connection", "keep-alive",       "proxy-authenticate",
    "te",         "proxy-connection", "proxy-authorization",
    "trailer",    "upgrade",          "transfer-encoding"};

char toLowerCase(char C) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
}

std::vector<std::string> splitTokens(const std::string &Text) {
  std::vector<std::string> Tokens(1);
  for (char C : Text) {
    if (C == ',')
      Tokens.emplace_back();
    else if (C != ' ' && C != '\t')
      Tokens.back().push_back(C);
  }
  return Tokens;
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (toLowerCase(C) >= 'a' && toLowerCase(C) <= 'f')
    return toLowerCase(C) - 'a' + 10;
  return -1;
}

} // namespace

http_response jsonResponse(int Status, std::string Body) {
  http_response Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = std::move(Body);
  return Response;
}

bool equalNames(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(), [](char X, char Y) {
    return toLowerCase(X) == toLowerCase(Y);
  });
}

void header_list::add(std::string Name, std::string Value) {
  Fields.push_back({std::move(Name), std::move(Value)});
}

void header_list::set(const std::string &Name, std::string Value) {
  remove(Name);
  add(Name, std::move(Value));
}

void header_list::remove(std::string_view Name) {
  std::erase_if(Fields,
                [&](const header &H) { return equalNames(H.Name, Name); });
}

std::optional<std::string> header_list::find(std::string_view Name) const {
  for (const header &H : Fields)
    if (equalNames(H.Name, Name))
      return H.Value;
  return std::nullopt;
}

void removeHopByHop(header_list &Headers) {
  std::vector<std::string> ConnectionNames;
  for (const header &H : Headers.all())
    if (equalNames(H.Name, "connection"))
      for (std::string &Token : splitTokens(H.Value))
        ConnectionNames.push_back(std::move(Token));
  for (const std::string &Name : ConnectionNames)
    if (!Name.empty())
      Headers.remove(Name);
  for (std::string_view Name : HopByHopFields)
    Headers.remove(Name);
}

void removeInternal(header_list &Headers) {
  std::vector<std::string> Names;
  for (const header &H : Headers.all())
    if (equalNames(std::string_view(H.Name).substr(0, InternalPrefix.size()),
                   InternalPrefix))
      Names.push_back(H.Name);
  for (const std::string &Name : Names)
    Headers.remove(Name);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string percentDecode(std::string_view Text) {
  std::string Result;
  for (size_t I = 0; I < Text.size(); ++I) {
    bool HasEscape = Text[I] == '%' && I + 2 < Text.size() &&
                     hexDigit(Text[I + 1]) >= 0 && hexDigit(Text[I + 2]) >= 0;
    if (!HasEscape) {
      Result.push_back(Text[I]);
      continue;
    }
    Result.push_back(
        static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2])));
    I += 2;
  }
  return Result;
}

std::optional<std::string> queryParameter(std::string_view Target,
                                          std::string_view Name) {
  size_t Separator = Target.find('?');
  while (Separator != std::string_view::npos) {
    std::string_view Rest = Target.substr(Separator + 1);
    size_t End = Rest.find('&');
    std::string_view Pair = Rest.substr(0, End);
    size_t Equals = Pair.find('=');
    if (percentDecode(Pair.substr(0, Equals)) == Name)
      return Equals == std::string_view::npos
                 ? std::string()
                 : percentDecode(Pair.substr(Equals + 1));
    Separator = End == std::string_view::npos ? End : Separator + 1 + End;
  }
  return std::nullopt;
}

} // namespace dragonflyvane
