/// The home of workspaces' token buckets: hands out chunks of tokens so that
/// all hosts together stay within a workspace's rate and burst.
#ifndef DRAGONFLYVANE_CORE_RATE_HOME_HPP
#define DRAGONFLYVANE_CORE_RATE_HOME_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/configuration.hpp"
#include "dragonflyvane/core/messages.hpp"

#include <map>
#include <string>
#include <utility>

namespace dragonflyvane {

/// A chunk's tokens may be used for so long from the sending of the ask.
inline constexpr std::chrono::milliseconds ChunkLife{250};

/// How long the home counts a chunk as usable: its life, and what two clocks
/// may drift apart meanwhile.
inline constexpr duration ChunkHold =
    duration(ChunkLife) + std::chrono::milliseconds(10);

/// Buckets whose home is this host. At any time, tokens in a bucket and in
/// chunks that may still be used are at most the burst; so no window of time
/// sees more than burst + rate × time.
class rate_home {
public:
  /// This host has become the home of the workspace. Chunks of the home before
  /// may be in use for `ChunkHold` more; until then nothing is handed out.
  void begin(const std::string &Workspace, time_point Now);
  bool has(const std::string &Workspace) const;
  void end(const std::string &Workspace) { Buckets.erase(Workspace); }

  /// Hands out up to what is asked for, perhaps nothing.
  token_grant grant(const std::string &Asker, const token_ask &Ask,
                    const workspace &Settings, time_point Now);

private:
  using chunk_key = std::pair<std::string, uint64_t>;
  struct chunk {
    uint32_t Tokens = 0;
    time_point HeldUntil;
  };
  struct bucket {
    double Level = 0;
    time_point Accrued;
    time_point GrantsFrom;
    std::map<chunk_key, chunk> Outstanding;
    std::map<std::string, uint64_t> LastAsk;
  };

  static void settle(bucket &Bucket, const std::string &Asker,
                     const token_ask &Ask);
  static void accrue(bucket &Bucket, const workspace &Settings, time_point Now);
  static void accrueStep(bucket &Bucket, const workspace &Settings,
                         time_point Until);
  static double outstanding(const bucket &Bucket);

  std::map<std::string, bucket> Buckets;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_RATE_HOME_HPP
