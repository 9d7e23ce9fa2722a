#include "gateway/gateway.h"

#include "common/hash.h"
#include "common/random.h"
#include "gateway/store_keys.h"
#include "logging/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);
/// Until the platform has seen that this daemon is not ready and sends nobody new.
constexpr Duration kLeaveNotice = std::chrono::milliseconds(3200);
constexpr Duration kStopSlack = std::chrono::milliseconds(900);
constexpr Duration kPeerPeriod = std::chrono::milliseconds(300);
constexpr Duration kPeerCallTime = std::chrono::milliseconds(300);
/// Between two answers of the engines' feed while engines change one after the other.
constexpr Duration kEngineChangesGap = std::chrono::milliseconds(150);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/// Part of a row that its key and encoding may take.
constexpr std::size_t kRowOverhead = 1024;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

versions::OrderOptions orderOptions(const GatewaySettings& settings) {
  versions::OrderOptions options;
  options.handover_pause = settings.order_pause + std::chrono::milliseconds(100);
  options.rollout = settings.rollout;
  return options;
}

std::string keyWithoutTable(const table::Row& row) {
  return row.key.substr(row.key.find('/') + 1);
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop, const GatewaySettings& settings,
                 PlatformPort& platform, http::ConnectionPool& engine_pool,
                 metrics::GatewayMetrics& metrics, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      platform_(platform),
      engine_pool_(engine_pool),
      metrics_(metrics),
      registry_(settings.zone, {}, seed),
      dealer_(seed),
      leases_(lease::makeLeaseId(settings.id.str(), Random(seed).hex16()), {}, steadyNow()),
      keeper_(loop, platform.table(), leases_),
      lease_watch_(loop, platform.table(), leases_, keeper_, {}, seed + 1),
      job_store_(platform.table(), platform.objects(), settings.row_bytes - kRowOverhead),
      forwarder_(loop, {engine_pool, registry_, platform.fieldNames()}, dealer_, metrics, {}),
      batches_({loop,
                {engine_pool, registry_, platform.fieldNames()},
                job_store_,
                leases_,
                keeper_,
                platform.batchCodec(),
                [this] { return routes_; }},
               settings.batch),
      orders_(
          {loop, registry_, platform.table(), leases_, keeper_, platform.orders(),
           [this] { return routes_; }, [this] { return batches_.openItems(); }, settings.id.str()},
          orderOptions(settings)),
      requests_(loop,
                [this](http::Request& request, Instant received, http::ResponseWriter& writer) {
                  return handle(request, received, writer);
                }),
      readiness_(loop,
                 [this](http::Request& request, Instant, http::ResponseWriter& writer) {
                   return handleReadiness(request, writer);
                 }),
      metrics_server_(loop, [this](http::Request&, Instant,
                                   http::ResponseWriter& writer) { return handleMetrics(writer); }),
      peer_server_(loop, [this](http::Request&, Instant, http::ResponseWriter& writer) {
        return handlePeer(writer);
      }) {}

Findings Gateway::start() {
  Findings findings;
  if (const auto finding = requests_.listen(settings_.requests)) findings.push_back(*finding);
  if (const auto finding = readiness_.listen(settings_.readiness)) findings.push_back(*finding);
  if (!findings.empty()) return findings;
  if (settings_.metrics) {
    // Metrics are worth less than service: without their address the daemon serves on.
    if (const auto finding = metrics_server_.listen(*settings_.metrics)) {
      LogEvent("gateway", "metrics_unavailable").text("findings", describe({*finding}));
    }
  }
  if (settings_.peers) {
    if (const auto finding = peer_server_.listen(*settings_.peers)) {
      LogEvent("gateway", "peers_unavailable").text("findings", describe({*finding}));
    }
  }
  watchTables();
  spawn(loop_, [this] { return peerLoop(); });
  lease_watch_.start([this](bool answered) {
    leases_answered_ = answered;
    updateLeaseHealth();
  });
  keeper_.start([this] { return batches_.ownsAny() || orders_.holdsAny(); });
  batches_.start();
  orders_.start();
  spawn(loop_, [this] { return sweepLoop(); });
  LogEvent("gateway", "started")
      .text("zone", settings_.zone.str())
      .text("lease", leases_.own().str())
      .text("requests", toString(settings_.requests))
      .text("store", toString(settings_.store));
  return {};
}

void Gateway::applySettings(const GatewaySettings& changed) {
  const bool restart_needed = changed.id != settings_.id || changed.zone != settings_.zone ||
                              changed.requests != settings_.requests ||
                              changed.readiness != settings_.readiness;
  settings_.seeds = changed.seeds;
  settings_.stop_limit = changed.stop_limit;
  settings_.store = changed.store;
  batches_.setOptions(changed.batch);
  orders_.setOptions(orderOptions(changed));
  LogEvent("settings", "applied")
      .text("store", toString(changed.store))
      .number("seeds", static_cast<std::int64_t>(changed.seeds.size()))
      .text("restart_needed", restart_needed ? "yes" : "no");
}

bool Gateway::ready() const {
  return routes_ && engines_known_ && !stopping_;
}

// --- What the store tells -----------------------------------------------------------------------

void Gateway::watchTables() {
  table::TableWatcher::Listener operators;
  operators.on_snapshot = [this](const std::vector<table::Row>& rows) {
    for (const table::Row& row : rows) onOperatorRow(row);
  };
  operators.on_change = [this](const table::RowChange& change) {
    if (!change.gone) onOperatorRow(change.row);
  };
  operators.on_health = [](bool) {};
  table::WatcherOptions operator_options;
  operator_options.seed = hash64(settings_.id.str(), 1);
  operator_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), platform_.operatorTable(), operator_options, operators);

  table::TableWatcher::Listener engine_listener;
  engine_listener.on_snapshot = [this](const std::vector<table::Row>& rows) {
    onEngineSnapshot(rows);
  };
  engine_listener.on_change = [this](const table::RowChange& change) { onEngineRow(change); };
  engine_listener.on_health = [](bool) {};
  table::WatcherOptions engine_options;
  engine_options.coalesce = kEngineChangesGap;
  engine_options.seed = hash64(settings_.id.str(), 2);
  engine_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), platform_.engineTable(), engine_options, engine_listener);

  table::TableWatcher::Listener coordination;
  coordination.on_snapshot = [this](const std::vector<table::Row>& rows) {
    for (const table::Row& row : rows) onCoordinationRow({row, false});
    orders_.onTableRead();
  };
  coordination.on_change = [this](const table::RowChange& change) { onCoordinationRow(change); };
  coordination.on_health = [this](bool) { updateLeaseHealth(); };
  coordination.on_clock = [this](std::int64_t clock_ms) {
    keeper_.onStoreClock(steadyNow(), clock_ms);
  };
  table::WatcherOptions options;
  options.wait = std::chrono::milliseconds(1500);
  options.coalesce = std::chrono::milliseconds(80);
  options.seed = hash64(settings_.id.str(), 3);
  coordination_watcher_ = std::make_unique<table::TableWatcher>(
      loop_, platform_.table(), kCoordinationTable, options, coordination);

  operator_watcher_->start();
  engine_watcher_->start();
  coordination_watcher_->start();
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
  const std::string key = keyWithoutTable(row);
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
      .number("routes", static_cast<std::int64_t>(parsed->routes.size()));
  snapshot_.config_version = parsed->version;
  snapshot_.configuration = value;
  routes_ = std::make_shared<const routing::RouteTable>(std::move(*parsed));
  requests_.setLimits(routes_->limits);
}

