#include "dragonflyvane/node/flags.hpp"

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

std::string variableOf(const std::string &Flag) {
  std::string Name = "DRAGONFLYVANE_";
  for (char C : Flag)
    Name.push_back(C == '-' || C == '_' ? '_'
                                        : static_cast<char>(std::toupper(
                                              static_cast<unsigned char>(C))));
  return Name;
}

std::string nameOf(std::string Argument) {
  Argument.erase(0, Argument.find_first_not_of('-'));
  return Argument.substr(0, Argument.find('='));
}

bool isHelp(const std::string &Name) {
  return Name.compare(0, 4, "help") == 0 || Name == "version" ||
         Name == "flagfile" || Name == "fromenv";
}

void refuseUnknown(const std::vector<char *> &Arguments) {
  for (size_t I = 1; I < Arguments.size(); ++I) {
    std::string Argument = Arguments[I];
    if (Argument == "--")
      return;
    if (Argument.size() < 3 || Argument.compare(0, 2, "--") != 0)
      continue;
    std::string Name = nameOf(Argument);
    if (!isHelp(Name) && !absl::FindCommandLineFlag(Name))
      rejectFlag(Name, Argument, "a known flag; see --help");
  }
}

void takeVariables() {
  for (auto &[Name, Flag] : absl::GetAllFlags()) {
    std::string FlagName(Name);
    const char *Value = std::getenv(variableOf(FlagName).c_str());
    std::string Error;
    if (Value && !Flag->ParseFrom(Value, &Error))
      rejectFlag(FlagName, Value, Error);
  }
}

} // namespace

std::vector<std::string> parseFlags(int Count, char **Arguments,
                                    const std::string &Usage) {
  absl::SetProgramUsageMessage(Usage);
  takeVariables();
  refuseUnknown({Arguments, Arguments + Count});
  std::vector<char *> Rest = absl::ParseCommandLine(Count, Arguments);
  return {Rest.begin() + 1, Rest.end()};
}

std::string flagValue(const std::string &Name) {
  return absl::FindCommandLineFlag(Name)->CurrentValue();
}

void rejectFlag(const std::string &Name, const std::string &Value,
                const std::string &Accepted) {
  std::cerr << "--" << Name << " (or " << variableOf(Name) << "): got '"
            << Value << "', accepted: " << Accepted << "\n";
  std::exit(UsageExitCode);
}

std::string requiredFlag(const std::string &Name) {
  std::string Text = flagValue(Name);
  if (Text.empty())
    rejectFlag(Name, Text, "a text");
  return Text;
}

int64_t integerFlag(const std::string &Name, int64_t Low, int64_t High) {
  std::string Text = flagValue(Name);
  int64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto Read = std::from_chars(Text.data(), End, Number);
  bool Fits = Read.ec == std::errc() && Read.ptr == End && Number >= Low &&
              Number <= High;
  if (!Fits)
    rejectFlag(Name, Text,
               "a whole number from " + std::to_string(Low) + " to " +
                   std::to_string(High));
  return Number;
}

double doubleFlag(const std::string &Name, double Low, double High) {
  std::string Text = flagValue(Name);
  char *End = nullptr;
  double Number = std::strtod(Text.c_str(), &End);
  bool Fits = !Text.empty() && *End == '\0' && Number >= Low && Number <= High;
  if (!Fits)
    rejectFlag(Name, Text,
               "a number from " + std::to_string(Low) + " to " +
                   std::to_string(High));
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

std::string addressFlag(const std::string &Name) {
  std::string Text = flagValue(Name);
  try {
    return parseEndpoint(Text + ":1").Address;
  } catch (const step_error &) {
    rejectFlag(Name, Text, "an IP number");
  }
}

std::chrono::milliseconds millisecondsFlag(const std::string &Name, int64_t Low,
                                           int64_t High) {
  return std::chrono::milliseconds(integerFlag(Name, Low, High));
}

} // namespace dragonflyvane
