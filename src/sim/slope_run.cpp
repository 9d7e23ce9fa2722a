#include "sim/slope_run.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace linenpier::sim {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(100);
/// News of the start has rested after this.
constexpr Duration kSettled = std::chrono::seconds(60);
constexpr Duration kMeasured = std::chrono::seconds(30);
constexpr double kLimit = 180;

/// @return resident memory of this process, in megabytes.
double residentMegabytes() {
  std::ifstream statm("/proc/self/statm");
  long all = 0;
  long resident = 0;
  statm >> all >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// Runs until `done` holds. @return virtual seconds taken, or a negative number at the limit.
template <typename Done>
double runUntil(HollowFleet& fleet, Done done) {
  const Instant begin = fleet.now();
  while (!done()) {
    fleet.run(kStep);
    if (toSeconds(fleet.now() - begin) > kLimit) return -1;
  }
  return toSeconds(fleet.now() - begin);
}

void measureCost(HollowFleet& fleet, SlopeResult& result) {
  fleet.resetCost();
  fleet.run(kMeasured);
  const FleetCost cost = fleet.cost();
  const double daemon_seconds = cost.virtual_s * result.options.daemons;
  result.cpu_share = cost.cpu_s / daemon_seconds;
  // Every datagram is sent by one daemon and received by another.
  result.bytes_per_s = 2.0 * static_cast<double>(cost.bytes) / daemon_seconds;
  result.datagrams_per_s = static_cast<double>(cost.datagrams) / daemon_seconds;
  result.table_reads_per_s = static_cast<double>(cost.table_reads) / cost.virtual_s;
  result.table_writes_per_s = static_cast<double>(cost.table_writes) / cost.virtual_s;
  for (const auto& [name, bytes] : cost.bytes_by_message) {
    result.bytes_by_message[name] = static_cast<double>(bytes) / daemon_seconds;
  }
}

}  // namespace

SlopeResult measureSlope(const FleetOptions& options) {
  SlopeResult result;
  result.options = options;
  const double before_mb = residentMegabytes();
  HollowFleet fleet(options);
  result.settle_s = runUntil(fleet, [&] {
    return fleet.daemonsWithWrongView() == 0 && fleet.enginesWithoutOwner() == 0 &&
           fleet.daemonsBehind(options.tenants + 1) == 0;
  });
  fleet.run(kSettled);
  measureCost(fleet, result);
  result.memory_mb = (residentMegabytes() - before_mb) / options.daemons;

  const Revision changed = fleet.changeConfig(0);
  result.config_spread_s = runUntil(fleet, [&] { return fleet.daemonsBehind(changed) == 0; });
  const Revision last = fleet.changeConfig(1 % options.daemons);
  fleet.setTableUp(false);
  result.config_spread_down_s = runUntil(fleet, [&] { return fleet.daemonsBehind(last) == 0; });
  fleet.setTableUp(true);
  fleet.run(std::chrono::seconds(5));

  fleet.publish(0, 2);
  result.weights_s = runUntil(fleet, [&] { return fleet.enginesBehind(0, 2) == 0; });

  fleet.kill(0);
  result.takeover_s = runUntil(fleet, [&] { return fleet.enginesWithoutOwner() == 0; });
  for (std::uint32_t i = 0; i < options.daemons; i += 5) fleet.kill(i);
  result.fifth_lost_s = runUntil(fleet, [&] { return fleet.daemonsWithWrongView() == 0; });
  return result;
}

std::string toJson(const SlopeResult& result) {
  return nlohmann::json{{"daemons", result.options.daemons},
                        {"engines", result.options.engines},
                        {"zones", result.options.zones},
                        {"regions", result.options.regions},
                        {"tenants", result.options.tenants},
                        {"cpu_share_per_daemon", result.cpu_share},
                        {"memory_mb_per_daemon", result.memory_mb},
                        {"control_bytes_per_s_per_daemon", result.bytes_per_s},
                        {"datagrams_per_s_per_daemon", result.datagrams_per_s},
                        {"table_reads_per_s", result.table_reads_per_s},
                        {"table_writes_per_s", result.table_writes_per_s},
                        {"settle_s", result.settle_s},
                        {"config_spread_s", result.config_spread_s},
                        {"config_spread_table_down_s", result.config_spread_down_s},
                        {"weights_on_all_s", result.weights_s},
                        {"takeover_s", result.takeover_s},
                        {"fifth_lost_seen_s", result.fifth_lost_s},
                        {"bytes_sent_per_s_by_message", result.bytes_by_message}}
      .dump();
}

std::string toTable(const SlopeResult& result) {
  char buffer[1024];
  std::snprintf(
      buffer, sizeof(buffer),
      "%u daemons, %u engines, %u zones, %u tenants\n"
      "  per daemon: %.3f %% of a core, %.2f MB, %.2f KB/s in and out, %.1f datagrams/s\n"
      "  table: %.1f reads/s, %.2f writes/s\n"
      "  settled after %.1f s; configuration in force after %.1f s (table down: %.1f s)\n"
      "  weights on all after %.1f s; takeover %.1f s; a fifth lost seen after %.1f s\n",
      result.options.daemons, result.options.engines, result.options.zones, result.options.tenants,
      result.cpu_share * 100, result.memory_mb, result.bytes_per_s / 1000, result.datagrams_per_s,
      result.table_reads_per_s, result.table_writes_per_s, result.settle_s, result.config_spread_s,
      result.config_spread_down_s, result.weights_s, result.takeover_s, result.fifth_lost_s);
  std::string text = buffer;
  for (const auto& [name, bytes] : result.bytes_by_message) {
    std::snprintf(buffer, sizeof(buffer), "    %-18s %8.0f B/s sent\n", name.c_str(), bytes);
    text += buffer;
  }
  return text;
}

}  // namespace linenpier::sim
