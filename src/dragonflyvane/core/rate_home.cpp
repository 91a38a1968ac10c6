#include "dragonflyvane/core/rate_home.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflyvane {

void rate_home::begin(const std::string &Workspace, time_point Now) {
  bucket &Bucket = Buckets[Workspace];
  Bucket = {};
  Bucket.Accrued = Now;
  Bucket.GrantsFrom = Now + ChunkHold;
}

bool rate_home::has(const std::string &Workspace) const {
  return Buckets.contains(Workspace);
}

double rate_home::outstanding(const bucket &Bucket) {
  double Sum = 0;
  for (const auto &[Key, Chunk] : Bucket.Outstanding)
    Sum += Chunk.Tokens;
  return Sum;
}

/// Takes chunks off the books that are reported as finished; what was left in
/// them goes back.
void rate_home::settle(bucket &Bucket, const std::string &Asker,
                       const token_ask &Ask) {
  for (const finished_chunk &Finished : Ask.Finished) {
    auto Found = Bucket.Outstanding.find({Asker, Finished.Chunk});
    if (Found == Bucket.Outstanding.end())
      continue;
    Bucket.Level += std::min(Finished.Unused, Found->second.Tokens);
    Bucket.Outstanding.erase(Found);
  }
}

/// Goes from one expiry of a chunk to the next: each makes room in the bucket
/// from then on, and not before.
void rate_home::accrue(bucket &Bucket, const workspace &Settings,
                       time_point Now) {
  while (true) {
    auto First =
        std::min_element(Bucket.Outstanding.begin(), Bucket.Outstanding.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.HeldUntil < B.second.HeldUntil;
                         });
    if (First == Bucket.Outstanding.end() || First->second.HeldUntil > Now)
      break;
    accrueStep(Bucket, Settings, First->second.HeldUntil);
    Bucket.Outstanding.erase(First);
  }
  accrueStep(Bucket, Settings, Now);
}

void rate_home::accrueStep(bucket &Bucket, const workspace &Settings,
                           time_point Now) {
  double Seconds = std::chrono::duration<double>(Now - Bucket.Accrued).count();
  Bucket.Accrued = Now;
  double Room = std::max(0.0, Settings.Burst - outstanding(Bucket));
  Bucket.Level = std::min(Room, Bucket.Level + Seconds * Settings.Rate);
}

token_grant rate_home::grant(const std::string &Asker, const token_ask &Ask,
                             const workspace &Settings, time_point Now) {
  token_grant Grant{Ask.Workspace, Ask.Sequence, 0};
  bucket &Bucket = Buckets.at(Ask.Workspace);
  accrue(Bucket, Settings, Now);
  settle(Bucket, Asker, Ask);
  uint64_t &Last = Bucket.LastAsk[Asker];
  bool Repeated = Ask.Sequence <= Last;
  if (Repeated || Now < Bucket.GrantsFrom)
    return Grant;
  Last = Ask.Sequence;
  Grant.Tokens =
      std::min(Ask.Wanted, static_cast<uint32_t>(std::floor(Bucket.Level)));
  if (Grant.Tokens == 0)
    return Grant;
  Bucket.Level -= Grant.Tokens;
  Bucket.Outstanding[{Asker, Ask.Sequence}] = {Grant.Tokens, Now + ChunkHold};
  return Grant;
}

} // namespace dragonflyvane
