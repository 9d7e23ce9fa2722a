#include "testbed/standin/topology.h"

#include "common/toml_table_reader.h"

namespace linenpier::standin {

namespace {

using settings::readArray;
using settings::TableReader;

StoreLimits readLimits(const toml::table& root, const std::string& file, Findings& findings) {
  StoreLimits limits;
  const toml::table* table = root["store"].as_table();
  if (table == nullptr) return limits;
  TableReader reader(*table, file, findings);
  limits.table_ms = reader.number("table_ms", limits.table_ms);
  limits.table_rate = reader.number("table_rate", limits.table_rate);
  limits.object_ms = reader.number("object_ms", limits.object_ms);
  limits.object_rate = reader.number("object_rate", limits.object_rate);
  limits.prefetch_ms = reader.number("prefetch_ms", limits.prefetch_ms);
  limits.list_lag_ms = reader.number("list_lag_ms", limits.list_lag_ms);
  limits.load_lag_ms = reader.number("load_lag_ms", limits.load_lag_ms);
  return limits;
}

EnginePool readPool(TableReader& reader) {
  EnginePool pool;
  pool.name = reader.text("name");
  pool.model = ModelName(reader.text("model"));
  pool.zone = ZoneName(reader.text("zone"));
  pool.count = reader.number("count", pool.count);
  pool.slots = reader.number("slots", pool.slots);
  pool.token_ms = reader.number("token_ms", pool.token_ms);
  pool.swap_ms = reader.number("swap_ms", pool.swap_ms);
  return pool;
}

ListedDaemon readDaemon(TableReader& reader) {
  return {DaemonId(reader.text("id")), ZoneName(reader.text("zone")),
          RegionName(reader.text("region")), reader.address("control", true),
          reader.address("relay", false)};
}

}  // namespace

tl::expected<Topology, Findings> readTopology(const std::string& file) {
  return settings::readTomlFile<Topology>(file, [&file](const toml::table& root, TableReader& top,
                                                        Topology& topology, Findings& findings) {
    topology.listen = top.address("listen", true);
    topology.limits = readLimits(root, file, findings);
    readArray(root, "pool", file, findings,
              [&topology](TableReader& reader) { topology.pools.push_back(readPool(reader)); });
    readArray(root, "daemon", file, findings,
              [&topology](TableReader& reader) { topology.daemons.push_back(readDaemon(reader)); });
  });
}

}  // namespace linenpier::standin
