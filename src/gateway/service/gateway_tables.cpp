/// @file
/// What the store tells a gateway: configuration, engines, jobs and rights, leases.

#include "common/event_log.h"
#include "common/hash.h"
#include "gateway/service/gateway.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

/// Between two answers of the engines' feed at a daemon that runs items or orders engines.
constexpr Duration kEngineChangesGap = std::chrono::milliseconds(150);
/// The same at daemons that only forward requests: they need to know who is draining, for which
/// the platform allows two seconds, not each change of weights.
constexpr Duration kIdleEngineChangesGap = std::chrono::milliseconds(500);
/// Between two answers of the feed of jobs and rights, at a daemon that may be given a job or where
/// readers wait for one to be released …
constexpr Duration kJobChangesGap = std::chrono::milliseconds(20);
/// … and at any other.
constexpr Duration kIdleJobChangesGap = std::chrono::milliseconds(80);
/// Calls that wait for longer when the store is heard of again were sent while it was away. A store
/// that is sixty times slower than usual takes 0.25 s.
constexpr Duration kDefaultAnswer = std::chrono::milliseconds(300);
constexpr int kAnswersAllowed = 3;  ///< A write takes longer than a question for one row.
/// Between two questions whether the store is back, at a daemon that has results for it.
constexpr Duration kProbeGap = std::chrono::milliseconds(100);
/// Between two looks whether such questions are called for.
constexpr Duration kProbeIdle = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

}  // namespace

void Gateway::watchTables() {
  table::TableWatcher::Listener operators;
  operators.on_snapshot = [this](const std::vector<table::Row>& rows) {
    std::map<ZoneName, Revision> closed;
    for (const table::Row& row : rows) {
      const auto zone = platform_.parseZoneClosing(table::keyWithoutTable(row));
      if (zone) closed[*zone] = row.revision;
    }
    onZoneTable(operator_watcher_->revision(), closed, "store");
    for (const table::Row& row : rows) onOperatorRow(row);
  };
  operators.on_change = [this](const table::RowChange& change) {
    const auto zone = platform_.parseZoneClosing(table::keyWithoutTable(change.row));
    if (zone) onZoneRow(*zone, change);
    if (!change.gone) onOperatorRow(change.row);
  };
  operators.on_health = [this](bool healthy) {
    if (healthy) onStoreHeard(kDefaultAnswer);
  };
  table::WatcherOptions operator_options;
  operator_options.seed = hash64(settings_.id.str(), 1);
  operator_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), platform_.operatorTable(), operator_options, operators);

  table::TableWatcher::Listener engine_listener;
  engine_listener.on_page = [this](const std::vector<table::Row>& rows, bool first_page) {
    if (first_page) listed_engines_.clear();
    for (const table::Row& row : rows) onEngineListed(row);
  };
  engine_listener.on_snapshot = [this](const std::vector<table::Row>&) {
    onEnginesListed(engine_watcher_->revision());
  };
  engine_listener.on_change = [this](const table::RowChange& change) { onEngineRow(change); };
  engine_listener.on_health = [this](bool healthy) {
    if (!healthy) return;
    registry_.onStoreRegained(steadyNow(), engine_watcher_->lastOutage());
    spawn(loop_, [this] { return dropLapsedEngines(); });
    onStoreHeard(kDefaultAnswer);
  };
  table::WatcherOptions engine_options;
  engine_options.coalesce = [this] {
    return ownsWork() ? kEngineChangesGap : kIdleEngineChangesGap;
  };
  engine_options.seed = hash64(settings_.id.str(), 2);
  engine_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), platform_.engineTable(), engine_options, engine_listener);

  table::TableWatcher::Listener coordination;
  coordination.on_snapshot = [this](const std::vector<table::Row>& rows) {
    onCoordinationRead(rows);
  };
  coordination.on_change = [this](const table::RowChange& change) { onCoordinationRow(change); };
  coordination.on_health = [this](bool healthy) {
    if (healthy) onStoreHeard(kDefaultAnswer);
    updateLeaseHealth();
  };
  coordination.on_clock = [this](std::int64_t clock_ms) {
    keeper_.onStoreClock(steadyNow(), clock_ms);
  };
  table::WatcherOptions options;
  options.wait = std::chrono::milliseconds(1500);
  options.coalesce = [this] {
    const bool awaited = ownsWork() || batches_.hasWaitingReaders();
    return awaited ? kJobChangesGap : kIdleJobChangesGap;
  };
  options.seed = hash64(settings_.id.str(), 3);
  coordination_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), table::kCoordinationTable, options, coordination);

  operator_watcher_->start();
  engine_watcher_->start();
  coordination_watcher_->start();
}

