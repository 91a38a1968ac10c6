#include "dragonflyvane/core/freshness.hpp"

#include <algorithm>

namespace dragonflyvane {

void freshness::onRead(time_point Begun) {
  LastRead = LastRead ? std::max(*LastRead, Begun) : Begun;
}

void freshness::onReply(const std::string &Host, const status_reply &Reply,
                        time_point Asked) {
  evidence &Known = Peers[Host];
  if (Asked < Known.Asked)
    return;
  Known.Version = Reply.ConfigurationVersion;
  Known.Asked = Asked;
  Known.ReadBegun.reset();
  if (Reply.HasRead)
    Known.ReadBegun = Asked - std::chrono::milliseconds(Reply.ReadAgeMs);
}

bool freshness::isRecent(const std::optional<time_point> &Time,
                         time_point Now) {
  return Time && Now - *Time <= MaxConfigurationAge;
}

bool freshness::hasPeerRead(row_version Version, time_point Now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Entry) {
    const evidence &Known = Entry.second;
    return Known.Version == Version && isRecent(Known.ReadBegun, Now);
  });
}

bool freshness::knowsNothingNewer(const std::string &Host, row_version Version,
                                  time_point Now) const {
  auto Found = Peers.find(Host);
  return Found != Peers.end() && Found->second.Version <= Version &&
         isRecent(Found->second.Asked, Now);
}

std::optional<duration> freshness::readAge(time_point Now) const {
  return LastRead ? std::optional(Now - *LastRead) : std::nullopt;
}

} // namespace dragonflyvane
