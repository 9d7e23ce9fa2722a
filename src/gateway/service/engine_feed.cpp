#include "gateway/service/engine_feed.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

/** Batching interval of engine changes at a gateway that runs batch items or manages engine
 * versions.
 */
constexpr Duration kActiveCoalesceInterval = std::chrono::milliseconds(150);
/** Batching interval of engine changes at a gateway that only forwards requests; short enough to
 * learn of draining engines within two seconds.
 */
constexpr Duration kIdleCoalesceInterval = std::chrono::milliseconds(500);
/** Number of log lines per second about single engines that are written without sampling. */
constexpr std::uint32_t kUnsampledLinesPerSecond = 10;
/** Number of engine changes per log line above the rate `kUnsampledLinesPerSecond`. */
constexpr std::uint32_t kSampleInterval = 20;

}  // namespace

engine_feed::engine_feed(dependencies deps, std::uint64_t seed)
    : deps_(std::move(deps)),
      change_log_sampler_(kUnsampledLinesPerSecond, kSampleInterval),
      watcher_(deps_.loop, deps_.platform.table(), deps_.platform.engineTable(),
               watcherOptions(*this, seed), listener(*this)) {}

table::TableWatcher::Listener engine_feed::listener(engine_feed& feed) {
  table::TableWatcher::Listener listener;
  listener.on_page = [&feed](const std::vector<table::Row>& rows, bool first_page) {
    if (first_page) feed.listed_ids_.clear();
    for (const table::Row& row : rows) feed.onFullReadRow(row);
  };
  listener.on_snapshot = [&feed](const std::vector<table::Row>&) {
    feed.onFullReadEnd(feed.watcher_.revision());
  };
  listener.on_change = [&feed](const table::RowChange& change) { feed.onRow(change); };
  listener.on_health = [&feed](bool healthy) {
    if (!healthy) return;
    feed.deps_.registry.onStoreReconnected(steadyNow(), feed.watcher_.lastOutage());
    spawn(feed.deps_.loop, [&feed] { return feed.removeLapsedEngines(); });
    feed.deps_.on_store_reachable();
  };
  return listener;
}

table::WatcherOptions engine_feed::watcherOptions(const engine_feed& feed, std::uint64_t seed) {
  table::WatcherOptions options;
  options.coalesce = [&feed] {
    return feed.deps_.owns_work() ? kActiveCoalesceInterval : kIdleCoalesceInterval;
  };
  options.seed = seed;
  return options;
}

Revision engine_feed::revision() const {
  return std::max(this->peer_revision_, this->watcher_.revision());
}

void engine_feed::onFullReadRow(const table::Row& row) {
  const auto record = this->parseRow(row);
  if (!record) return;
  this->listed_ids_.insert(record->id);
  this->applyRecord(*record, row.revision);
}

void engine_feed::onFullReadEnd(Revision revision) {
  this->loaded_ = true;
  this->changes_.reset(revision);
  LogEvent("engines", "listed")
      .number("count", static_cast<std::int64_t>(this->listed_ids_.size()))
      .number("revision", static_cast<std::int64_t>(revision));
  for (const Address& address :
       this->deps_.registry.removeMissing(steadyNow(), this->listed_ids_)) {
    this->deps_.connections.closeIdle(address);
  }
  this->listed_ids_.clear();
}

std::optional<engines::engine_record> engine_feed::parseRow(const table::Row& row) {
  const std::string key = table::keyWithoutTable(row);
  auto record = this->deps_.platform.parseEngine(key, row.value);
  if (record) return std::move(*record);
  const auto address = this->deps_.registry.onInvalidRecord(EngineId(key));
  if (address) this->deps_.connections.closeIdle(*address);
  LogEvent("engines", "bad_record")
      .text("engine", key)
      .text("findings", describe(record.error()))
      .number("revision", static_cast<std::int64_t>(row.revision))
      .text("was_in_use", address ? "yes" : "no");
  return std::nullopt;
}

