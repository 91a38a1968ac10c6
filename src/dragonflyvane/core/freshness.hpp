/// Whether a daemon may still act on the configuration it knows.
#ifndef DRAGONFLYVANE_CORE_FRESHNESS_HPP
#define DRAGONFLYVANE_CORE_FRESHNESS_HPP

#include "dragonflyvane/core/clock.hpp"
#include "dragonflyvane/core/messages.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dragonflyvane {

/// A configuration counts as current for so long after the last evidence.
inline constexpr std::chrono::milliseconds MaxConfigurationAge{3000};

/// Collects evidence that no newer configuration is in force: own reads of the
/// table, reads of peers, or the word of every member that it knows of none.
/// Times count from the sending of a question, so that nothing that waited
/// while this process was paused passes for new.
class freshness {
public:
  /// The table was read; the read began at this time.
  void onRead(time_point Begun);
  void onReply(const std::string &Host, const status_reply &Reply,
               time_point Asked);

  /// Members that need not answer, as they are proven lapsed.
  using is_excused = std::function<bool(const std::string &)>;

  /// `Version` is the configuration known here; `Others` are the other members.
  template <typename Hosts>
  bool isCurrent(row_version Version, const Hosts &Others,
                 const is_excused &IsExcused, time_point Now) const {
    if (isRecent(LastRead, Now) || hasPeerRead(Version, Now))
      return true;
    for (const auto &[Host, Row] : Others)
      if (!IsExcused(Host) && !knowsNothingNewer(Host, Version, Now))
        return false;
    return true;
  }

  /// How long ago the last read by this daemon began.
  std::optional<duration> readAge(time_point Now) const;

private:
  struct evidence {
    row_version Version = 0;
    time_point Asked;
    std::optional<time_point> ReadBegun;
  };

  static bool isRecent(const std::optional<time_point> &Time, time_point Now);
  bool hasPeerRead(row_version Version, time_point Now) const;
  bool knowsNothingNewer(const std::string &Host, row_version Version,
                         time_point Now) const;

  std::optional<time_point> LastRead;
  std::map<std::string, evidence> Peers;
};

} // namespace dragonflyvane

#endif // DRAGONFLYVANE_CORE_FRESHNESS_HPP
