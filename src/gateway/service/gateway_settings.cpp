#include "gateway/service/gateway_settings.h"

#include <boost/algorithm/string/trim.hpp>
#include <sstream>

#include "common/toml_reader.h"

namespace linenpier::gateway {

namespace {

/// Time added to the platform's lock handover pause to allow for differences in clock rate.
constexpr double kBytesPerMb = 1e6;
constexpr Duration kHandoverMargin = std::chrono::milliseconds(100);
/// Time added to job retention to allow for clock differences between readers, submitters and the
/// store.
constexpr Duration kJobRetentionMargin = std::chrono::seconds(30);

/// Entry of `duties.names` that permits this gateway to order a number of engines.
constexpr char kAutoscaleDuty[] = "autoscale";

bool containsEntry(const std::string& text, const std::string& word) {
  std::istringstream list(text);
  std::string entry;
  while (std::getline(list, entry, ',')) {
    if (boost::algorithm::trim_copy(entry) == word) return true;
  }
  return false;
}

scaling::ScalingMode scalingModeFromName(const std::string& name) {
  if (name == "replace") return scaling::ScalingMode::kReplace;
  return name == "demand" ? scaling::ScalingMode::kDemand : scaling::ScalingMode::kFixed;
}

std::optional<versions::LoadMode> loadModeFromName(const std::string& name) {
  if (name == "auto") return std::nullopt;
  if (name == "wait") return versions::LoadMode::kWait;
  return name == "retain" ? versions::LoadMode::kRetain : versions::LoadMode::kCancel;
}

/// @param text comma-separated addresses; may be empty.
std::vector<Address> parseAddressList(const std::string& text, settings::TomlReader& reader) {
  std::vector<Address> seeds;
  std::istringstream list(text);
  std::string entry;
  while (std::getline(list, entry, ',')) {
    const auto address = parseAddress(entry);
    if (address) {
      seeds.push_back(*address);
    } else {
      reader.report("peers.seeds", "\"" + entry + "\" is not an IP address and port");
    }
  }
  return seeds;
}

fleet::fleet_layout readLayout(settings::TomlReader& reader) {
  std::map<std::string, std::string> region_names;
  reader.readStrings("zones", region_names);
  std::map<ZoneName, RegionName> regions;
  for (const auto& [zone, region] : region_names) regions[ZoneName(zone)] = RegionName(region);
  return fleet::fleet_layout(std::move(regions));
}

}  // namespace

tl::expected<GatewaySettings, Findings> parseGatewaySettings(const std::string& file,
                                                             const std::string& text) {
  GatewaySettings settings;
  settings::TomlReader reader(file, text, {});
  std::string id;
  std::string zone;
  std::string format = "json";
  std::string output = "on";
  std::int64_t row_bytes = 65536;
  double stop_seconds = toSeconds(settings.shutdown_timeout);
  double order_pause_ms = toSeconds(settings.handover.pause - kHandoverMargin) * 1000;
  std::string tokens = "unchecked";
  reader.readString("daemon.id", id, true);
  reader.readString("daemon.zone", zone, true);
  settings.layout = readLayout(reader);
  reader.readAddress("listen.requests", settings.request_address, true);
  reader.readAddress("listen.readiness", settings.readiness_address, true);
  Address metrics;
  reader.readAddress("listen.metrics", metrics, false);
  Address peers;
  reader.readAddress("listen.peers", peers, false);
  if (peers.port != 0) settings.peer_address = peers;
  std::string seeds;
  reader.readString("peers.seeds", seeds, false);
  settings.seed_peers = parseAddressList(seeds, reader);
  if (metrics.port != 0) settings.metrics_address = metrics;
  reader.readAddress("store.address", settings.store_address, true);
  reader.readInteger("store.row_bytes", row_bytes, 1024, 64 * 1024 * 1024);
  Address duties;
  double window_seconds = 0;
  reader.readAddress("duties.address", duties, false);
  if (duties.port != 0) settings.control_plane_address = duties;
  reader.readNumber("duties.usage_window_seconds", window_seconds, 0, 86400);
  std::string duty_names;
  std::string scaling_mode = "fixed";
  reader.readString("duties.names", duty_names, false);
  reader.readChoice("duties.scaling", scaling_mode, {"fixed", "replace", "demand"});
  reader.readNumber("duties.scaling_items_per_slot", settings.scaling.items_per_slot, 0.1, 1e6);
  double processor_share = 1;
  double cores = 1;
  reader.readNumber("machine.processor_share", processor_share, 0.001, 1024);
  reader.readNumber("machine.cores", cores, 0.001, 1024);
  reader.readNumber("machine.link_mbps", settings.machine.link_mbps, 0.001, 1e7);
  double memory_mb = 0;
  reader.readNumber("machine.memory_mb", memory_mb, 0, 1e7);
  reader.readNumber("stop.seconds", stop_seconds, 1, 3600);
  reader.readNumber("orders.pause_ms", order_pause_ms, 0, 600000);
  reader.readChoice("orders.tokens", tokens, {"checked", "unchecked"});
  reader.readChoice("log.format", format, {"json", "text"});
  reader.readChoice("log.output", output, {"on", "off"});
  std::string mode = "auto";
  double patience_ms = toSeconds(settings.rollout.busy_timeout) * 1000;
  reader.readChoice("versions.mode", mode, {"auto", "wait", "cancel", "retain"});
  reader.readNumber("versions.patience_ms", patience_ms, 0, 600000);
  reader.readNumber("versions.quiet_share", settings.rollout.quiet_share, 0, 1);
  reader.readNumber("batch.move_gain", settings.batch.move_rules.min_speedup, 1, 1000);
  reader.readNumber("batch.requests_per_slot", settings.batch.requests_per_slot, 0.1, 10);
  reader.readNumber("engines.cold_overshoot", settings.cold.bound_factor, 0, 1000);
  reader.readNumber("engines.cold_slack", settings.cold.extra_per_second, 0, 1e6);
  double heartbeat_ms = toSeconds(settings.engine_heartbeat) * 1000;
  reader.readNumber("engines.heartbeat_ms", heartbeat_ms, 1, 600000);
  double keep_seconds = toSeconds(settings.batch.job_retention);
  reader.readNumber("batch.keep_seconds", keep_seconds, 1, 1e6);
  double leave_zone_ms = toSeconds(settings.batch.zone_drain.drain_time) * 1000;
  reader.readNumber("batch.leave_zone_ms", leave_zone_ms, 0, 600000);
  const Findings findings = reader.finish();
  if (!findings.empty()) return tl::make_unexpected(findings);
  settings.id = DaemonId(id);
  settings.zone = ZoneName(zone);
  settings.machine.processors = processor_share * cores;
  if (memory_mb > 0) settings.memory_bytes = static_cast<std::size_t>(memory_mb * kBytesPerMb);
  settings.max_row_bytes = static_cast<std::size_t>(row_bytes);
  settings.shutdown_timeout = fromSeconds(stop_seconds);
  settings.handover = {fromSeconds(order_pause_ms / 1000) + kHandoverMargin, tokens == "checked"};
  settings.usage.window = fromSeconds(window_seconds);
  settings.usage.handover = settings.handover;
  const bool autoscales =
      settings.control_plane_address && containsEntry(duty_names, kAutoscaleDuty);
  if (autoscales) settings.scaling.mode = scalingModeFromName(scaling_mode);
  settings.rollout.busy_timeout = fromSeconds(patience_ms / 1000);
  settings.rollout.mode = loadModeFromName(mode);
  settings.engine_heartbeat = fromSeconds(heartbeat_ms / 1000);
  settings.batch.job_retention = fromSeconds(keep_seconds) + kJobRetentionMargin;
  settings.batch.zone_drain.drain_time = fromSeconds(leave_zone_ms / 1000);
  settings.log_as_text = format == "text";
  settings.log_enabled = output == "on";
  return settings;
}

}  // namespace linenpier::gateway
