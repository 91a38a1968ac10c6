#include "dragonflyvane/core/rollout/rollout_evidence.hpp"

#include <algorithm>
#include <optional>

namespace dragonflyvane {

namespace {

/// A server with fewer responses says little about the speed of its version.
constexpr uint64_t MinResponsesOfServer = 10;
/// Bounds the memory and the CPU time of a rollout that does not end.
constexpr size_t MaxEntries = 20'000;

} // namespace

version_pair rollout_sample::total() const {
  version_pair Total;
  for (const auto &[Route, Pair] : Routes) {
    Total.New += Pair.New;
    Total.Old += Pair.Old;
  }
  return Total;
}

void rollout_evidence::add(time_point Now, const std::string &Host, bool IsNew,
                           const std::vector<version_outcomes> &Outcomes) {
  if (Entries.size() > MaxEntries)
    summarizeOld();
  for (const version_outcomes &Outcome : Outcomes)
    Entries.push_back({Now, Host, IsNew, Outcome.Route, Outcome.Counts});
}

void rollout_evidence::summarizeOld() {
  auto End = Entries.begin() + MaxEntries / 2;
  for (auto It = Entries.begin(); It != End; ++It) {
    version_pair &Pair = Summarized[It->Route];
    (It->IsNew ? Pair.New : Pair.Old) += It->Counts;
  }
  Entries.erase(Entries.begin(), End);
}

rollout_sample rollout_evidence::since(time_point Since) const {
  rollout_sample Sample;
  if (Since == time_point{})
    Sample.Routes = Summarized;
  std::map<std::string, uint64_t> ResponsesOfServer;
  std::optional<time_point> First;
  for (const entry &Entry : Entries) {
    if (Entry.At < Since)
      continue;
    version_pair &Pair = Sample.Routes[Entry.Route];
    (Entry.IsNew ? Pair.New : Pair.Old) += Entry.Counts;
    if (!Entry.IsNew)
      continue;
    ResponsesOfServer[Entry.Host] += Entry.Counts.Responses;
    if (!First)
      First = Entry.At;
    Sample.Span = Entry.At - *First;
  }
  Sample.NewServers = std::count_if(
      ResponsesOfServer.begin(), ResponsesOfServer.end(),
      [](const auto &R) { return R.second >= MinResponsesOfServer; });
  return Sample;
}

} // namespace dragonflyvane
