#include "dragonflyvane/core/cluster/host_info.hpp"

#include "dragonflyvane/core/error.hpp"

#include <nlohmann/json.hpp>

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
  return nlohmann::json{{"peer", Host.PeerAddress},
                        {"domain", Host.FailureDomain},
                        {"service", Host.Service},
                        {"standing", static_cast<int>(Host.Availability)},
                        {"instance", Host.Incarnation.Instance},
                        {"born", Host.Incarnation.StartedAtMs},
                        {"slots", Host.Slots},
                        {"processor", Host.CpuShare}}
      .dump();
}

host_info decodeHost(const std::string &Text) {
  try {
    auto Json = nlohmann::json::parse(Text);
    host_info Host;
    Host.PeerAddress = Json.at("peer").get<std::string>();
    Host.FailureDomain = Json.at("domain").get<std::string>();
    Host.Service = Json.at("service").get<std::string>();
    Host.Availability =
        static_cast<server_availability>(Json.at("standing").get<int>());
    Host.Incarnation = {Json.at("instance").get<std::string>(),
                        Json.at("born").get<int64_t>()};
    Host.Slots = Json.at("slots").get<uint32_t>();
    Host.CpuShare = Json.at("processor").get<double>();
    return Host;
  } catch (const nlohmann::json::exception &Error) {
    throw step_error("host row", "", Error.what());
  }
}

} // namespace dragonflyvane
