#include "dragonflyvane/node/admin/flags.hpp"

#include "dragonflyvane/core/error.hpp"

#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iostream>

namespace dragonflyvane {

namespace {

std::string environmentVariableOf(const std::string &Flag) {
  std::string Name = "DRAGONFLYVANE_";
  for (char C : Flag)
    Name.push_back(C == '-' || C == '_' ? '_'
                                        : static_cast<char>(std::toupper(
                                              static_cast<unsigned char>(C))));
  return Name;
}

std::string flagNameOf(std::string Argument) {
  Argument.erase(0, Argument.find_first_not_of('-'));
  return Argument.substr(0, Argument.find('='));
}

/// Whether Abseil itself defines and handles the flag.
bool isBuiltinFlag(const std::string &Name) {
  return Name.compare(0, 4, "help") == 0 || Name == "version" ||
         Name == "flagfile" || Name == "fromenv";
}

/// Rejects undefined flags before Abseil does, since Abseil exits with code 1.
void rejectUnknownFlags(const std::vector<char *> &Arguments) {
  for (size_t I = 1; I < Arguments.size(); ++I) {
    std::string Argument = Arguments[I];
    if (Argument == "--")
      return;
    if (Argument.size() < 3 || Argument.compare(0, 2, "--") != 0)
      continue;
    std::string Name = flagNameOf(Argument);
    if (!isBuiltinFlag(Name) && !absl::FindCommandLineFlag(Name))
      rejectFlag(Name, Argument, "a known flag; see --help");
  }
}

void applyEnvironment() {
  for (auto &[Name, Flag] : absl::GetAllFlags()) {
    std::string FlagName(Name);
    const char *Value = std::getenv(environmentVariableOf(FlagName).c_str());
    std::string Error;
    if (Value && !Flag->ParseFrom(Value, &Error))
      rejectFlag(FlagName, Value, Error);
  }
}

} // namespace

std::vector<std::string> parseFlags(int Count, char **Arguments,
                                    const std::string &Usage) {
  absl::SetProgramUsageMessage(Usage);
  applyEnvironment();
  rejectUnknownFlags({Arguments, Arguments + Count});
  std::vector<char *> Positional = absl::ParseCommandLine(Count, Arguments);
  return {Positional.begin() + 1, Positional.end()};
}

std::string flagValue(const std::string &Name) {
  return absl::FindCommandLineFlag(Name)->CurrentValue();
}

void rejectFlag(const std::string &Name, const std::string &Value,
                const std::string &Accepted) {
  std::cerr << "--" << Name << " (or " << environmentVariableOf(Name)
            << "): got '" << Value << "', accepted: " << Accepted << "\n";
  std::exit(UsageExitCode);
}

std::string requiredFlag(const std::string &Name) {
  std::string Text = flagValue(Name);
  if (Text.empty())
    rejectFlag(Name, Text, "a non-empty text");
  return Text;
}

int64_t integerFlag(const std::string &Name, int64_t Min, int64_t Max) {
  std::string Text = flagValue(Name);
  int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Number);
  bool IsValid = Parsed.ec == std::errc() && Parsed.ptr == End &&
                 Number >= Min && Number <= Max;
  if (!IsValid)
    rejectFlag(Name, Text,
               "a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
  return Number;
}

double doubleFlag(const std::string &Name, double Min, double Max) {
  std::string Text = flagValue(Name);
  char *End = nullptr;
  double Number = std::strtod(Text.c_str(), &End);
  bool IsValid =
      !Text.empty() && *End == '\0' && Number >= Min && Number <= Max;
  if (!IsValid)
    rejectFlag(Name, Text,
               "a number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
  return Number;
}

std::string choiceFlag(const std::string &Name,
                       const std::vector<std::string> &Choices) {
  std::string Text = flagValue(Name);
  if (std::find(Choices.begin(), Choices.end(), Text) != Choices.end())
    return Text;
  std::string Accepted;
  for (const std::string &Choice : Choices)
    Accepted += (Accepted.empty() ? "" : ", ") + Choice;
  rejectFlag(Name, Text, Accepted);
}

endpoint endpointFlag(const std::string &Name) {
  std::string Text = flagValue(Name);
  try {
    return parseEndpoint(Text);
  } catch (const step_error &) {
    rejectFlag(Name, Text, "IP:PORT");
  }
}

std::optional<endpoint> optionalEndpointFlag(const std::string &Name) {
  if (flagValue(Name).empty())
    return std::nullopt;
  return endpointFlag(Name);
}

std::string addressFlag(const std::string &Name) {
  std::string Text = flagValue(Name);
  try {
    return parseEndpoint(Text + ":1").Address;
  } catch (const step_error &) {
    rejectFlag(Name, Text, "an IP address");
  }
}

std::chrono::milliseconds millisecondsFlag(const std::string &Name, int64_t Min,
                                           int64_t Max) {
  return std::chrono::milliseconds(integerFlag(Name, Min, Max));
}

} // namespace dragonflyvane
