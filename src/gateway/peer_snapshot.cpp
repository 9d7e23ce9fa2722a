#include "gateway/peer_snapshot.h"

#include "gateway/peer_rows.h"

namespace linenpier::gateway {

using nlohmann::json;

std::string encodeSnapshot(const PeerSnapshot& snapshot) {
  json closed = json::object();
  for (const auto& [zone, revision] : snapshot.closed_zones) closed[zone.str()] = revision;
  const json document = {
      {"config_version", snapshot.config_version},     {"configuration", snapshot.configuration},
      {"zones_revision", snapshot.zones_revision},     {"closed_zones", std::move(closed)},
      {"engines_revision", snapshot.engines_revision}, {"engines", encodeRows(snapshot.engines)},
      {"suspects", encodeRows(snapshot.suspects)}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PeerSnapshot> decodeSnapshot(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    PeerSnapshot snapshot;
    snapshot.config_version = document.at("config_version").get<std::uint64_t>();
    snapshot.configuration = document.at("configuration").get<std::string>();
    // A daemon of before tells nothing of zones, which is never newer than what is known.
    snapshot.zones_revision = document.value("zones_revision", Revision{0});
    const json closed = document.value("closed_zones", json::object());
    for (const auto& [zone, revision] : closed.items()) {
      snapshot.closed_zones[ZoneName(zone)] = revision.get<Revision>();
    }
    snapshot.engines_revision = document.at("engines_revision").get<Revision>();
    snapshot.engines = decodeRows(document.at("engines"));
    // A daemon of before knows of none.
    snapshot.suspects = decodeRows(document.value("suspects", json::array()));
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::gateway
