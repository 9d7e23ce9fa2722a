#include "daemon/settings/settings.h"

#include "common/toml_reader.h"
#include "daemon/upstream/routing_policy.h"

namespace linenpier::settings {

namespace {
constexpr std::size_t kMinSecret = 16;
}  // namespace

tl::expected<DaemonSettings, Findings> parseDaemonSettings(const std::string& file,
                                                           const std::string& text,
                                                           const Overrides& overrides) {
  DaemonSettings settings;
  TomlReader reader(file, text, overrides);
  std::string id;
  std::string zone;
  std::string region;
  reader.readString("daemon.id", id, true);
  reader.readString("daemon.zone", zone, true);
  reader.readString("daemon.region", region, true);
  reader.readAddress("daemon.http", settings.http, true);
  reader.readAddress("daemon.control", settings.control, true);
  settings.advertise = settings.control;
  reader.readAddress("daemon.advertise", settings.advertise, false);
  reader.readAddress("platform.address", settings.platform, true);
  reader.readString("secrets.fleet", settings.secret, true);
  reader.readString("secrets.operator", settings.operator_key, true);
  reader.readChoice("log.level", settings.log_level,
                    {"trace", "debug", "info", "warning", "error"});
  reader.readChoice("routing.policy", settings.routing_policy, upstream::routingPolicyNames());
  std::int64_t max_streams = settings.max_streams;
  std::int64_t max_body_kib = settings.max_body_kib;
  std::int64_t drain_seconds = settings.drain_limit / std::chrono::seconds(1);
  reader.readInteger("limits.max_streams", max_streams, 8, 20000);
  reader.readInteger("limits.max_body_kib", max_body_kib, 1, 65536);
  reader.readInteger("limits.drain_seconds", drain_seconds, 0, 3600);
  if (!settings.secret.empty() && settings.secret.size() < kMinSecret) {
    reader.report("secrets.fleet", "must have at least 16 characters");
  }
  const Findings findings = reader.finish();
  if (!findings.empty()) return tl::make_unexpected(findings);
  settings.id = DaemonId(id);
  settings.zone = ZoneName(zone);
  settings.region = RegionName(region);
  settings.max_streams = static_cast<std::uint32_t>(max_streams);
  settings.max_body_kib = static_cast<std::uint32_t>(max_body_kib);
  settings.drain_limit = std::chrono::seconds(drain_seconds);
  return settings;
}

}  // namespace linenpier::settings
