#include "gateway/service/operator_feed.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

operator_feed::operator_feed(boost::asio::io_context& loop, PlatformPort& platform,
                             closed_zones_monitor& zones, listener listener, std::uint64_t seed)
    : platform_(platform),
      zones_(zones),
      listener_(std::move(listener)),
      watcher_(loop, platform.table(), platform.operatorTable(), watcherOptions(seed),
               watcherListener(*this)) {}

table::TableWatcher::Listener operator_feed::watcherListener(operator_feed& feed) {
  table::TableWatcher::Listener listener;
  listener.on_snapshot = [&feed](const std::vector<table::Row>& rows) { feed.onSnapshot(rows); };
  listener.on_change = [&feed](const table::RowChange& change) { feed.onChange(change); };
  listener.on_health = [&feed](bool healthy) {
    if (healthy) feed.listener_.on_store_reachable();
  };
  return listener;
}

table::WatcherOptions operator_feed::watcherOptions(std::uint64_t seed) {
  table::WatcherOptions options;
  options.seed = seed;
  return options;
}

Revision operator_feed::zonesRevision() const {
  return std::max(this->zones_.revision(), this->watcher_.revision());
}

void operator_feed::onSnapshot(const std::vector<table::Row>& rows) {
  std::map<ZoneName, Revision> closed;
  for (const table::Row& row : rows) {
    const auto zone = this->platform_.parseClosedZone(table::keyWithoutTable(row));
    if (zone) closed[*zone] = row.revision;
  }
  this->zones_.onSnapshot(this->watcher_.revision(), closed, "store");
  for (const table::Row& row : rows) this->onRow(row);
}

void operator_feed::onChange(const table::RowChange& change) {
  const auto zone = this->platform_.parseClosedZone(table::keyWithoutTable(change.row));
  if (zone) {
    // A change without a revision still counts as newer than all changes delivered before.
    const Revision revision = std::max(change.row.revision, this->watcher_.revision() + 1);
    if (change.removed) {
      this->zones_.onZoneOpened(*zone, revision);
    } else {
      this->zones_.onZoneClosed(*zone, revision);
    }
  }
  if (!change.removed) this->onRow(change.row);
}

void operator_feed::onRow(const table::Row& row) {
  const std::string key = table::keyWithoutTable(row);
  if (this->platform_.isConfiguration(key)) {
    this->onConfiguration(row.value);
  } else if (const auto published = this->platform_.parsePublishedVersion(key, row.value)) {
    this->listener_.on_published_version(*published);
  }
}

void operator_feed::onConfiguration(const std::string& value) {
  auto parsed = this->platform_.parseConfiguration(value);
  if (!parsed) {
    LogEvent("config", "rejected").text("findings", describe(parsed.error()));
    return;
  }
  if (this->configuration_ && parsed->version <= this->configuration_->version) return;
  LogEvent("config", "in_force")
      .number("version", static_cast<std::int64_t>(parsed->version))
      .number("before", static_cast<std::int64_t>(this->configurationVersion()))
      .number("routes", static_cast<std::int64_t>(parsed->routes.size()))
      .number("tenants", static_cast<std::int64_t>(parsed->tenants.all().size()));
  this->configuration_with_hashed_keys_ = this->platform_.hashApiKeys(value);
  this->configuration_ = std::make_shared<const routing::Configuration>(std::move(*parsed));
  this->listener_.on_configuration(*this->configuration_);
}

}  // namespace linenpier::gateway
