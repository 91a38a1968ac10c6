#include "dragonflyvane/core/cluster/host_info.hpp"

#include "dragonflyvane/core/json_fields.hpp"

namespace dragonflyvane {

std::string formatAvailability(server_availability Availability) {
  switch (Availability) {
  case server_availability::None:
    return "none";
  case server_availability::Ready:
    return "ready";
  case server_availability::Leaving:
    return "leaving";
  case server_availability::Down:
    return "down";
  }
  return "none";
}

std::string encodeHost(const host_info &Host) {
  nlohmann::json Row = {{"peer", toString(Host.PeerEndpoint)},
                        {"domain", Host.FailureDomain},
                        {"service", Host.Service},
                        {"standing", static_cast<int>(Host.Availability)},
                        {"instance", Host.Incarnation.Instance},
                        {"born", Host.Incarnation.StartedAtMs},
                        {"slots", Host.Slots},
                        {"processor", Host.CpuShare}};
  if (!Host.Version.empty())
    Row["version"] = Host.Version;
  return Row.dump();
}

host_info decodeHost(const std::string &Text) {
  try {
    nlohmann::json Json = parseJson(Text);
    host_info Host;
    Host.PeerEndpoint = parseEndpoint(requireText(Json, "peer"));
    Host.FailureDomain = requireField(Json, "domain").get<std::string>();
    Host.Service = requireField(Json, "service").get<std::string>();
    Host.Availability = static_cast<server_availability>(requireInteger<int>(
        Json, "standing", static_cast<int>(server_availability::None),
        static_cast<int>(server_availability::Down)));
    Host.Incarnation = {requireField(Json, "instance").get<std::string>(),
                        requireInteger<int64_t>(Json, "born", 0)};
    Host.Slots = requireInteger<uint32_t>(Json, "slots");
    Host.CpuShare = requireNumber(Json, "processor");
    if (Json.contains("version"))
      Host.Version = requireText(Json, "version");
    return Host;
  } catch (const std::exception &Error) {
    throw step_error("host row", "", Error.what());
  }
}

} // namespace dragonflyvane