void Gateway::onEngineSnapshot(const std::vector<table::Row>& rows) {
  std::vector<engines::EngineRecord> records;
  for (const table::Row& row : rows) {
    auto record = platform_.parseEngine(keyWithoutTable(row), row.value);
    if (record) records.push_back(std::move(*record));
  }
  engines_known_ = true;
  snapshot_.engines = rows;
  LogEvent("engines", "listed").number("count", static_cast<std::int64_t>(records.size()));
  for (const Address& gone : registry_.onList(steadyNow(), records)) engine_pool_.forget(gone);
}

void Gateway::onEngineRow(const table::RowChange& change) {
  const std::string key = keyWithoutTable(change.row);
  std::erase_if(snapshot_.engines,
                [&](const table::Row& row) { return row.key == change.row.key; });
  if (!change.gone) snapshot_.engines.push_back(change.row);
  if (change.gone) {
    if (const auto address = registry_.onGone(EngineId(key))) engine_pool_.forget(*address);
    LogEvent("engines", "gone").text("engine", key);
    return;
  }
  const auto record = platform_.parseEngine(key, change.row.value);
  if (!record) {
    LogEvent("engines", "bad_record").text("engine", key);
    return;
  }
  registry_.onRecord(steadyNow(), *record);
  LogEvent("engines", record->draining ? "draining" : "changed")
      .text("engine", key)
      .text("service", record->service.str())
      .number("revision", static_cast<std::int64_t>(change.row.revision));
}