void Gateway::onStoreHeard(Duration usual_answer) {
  platform_.table().giveUpOlderThan(usual_answer);
  if (!leases_answered_) lease_watch_.retryNow();
  for (auto* watcher :
       {operator_watcher_.get(), engine_watcher_.get(), coordination_watcher_.get()}) {
    if (!watcher->healthy()) watcher->retryNow();
  }
}

Task<void> Gateway::probeLoop() {
  for (;;) {
    const bool wanted = !leases_.storeHealthy() && ownsWork() && !stopping_;
    co_await sleepFor(loop_, wanted ? kProbeGap : kProbeIdle);
    if (!wanted) continue;
    spawn(loop_, [this] { return probeStore(); });
  }
}

Task<void> Gateway::probeStore() {
  table::RowRange range = table::onlyRow(table::kLeaseTable, leases_.own().str());
  range.timeout = kProbeTimeout;
  const Instant begun = steadyNow();
  const auto page = co_await platform_.table().read(range);
  if (!page || leases_.storeHealthy()) co_return;
  // A store that is slow must be given the time that it takes.
  const Duration answer = kAnswersAllowed * (steadyNow() - begun);
  onStoreHeard(std::max(kDefaultAnswer, answer));
}

void Gateway::updateLeaseHealth() {
  const bool healthy = leases_answered_ && coordination_watcher_->healthy();
  if (healthy == leases_.storeHealthy()) return;
  if (healthy) {
    leases_.onStoreRegained(steadyNow());
  } else {
    leases_.onStoreLost();
  }
  LogEvent("lease", healthy ? "store_regained" : "store_lost")
      .text("leases", leases_answered_ ? "read" : "not_read")
      .text("feed", coordination_watcher_->healthy() ? "healthy" : "lost");
}

void Gateway::onOperatorRow(const table::Row& row) {
  const std::string key = table::keyWithoutTable(row);
  if (platform_.isConfiguration(key)) {
    onConfiguration(row.value);
  } else if (const auto named = platform_.parseNamedVersion(key, row.value)) {
    orders_.onNamed(named->model, named->version);
  }
}

void Gateway::onConfiguration(const std::string& value) {
  auto parsed = platform_.parseConfiguration(value);
  if (!parsed) {
    LogEvent("config", "rejected").text("findings", describe(parsed.error()));
    return;
  }
  // A configuration never goes back within a process's life.
  if (routes_ && parsed->version <= routes_->version) return;
  LogEvent("config", "in_force")
      .number("version", static_cast<std::int64_t>(parsed->version))
      .number("before", routes_ ? static_cast<std::int64_t>(routes_->version) : 0)
      .number("routes", static_cast<std::int64_t>(parsed->routes.size()))
      .number("tenants", static_cast<std::int64_t>(parsed->tenants.all().size()));
  snapshot_.config_version = parsed->version;
  snapshot_.configuration = platform_.withoutKeys(value);
  routes_ = std::make_shared<const routing::RouteTable>(std::move(*parsed));
  demand_ = demandOf(*routes_, settings_.layout);
  requests_.setLimits(routes_->limits);
  registry_.setServices(routes_->services);
}

void Gateway::onEngineListed(const table::Row& row) {
  const auto record = readEngine(row);
  if (!record) return;
  listed_engines_.insert(record->id);
  noteEngine(*record, row.revision);
}

void Gateway::onEnginesListed(Revision revision) {
  engines_known_ = true;
  engine_changes_.begin(revision);
  LogEvent("engines", "listed")
      .number("count", static_cast<std::int64_t>(listed_engines_.size()))
      .number("revision", static_cast<std::int64_t>(revision));
  for (const Address& gone : registry_.keepOnly(steadyNow(), listed_engines_)) {
    engine_pool_.forget(gone);
  }
  listed_engines_.clear();
}

std::optional<engines::EngineRecord> Gateway::readEngine(const table::Row& row) {
  const std::string key = table::keyWithoutTable(row);
  auto record = platform_.parseEngine(key, row.value);
  if (record) return std::move(*record);
  const auto address = registry_.onUnreadable(EngineId(key));
  if (address) engine_pool_.forget(*address);
  LogEvent("engines", "bad_record")
      .text("engine", key)
      .text("findings", describe(record.error()))
      .number("revision", static_cast<std::int64_t>(row.revision))
      .text("was_in_use", address ? "yes" : "no");
  return std::nullopt;
}

