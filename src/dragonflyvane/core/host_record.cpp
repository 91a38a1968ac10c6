#include "dragonflyvane/core/host_record.hpp"

#include "dragonflyvane/core/error.hpp"

#include <nlohmann/json.hpp>

namespace dragonflyvane {

const witness_id *witness_set::find(const std::string &Host) const {
  for (const witness_id &Member : Members)
    if (Member.Host == Host)
      return &Member;
  return nullptr;
}

std::string hostRowKey(const std::string &Host) { return "hosts/" + Host; }

std::string encodeHost(const host_record &Record) {
  nlohmann::json Members = nlohmann::json::array();
  for (const witness_id &Member : Record.Witnesses.Members)
    Members.push_back(
        {{"host", Member.Host}, {"incarnation", Member.Incarnation}});
  nlohmann::json Document = {
      {"host", Record.Host},
      {"generation", Record.Generation},
      {"incarnation", Record.Incarnation},
      {"claimant", Record.Claimant},
      {"domain", Record.Domain},
      {"peer", Record.PeerAddress},
      {"datagram", Record.DatagramAddress},
      {"entrance", Record.EntranceAddress},
      {"services", Record.Services},
      {"witnesses",
       {{"version", Record.Witnesses.Version}, {"members", Members}}}};
  return Document.dump();
}

host_record decodeHost(const std::string &Text) {
  try {
    nlohmann::json Document = nlohmann::json::parse(Text);
    host_record Record;
    Record.Host = Document.at("host");
    Record.Generation = Document.at("generation");
    Record.Incarnation = Document.at("incarnation");
    Record.Claimant = Document.at("claimant");
    Record.Domain = Document.at("domain");
    Record.PeerAddress = Document.at("peer");
    Record.DatagramAddress = Document.at("datagram");
    Record.EntranceAddress = Document.at("entrance");
    Record.Services =
        Document.at("services").get<std::map<std::string, uint32_t>>();
    Record.Witnesses.Version = Document.at("witnesses").at("version");
    for (const auto &Member : Document.at("witnesses").at("members"))
      Record.Witnesses.Members.push_back(
          {Member.at("host"), Member.at("incarnation")});
    return Record;
  } catch (const std::exception &Error) {
    throw step_error("decode host row", "", Error.what());
  }
}

} // namespace dragonflyvane