void engine_feed::applyRecord(const engines::engine_record& record, Revision revision) {
  const engines::engine_state* known = this->deps_.registry.find(record.id);
  const bool was_draining = known != nullptr && known->record.draining;
  const std::optional<Address> before =
      known == nullptr ? std::nullopt : std::optional(known->record.address);
  const engines::RecordEffect effect = this->deps_.registry.onRecord(steadyNow(), record);
  if (effect == engines::RecordEffect::kRestarted) {
    this->deps_.connections.closeIdle(*before);
    LogEvent("engines", "restarted").text("engine", record.id.str()).number("start", record.start);
  }
  // New engines and weight updates are counted but not logged individually, since starting many
  // engines would produce thousands of log lines at every gateway.
  const bool begins_draining = record.draining && !was_draining;
  if (!begins_draining || !this->change_log_sampler_.admit(steadyNow())) {
    ++this->unlogged_changes_;
    return;
  }
  LogEvent("engines", "draining")
      .text("engine", record.id.str())
      .text("service", record.service.str())
      .number("revision", static_cast<std::int64_t>(revision));
}

std::optional<Address> engine_feed::removeEngine(const EngineId& id) {
  const auto address = this->deps_.registry.onRemoved(steadyNow(), id);
  if (address) this->deps_.connections.closeIdle(*address);
  return address;
}

void engine_feed::onRow(const table::RowChange& change) {
  const EngineId id(table::keyWithoutTable(change.row));
  this->changes_.record(id, change.row.revision);
  if (!change.removed) {
    if (const auto record = this->parseRow(change.row))
      this->applyRecord(*record, change.row.revision);
    return;
  }
  const auto address = this->removeEngine(id);
  if (this->change_log_sampler_.admit(steadyNow())) {
    LogEvent("engines", address ? "gone" : "lapsed")
        .text("engine", id.str())
        .number("revision", static_cast<std::int64_t>(change.row.revision));
  } else {
    ++this->unlogged_changes_;
  }
}

Task<void> engine_feed::removeLapsedEngines() {
  co_await sleepFor(this->deps_.loop, this->deps_.registry.options().record_expiry.expiry_grace);
  for (const engines::engine_record& record : this->deps_.registry.removeExpired(steadyNow())) {
    this->deps_.connections.closeIdle(record.address);
    LogEvent("engines", "gone").text("engine", record.id.str()).text("reason", "lapsed");
  }
}

void engine_feed::logUnloggedChanges() {
  if (this->unlogged_changes_ == 0) return;
  LogEvent("engines", "updated")
      .number("entries", static_cast<std::int64_t>(this->unlogged_changes_));
  this->unlogged_changes_ = 0;
}

void engine_feed::fillSnapshot(PeerSnapshot& snapshot, Revision known) const {
  snapshot.engines_revision = this->revision();
  const auto toRow = [&](const engines::engine_record& record) {
    return table::Row{this->deps_.platform.engineTable() + "/" + record.id.str(),
                      snapshot.engines_revision, this->deps_.platform.encodeEngine(record)};
  };
  const auto changed = this->changes_.changedSince(known);
  if (!changed) {
    for (const auto& [id, engine] : this->deps_.registry.all()) {
      if (!engine.expired) snapshot.engines.push_back(toRow(engine.record));
    }
    return;
  }
  snapshot.engines_since = known;
  for (const EngineId& id : *changed) {
    const engines::engine_state* engine = this->deps_.registry.find(id);
    if (engine == nullptr || engine->expired) {
      snapshot.removed_engines.push_back(id.str());
    } else {
      snapshot.engines.push_back(toRow(engine->record));
    }
  }
}

void engine_feed::applySnapshot(const PeerSnapshot& snapshot) {
  // A partial list that starts after the local revision would omit the changes in between.
  if (snapshot.engines_since && *snapshot.engines_since > this->revision()) return;
  if (!snapshot.engines_since) this->listed_ids_.clear();
  for (const table::Row& row : snapshot.engines) {
    this->onFullReadRow(row);
    this->changes_.record(EngineId(table::keyWithoutTable(row)), snapshot.engines_revision);
  }
  if (!snapshot.engines_since) {
    this->onFullReadEnd(snapshot.engines_revision);
  } else {
    for (const std::string& id : snapshot.removed_engines) {
      this->changes_.record(EngineId(id), snapshot.engines_revision);
      this->removeEngine(EngineId(id));
    }
    this->listed_ids_.clear();
  }
  this->peer_revision_ = snapshot.engines_revision;
}

}  // namespace linenpier::gateway