void Gateway::noteEngine(const engines::EngineRecord& record, Revision revision) {
  const engines::EngineState* known = registry_.find(record.id);
  const bool was_draining = known != nullptr && known->record.draining;
  const std::optional<Address> before =
      known == nullptr ? std::nullopt : std::optional(known->record.address);
  const engines::RecordEffect effect = registry_.onRecord(steadyNow(), record);
  if (effect == engines::RecordEffect::kRestarted) {
    engine_pool_.forget(*before);
    LogEvent("engines", "restarted").text("engine", record.id.str()).number("start", record.start);
  }
  // New engines are counted as well: when a fleet starts every daemon hears of all of them. Weights
  // and the like change many times a second in a large fleet.
  const bool told = record.draining && !was_draining && engine_lines_.admit(steadyNow());
  if (!told) {
    ++engine_updates_;
    return;
  }
  LogEvent("engines", "draining")
      .text("engine", record.id.str())
      .text("service", record.service.str())
      .number("revision", static_cast<std::int64_t>(revision));
}

std::optional<Address> Gateway::dropEngine(const EngineId& id) {
  const auto address = registry_.onGone(steadyNow(), id);
  if (address) engine_pool_.forget(*address);
  return address;
}

void Gateway::onEngineRow(const table::RowChange& change) {
  const EngineId id(table::keyWithoutTable(change.row));
  engine_changes_.onChange(id, change.row.revision);
  if (!change.gone) {
    if (const auto record = readEngine(change.row)) noteEngine(*record, change.row.revision);
    return;
  }
  const auto address = dropEngine(id);
  if (engine_lines_.admit(steadyNow())) {
    LogEvent("engines", address ? "gone" : "lapsed")
        .text("engine", id.str())
        .number("revision", static_cast<std::int64_t>(change.row.revision));
  } else {
    ++engine_updates_;
  }
}

Task<void> Gateway::dropLapsedEngines() {
  co_await sleepFor(loop_, registry_.options().lapse_grace);
  for (const engines::EngineRecord& record : registry_.dropLapsed(steadyNow())) {
    engine_pool_.forget(record.address);
    LogEvent("engines", "gone").text("engine", record.id.str()).text("reason", "lapsed");
  }
}

void Gateway::summarizeEngineUpdates() {
  if (engine_updates_ == 0) return;
  LogEvent("engines", "updated").number("entries", static_cast<std::int64_t>(engine_updates_));
  engine_updates_ = 0;
}

bool Gateway::ownsWork() const {
  return owner_pool_.offers() || batches_.ownsAny() || orders_.holdsAny() || usage_.holdsRight() ||
         scaling_.holdsRight();
}

void Gateway::onLeasesRead(bool answered) {
  if (answered && !leases_answered_) onStoreHeard(kDefaultAnswer);
  leases_answered_ = answered;
  updateLeaseHealth();
  updateColdSenders();
  if (!answered || stopping_) return;
  if (!owner_pool_.onLeasesRead(steadyNow(), demand_)) return;
  LogEvent("lease", owner_pool_.offers() ? "offers_to_own" : "offers_no_more")
      .real("capacity", owner_pool_.capacity())
      .number("wanted", static_cast<std::int64_t>(demand_.owners))
      .number("homes", static_cast<std::int64_t>(demand_.places.size()));
  updateColdSenders();
}

void Gateway::onCoordinationRead(const std::vector<table::Row>& rows) {
  std::set<suspects::request_key> suspected;
  for (const table::Row& row : rows) {
    onCoordinationRow({row, false});
    const std::string key = table::keyWithoutTable(row);
    if (key.starts_with(table::kSuspectPrefix))
      suspected.emplace(key.substr(table::kSuspectPrefix.size()));
  }
  orders_.onTableRead();
  usage_.onTableRead();
  scaling_.onTableRead();
  suspects_.onTableRead(suspected, coordination_watcher_->revision());
}

void Gateway::onCoordinationRow(const table::RowChange& change) {
  const std::string key = table::keyWithoutTable(change.row);
  const auto tail = [&key](const std::string& prefix) { return key.substr(prefix.size()); };
  if (key.starts_with(table::kJobPrefix)) {
    const JobId id(tail(table::kJobPrefix));
    change.gone ? batches_.onRecordRemoved(id) : batches_.onRecordRow(id, change.row);
  } else if (key.starts_with(table::kOrderPrefix)) {
    const ServiceName service(tail(table::kOrderPrefix));
    change.gone ? orders_.onRightGone(service) : orders_.onRightRow(service, change.row);
  } else if (key.starts_with(table::kSuspectPrefix)) {
    const suspects::request_key suspect(tail(table::kSuspectPrefix));
    change.gone ? suspects_.onRowGone(suspect, change.row.revision)
                : suspects_.onRow(suspect, change.row);
  } else if (key == table::kLockPrefix + "usage") {
    change.gone ? usage_.onRightGone() : usage_.onRightRow(change.row);
  } else if (key == table::kLockPrefix + "scaling") {
    change.gone ? scaling_.onRightGone() : scaling_.onRightRow(change.row);
  } else if (key == table::kClockName && !change.gone) {
    usage_.onClockRow(change.row);
  }
}

}  // namespace linenpier::gateway