void Gateway::onCoordinationRow(const table::RowChange& change) {
  const std::string key = keyWithoutTable(change.row);
  const auto tail = [&key](const std::string& prefix) { return key.substr(prefix.size()); };
  if (key.starts_with(kJobPrefix)) {
    const batch::JobId id(tail(kJobPrefix));
    change.gone ? batches_.onRecordGone(id) : batches_.onRecordRow(id, change.row);
  } else if (key.starts_with(kOrderPrefix)) {
    const routing::ServiceName service(tail(kOrderPrefix));
    change.gone ? orders_.onRightGone(service) : orders_.onRightRow(service, change.row);
  }
}

// --- What clients ask ---------------------------------------------------------------------------

Task<void> Gateway::handleReadiness(http::Request& request, http::ResponseWriter& writer) {
  const bool known = platform_.isReadinessCall(request);
  http::Response response;
  response.result(!known ? kNotFound : ready() ? 200U : kUnavailable);
  co_await writer.send(std::move(response));
}

metrics::GatewayState Gateway::state() const {
  metrics::GatewayState state;
  const Instant now = steadyNow();
  state.config_version = routes_ ? routes_->version : 0;
  const std::map<std::string, const table::TableWatcher*> watchers = {
      {"operator", operator_watcher_.get()},
      {"engines", engine_watcher_.get()},
      {"coordination", coordination_watcher_.get()}};
  for (const auto& [name, watcher] : watchers) {
    state.feeds_healthy[name] = watcher->healthy();
    state.feed_ages[name] = watcher->read() ? toSeconds(now - watcher->lastAnswer()) : -1;
  }
  for (const auto& [id, engine] : registry_.all()) {
    auto& states = state.engines[engine.record.service.str()];
    const char* name = engine.record.draining       ? "draining"
                       : now < engine.ejected_until ? "ejected"
                                                    : "usable";
    ++states[name];
  }
  const batch::BatchService::Work work = batches_.work();
  state.jobs_known = batches_.jobCount();
  state.jobs_owned = work.jobs;
  state.items_waiting = work.waiting;
  state.items_running = work.running;
  state.client_connections = requests_.connections();
  state.requests_in_progress = requests_.busy();
  state.engine_connections_opened = engine_pool_.opened();
  state.log_lines_dropped = logging::droppedLines();
  state.lease_valid = keeper_.valid(now);
  state.order_rights_held = orders_.rightsHeld();
  state.orders_sent = orders_.counts().sent;
  state.orders_unanswered = orders_.counts().unanswered;
  const batch::BatchCounts& counts = batches_.counts();
  state.items_completed = counts.completed;
  state.items_terminated = counts.terminated;
  state.item_attempts = counts.attempts;
  state.jobs_accepted = counts.accepted;
  state.jobs_refused = counts.refused;
  state.jobs_taken_over = counts.taken_over;
  return state;
}

// --- Other daemons ------------------------------------------------------------------------------

Task<void> Gateway::handlePeer(http::ResponseWriter& writer) {
  http::Response response;
  if (routes_ && engines_known_) {
    snapshot_.engines_revision = std::max(snapshot_.engines_revision, engine_watcher_->revision());
    response.body() = encodeSnapshot(snapshot_);
  } else {
    response.result(kUnavailable);
  }
  co_await writer.send(std::move(response));
}

Task<void> Gateway::peerLoop() {
  std::size_t next = 0;
  while (!settings_.seeds.empty()) {
    co_await sleepFor(loop_, kPeerPeriod);
    const bool store_away = !operator_watcher_->healthy() || !engine_watcher_->healthy();
    if (!store_away || stopping_) continue;
    const Address peer = settings_.seeds[next++ % settings_.seeds.size()];
    if (settings_.peers && peer == *settings_.peers) continue;
    co_await askPeer(peer);
  }
}

