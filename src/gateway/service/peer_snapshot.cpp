#include "gateway/service/peer_snapshot.h"

#include <cstdlib>

#include "gateway/service/peer_rows.h"

namespace linenpier::gateway {

using nlohmann::json;

namespace {

constexpr char kSnapshotPath[] = "/snapshot";
constexpr char kConfigParameter[] = "config=";
constexpr char kEnginesParameter[] = "engines=";

std::uint64_t queryParameter(const std::string& target, const std::string& name) {
  const std::size_t at = target.find(name);
  if (at == std::string::npos) return 0;
  return std::strtoull(target.c_str() + at + name.size(), nullptr, 10);
}

}  // namespace

std::string snapshotTarget(const KnownRevisions& known) {
  return std::string(kSnapshotPath) + "?" + kConfigParameter +
         std::to_string(known.config_version) + "&" + kEnginesParameter +
         std::to_string(known.engines_revision);
}

KnownRevisions parseSnapshotTarget(const std::string& target) {
  return {queryParameter(target, kConfigParameter), queryParameter(target, kEnginesParameter)};
}

std::string encodeSnapshot(const PeerSnapshot& snapshot) {
  json closed = json::object();
  for (const auto& [zone, revision] : snapshot.closed_zones) closed[zone.str()] = revision;
  json document = {
      {"config_version", snapshot.config_version},     {"configuration", snapshot.configuration},
      {"zones_revision", snapshot.zones_revision},     {"closed_zones", std::move(closed)},
      {"engines_revision", snapshot.engines_revision}, {"engines", encodeRows(snapshot.engines)},
      {"suspects", encodeRows(snapshot.suspects)}};
  if (snapshot.engines_since) {
    document["engines_since"] = *snapshot.engines_since;
    document["engines_gone"] = snapshot.removed_engines;
  }
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<PeerSnapshot> decodeSnapshot(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  try {
    PeerSnapshot snapshot;
    snapshot.config_version = document.at("config_version").get<std::uint64_t>();
    snapshot.configuration = document.at("configuration").get<std::string>();
    // Gateways of earlier versions send no closed zones. Zones of revision 0 are never applied.
    snapshot.zones_revision = document.value("zones_revision", Revision{0});
    const json closed = document.value("closed_zones", json::object());
    for (const auto& [zone, revision] : closed.items()) {
      snapshot.closed_zones[ZoneName(zone)] = revision.get<Revision>();
    }
    snapshot.engines_revision = document.at("engines_revision").get<Revision>();
    snapshot.engines = decodeRows(document.at("engines"));
    if (document.contains("engines_since")) {
      snapshot.engines_since = document["engines_since"].get<Revision>();
      snapshot.removed_engines = document.at("engines_gone").get<std::vector<std::string>>();
    }
    // Gateways of earlier versions send no suspect requests.
    snapshot.suspects = decodeRows(document.value("suspects", json::array()));
    return snapshot;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace linenpier::gateway
