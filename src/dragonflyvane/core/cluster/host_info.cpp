#include "dragonflyvane/core/cluster/host_info.hpp"

#include "dragonflyvane/core/error.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

std::string nameOf(server_standing Standing) {
  switch (Standing) {
  case server_standing::None:
    return "none";
  case server_standing::Ready:
    return "ready";
  case server_standing::Leaving:
    return "leaving";
  case server_standing::Down:
    return "down";
  }
  return "none";
}

std::string encodeHost(const host_info &Host) {
  return nlohmann::json{{"peer", Host.PeerAddress},
                        {"domain", Host.FailureDomain},
                        {"service", Host.Service},
                        {"standing", static_cast<int>(Host.Standing)},
                        {"instance", Host.Life.Instance},
                        {"born", Host.Life.Born},
                        {"slots", Host.Slots},
                        {"processor", Host.ProcessorShare}}
      .dump();
}

host_info decodeHost(const std::string &Text) {
  try {
    auto Json = nlohmann::json::parse(Text);
    host_info Host;
    Host.PeerAddress = Json.at("peer").get<std::string>();
    Host.FailureDomain = Json.at("domain").get<std::string>();
    Host.Service = Json.at("service").get<std::string>();
    Host.Standing =
        static_cast<server_standing>(Json.at("standing").get<int>());
    Host.Life = {Json.at("instance").get<std::string>(),
                 Json.at("born").get<int64_t>()};
    Host.Slots = Json.at("slots").get<uint32_t>();
    Host.ProcessorShare = Json.at("processor").get<double>();
    return Host;
  } catch (const nlohmann::json::exception &Error) {
    throw step_error("host row", "", Error.what());
  }
}

} // namespace dragonflyvane