Task<void> Gateway::askPeer(Address peer) {
  http::Request request(boost::beast::http::verb::get, "/snapshot", 11);
  request.set(boost::beast::http::field::host, "peer");
  const Instant deadline = steadyNow() + kPeerCallTime;
  const http::CallOutcome outcome =
      co_await http::call(engine_pool_, peer, std::move(request), deadline);
  if (outcome.status != http::ExchangeStatus::kOk || outcome.response.result_int() != 200)
    co_return;
  const auto told = decodeSnapshot(outcome.response.body());
  if (!told) co_return;
  const std::uint64_t before = snapshot_.config_version;
  if (!operator_watcher_->healthy()) onConfiguration(told->configuration);
  const bool newer =
      told->engines_revision > std::max(snapshot_.engines_revision, engine_watcher_->revision());
  if (!engine_watcher_->healthy() && (newer || !engines_known_)) {
    onEngineSnapshot(told->engines);
    snapshot_.engines_revision = told->engines_revision;
  }
  if (newer || snapshot_.config_version > before) {
    LogEvent("gateway", "told_by_peer")
        .text("peer", toString(peer))
        .number("config", static_cast<std::int64_t>(told->config_version))
        .number("engines_revision", static_cast<std::int64_t>(told->engines_revision));
  }
}

Task<void> Gateway::handleMetrics(http::ResponseWriter& writer) {
  http::Response response;
  response.set(boost::beast::http::field::content_type, "text/plain; version=0.0.4");
  response.body() = metrics_.render(state());
  co_await writer.send(std::move(response));
}

Task<void> Gateway::handleBatchCall(const BatchCall& call, http::ResponseWriter& writer) {
  switch (call.kind) {
    case BatchCall::Kind::kReadResults:
      co_await batches_.readResults(call.job, call.position, call.wait, writer);
      break;
    case BatchCall::Kind::kReadItem:
      co_await batches_.readItem(call.job, call.item, writer);
      break;
    case BatchCall::Kind::kEnd:
      co_await batches_.end(call.job, writer);
      break;
  }
}

Task<void> Gateway::handle(http::Request& request, Instant received, http::ResponseWriter& writer) {
  const auto call = platform_.parseBatchCall(request);
  if (call) {
    co_await handleBatchCall(*call, writer);
    co_return;
  }
  const routing::RouteTablePtr routes = routes_;
  const std::string id = http::fieldText(request, platform_.fieldNames().request_id);
  const std::string path(request.target().substr(0, request.target().find('?')));
  const routing::Route* route =
      routes ? routes->find(http::fieldText(request, "Host"), path) : nullptr;
  if (route == nullptr) {
    // Only a daemon that follows the store knows that there is no such route.
    const bool sure = routes && operator_watcher_->healthy();
    LogEvent("forward", "no_route")
        .text("request", id)
        .text("path", path)
        .number("config", routes ? static_cast<std::int64_t>(routes->version) : 0)
        .number("status", sure ? kNotFound : kUnavailable);
    http::Response response = forwarder_.ownAnswer(sure ? kNotFound : kUnavailable, id);
    co_await writer.send(std::move(response));
    co_return;
  }
  if (route->kind == routing::RequestKind::kBatch) {
    co_await batches_.submit(*route, request, received, writer);
  } else {
    co_await forwarder_.serve(routes, *route, request, received, writer);
  }
}

// --- Housekeeping -------------------------------------------------------------------------------

Task<void> Gateway::sweepLoop() {
  for (;;) {
    co_await sleepFor(loop_, kSweepPeriod);
    engine_pool_.sweep(steadyNow());
  }
}

void Gateway::stop() {
  if (stopping_) return;
  stopping_ = true;
  spawn(loop_, [this] { return stopInOrder(); });
}

Task<void> Gateway::stopInOrder() {
  const Instant begun = steadyNow();
  LogEvent("gateway", "stopping")
      .number("connections", static_cast<std::int64_t>(requests_.connections()));
  requests_.beginDrain();
  co_await batches_.handOver();
  co_await orders_.handOver();
  co_await keeper_.stop();
  while (steadyNow() < begun + kLeaveNotice) {
    co_await sleepFor(loop_, kStopPoll);
  }
  requests_.closeIdle();
  while (requests_.busy() > 0 && steadyNow() < begun + settings_.stop_limit - kStopSlack) {
    co_await sleepFor(loop_, kStopPoll);
  }
  LogEvent("gateway", "stopped").number("cut_off", static_cast<std::int64_t>(requests_.busy()));
  loop_.stop();
}

}  // namespace linenpier::gateway
