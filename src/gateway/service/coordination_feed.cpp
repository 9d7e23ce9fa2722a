#include "gateway/service/coordination_feed.h"

#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

namespace {

/** Long-poll timeout of one watch call. */
constexpr Duration kWatchTimeout = std::chrono::milliseconds(1500);
/** Batching interval of changes at a gateway that may be assigned a job or has readers waiting for
 * results.
 */
constexpr Duration kActiveCoalesceInterval = std::chrono::milliseconds(20);
/** Batching interval of changes at a gateway that cannot be assigned a job and has no readers
 * waiting for results.
 */
constexpr Duration kIdleCoalesceInterval = std::chrono::milliseconds(80);

}  // namespace

coordination_feed::coordination_feed(boost::asio::io_context& loop, table::AsyncTable& table,
                                     row_handlers row_handlers, listener listener,
                                     std::uint64_t seed)
    : handlers_(row_handlers),
      listener_(std::move(listener)),
      watcher_(loop, table, table::kCoordinationTable, watcherOptions(*this, seed),
               watcherListener(*this)) {}

table::TableWatcher::Listener coordination_feed::watcherListener(coordination_feed& feed) {
  table::TableWatcher::Listener listener;
  listener.on_snapshot = [&feed](const std::vector<table::Row>& rows) { feed.onSnapshot(rows); };
  listener.on_change = [&feed](const table::RowChange& change) { feed.onChange(change); };
  listener.on_health = feed.listener_.on_health;
  listener.on_clock = feed.listener_.on_store_clock;
  return listener;
}

table::WatcherOptions coordination_feed::watcherOptions(const coordination_feed& feed,
                                                        std::uint64_t seed) {
  table::WatcherOptions options;
  options.wait = kWatchTimeout;
  options.coalesce = [&feed] {
    const bool awaited = feed.listener_.owns_work() || feed.handlers_.batches.hasWaitingReaders();
    return awaited ? kActiveCoalesceInterval : kIdleCoalesceInterval;
  };
  options.seed = seed;
  return options;
}

void coordination_feed::onSnapshot(const std::vector<table::Row>& rows) {
  std::set<suspects::request_key> suspected;
  for (const table::Row& row : rows) {
    this->onChange({row, false});
    const std::string key = table::keyWithoutTable(row);
    if (key.starts_with(table::kSuspectPrefix)) {
      suspected.emplace(key.substr(table::kSuspectPrefix.size()));
    }
  }
  this->handlers_.rollouts.onTableRead();
  this->handlers_.usage.onTableRead();
  this->handlers_.scaling.onTableRead();
  this->handlers_.suspects.onTableRead(suspected, this->watcher_.revision());
}

void coordination_feed::onChange(const table::RowChange& change) {
  const std::string key = table::keyWithoutTable(change.row);
  const auto suffixAfter = [&key](const std::string& prefix) { return key.substr(prefix.size()); };
  auto& [batches, rollouts, usage, scaling, suspect_requests] = this->handlers_;
  if (key.starts_with(table::kJobPrefix)) {
    const JobId id(suffixAfter(table::kJobPrefix));
    change.removed ? batches.onRecordRemoved(id) : batches.onRecordRow(id, change.row);
  } else if (key.starts_with(table::kServiceLockPrefix)) {
    const ServiceName service(suffixAfter(table::kServiceLockPrefix));
    change.removed ? rollouts.onLockRemoved(service) : rollouts.onLockRow(service, change.row);
  } else if (key.starts_with(table::kSuspectPrefix)) {
    const suspects::request_key suspect(suffixAfter(table::kSuspectPrefix));
    change.removed ? suspect_requests.onRowGone(suspect, change.row.revision)
                   : suspect_requests.onRow(suspect, change.row);
  } else if (key == table::kLockPrefix + "usage") {
    change.removed ? usage.onLockRemoved() : usage.onLockRow(change.row);
  } else if (key == table::kLockPrefix + "scaling") {
    change.removed ? scaling.onLockRemoved() : scaling.onLockRow(change.row);
  } else if (key == table::kClusterTimeName && !change.removed) {
    usage.onClockRow(change.row);
  }
}

}  // namespace linenpier::gateway
