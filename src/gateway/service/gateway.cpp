#include "gateway/service/gateway.h"

#include "common/event_log.h"
#include "common/random.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kSweepPeriod = std::chrono::seconds(1);
constexpr std::uint64_t kSweepsPerSummary = 10;  ///< A line on left out changes each ten seconds.
/// Until the platform has seen that this daemon is not ready and sends nobody new.
constexpr Duration kLeaveNotice = std::chrono::milliseconds(3200);
constexpr Duration kStopSlack = std::chrono::milliseconds(900);
constexpr Duration kStopPoll = std::chrono::milliseconds(50);
/// Part of a row that its key and encoding may take.
constexpr std::size_t kRowOverhead = 1024;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

std::int64_t timeOfDayMs() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

versions::order_options orderOptions(const GatewaySettings& settings) {
  versions::order_options options;
  options.handover = settings.handover;
  options.rollout = settings.rollout;
  return options;
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
      round_robin_(seed),
      leases_(lease::makeLeaseId(settings.id.str(), Random(seed).hex16()), {}, steadyNow()),
      owner_pool_(leases_, settings.machine, settings.zone),
      keeper_(loop, platform.table(), leases_, owner_pool_),
      lease_watch_(loop, platform.table(), leases_, keeper_, owner_pool_, {}, seed + 1),
      job_store_(platform.table(), platform.objects(), settings.row_bytes - kRowOverhead),
      usage_({{loop, platform.table(), leases_, keeper_, owner_pool_},
              platform.duties(),
              settings.id.str(),
              timeOfDayMs,
              [this](table::Write write) { return writeByPeer(std::move(write)); }},
             settings.usage),
      suspects_({loop, platform.table(), leases_, keeper_,
                 [this](table::Write write) { return writeByPeer(std::move(write)); }}),
      forwarder_(loop, {engine_pool, registry_, platform.fieldNames()}, round_robin_, metrics,
                 usage_, suspects_, {}),
      batches_({loop,
                {engine_pool, registry_, platform.fieldNames()},
                job_store_,
                leases_,
                keeper_,
                owner_pool_,
                platform.batchCodec(),
                forwarder_,
                suspects_,
                [this] { return routes_; }},
               settings.batch),
      orders_({loop, registry_, platform.table(), leases_, keeper_, owner_pool_, platform.orders(),
               [this] { return routes_; }, [this] { return batches_.openWork(); },
               settings.id.str(), [this](Instant now) { return leases_.awaited(now); }},
              orderOptions(settings)),
      scaling_(
          {{loop, platform.table(), leases_, keeper_, owner_pool_},
           platform.scaling(),
           settings.id.str(),
           registry_,
           [this] { return routes_; },
           [this] { return batches_.openWork(); },
           [this] { return engines_known_ && engine_watcher_->healthy(); },
           [this](EngineId engine, Address address) { return loadOf(std::move(engine), address); }},
          settings.scaling, settings.handover),
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
      peer_server_(loop,
                   [this](http::Request& request, Instant, http::ResponseWriter& writer) {
                     return handlePeer(request, writer);
                   }),
      random_(seed + 2) {
  registry_.cold().onStart(steadyNow());
  registry_.cold().setRules(settings.cold);
  registry_.setHeartbeat(settings.engine_heartbeat);
  registry_.setLayout(settings.layout);
  forwarder_.followResidency([this] { return routes_; });
}

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
    } else {
      keeper_.setPeerAddress(peer_server_.address());
    }
  }
  watchTables();
  spawn(loop_, [this] { return peerLoop(); });
  lease_watch_.start([this](bool answered) { onLeasesRead(answered); });
  keeper_.setAwaited([this] { return batches_.awaitedEngines(); });
  keeper_.start([this] { return ownsWork(); });
  batches_.start();
  orders_.start();
  usage_.start();
  scaling_.start();
  suspects_.start();
  spawn(loop_, [this] { return sweepLoop(); });
  spawn(loop_, [this] { return probeLoop(); });
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
                              changed.readiness != settings_.readiness ||
                              changed.scaling.mode != settings_.scaling.mode;
  settings_.seeds = changed.seeds;
  settings_.stop_limit = changed.stop_limit;
  settings_.store = changed.store;
  registry_.cold().setRules(changed.cold);
  registry_.setHeartbeat(changed.engine_heartbeat);
  settings_.layout = changed.layout;
  registry_.setLayout(changed.layout);
  if (routes_) demand_ = demandOf(*routes_, settings_.layout);
  batches_.setOptions(changed.batch);
  orders_.setOptions(orderOptions(changed));
  LogEvent("settings", "applied")
      .text("store", toString(changed.store))
      .number("seeds", static_cast<std::int64_t>(changed.seeds.size()))
      .text("restart_needed", restart_needed ? "yes" : "no");
}

bool Gateway::ready() const {
  // Without what earlier lives learned, the first requests could end engines that are known to end.
  return routes_ && engines_known_ && suspects_.known() && !stopping_;
}

// --- What clients ask ---------------------------------------------------------------------------

Task<void> Gateway::handleReadiness(http::Request& request, http::ResponseWriter& writer) {
  const bool known = platform_.isReadinessCall(request);
  http::Response response;
  response.result(!known ? kNotFound : ready() ? 200U : kUnavailable);
  co_await writer.send(std::move(response));
}

Task<void> Gateway::refuseKey(const tenants::caller& from, const std::string& id,
                              http::ResponseWriter& writer) {
  const unsigned status = followsOperator() ? kUnauthorized : kUnavailable;
  metrics_.onKeyRefused(tenants::toText(from.verdict));
  LogEvent("tenants", "key_refused")
      .text("request", id)
      .text("key", tenants::toText(from.verdict))
      .number("config", routes_ ? static_cast<std::int64_t>(routes_->version) : 0)
      .number("status", status);
  http::Response response = forwarder_.localReply(status, id);
  if (status == kUnauthorized) tenants::challenge(from.verdict, response);
  co_await writer.send(std::move(response));
}

Task<void> Gateway::handleBatchCall(const BatchCall& call, const tenants::caller& from,
                                    http::ResponseWriter& writer) {
  switch (call.kind) {
    case BatchCall::Kind::kReadResults:
      co_await batches_.readResults(call.job, from, call.position, call.wait, writer);
      break;
    case BatchCall::Kind::kReadItem:
      co_await batches_.readItem(call.job, from, call.item, writer);
      break;
    case BatchCall::Kind::kEnd:
      co_await batches_.end(call.job, from, writer);
      break;
  }
}

Task<void> Gateway::handle(http::Request& request, Instant received, http::ResponseWriter& writer) {
  const auto call = platform_.parseBatchCall(request);
  const routing::RouteTablePtr routes = routes_;
  const std::string id = http::fieldText(request, platform_.fieldNames().request_id);
  const tenants::caller from = routes ? tenants::identify(*routes, request) : tenants::caller{};
  if (call) {
    if (from.admitted() || batches_.isPublic(call->job)) {
      co_await handleBatchCall(*call, from, writer);
    } else {
      co_await refuseKey(from, id.empty() ? call->job.str() : id, writer);
    }
    co_return;
  }
  const std::string path(request.target().substr(0, request.target().find('?')));
  const routing::Route* route =
      routes ? routes->find(http::fieldText(request, "Host"), path) : nullptr;
  if (route == nullptr) {
    // Only a daemon that follows the store knows that there is no such route.
    const bool sure = followsOperator();
    LogEvent("forward", "no_route")
        .text("request", id)
        .text("path", path)
        .number("config", routes ? static_cast<std::int64_t>(routes->version) : 0)
        .number("status", sure ? kNotFound : kUnavailable);
    http::Response response = forwarder_.localReply(sure ? kNotFound : kUnavailable, id);
    co_await writer.send(std::move(response));
    co_return;
  }
  if (!from.admitted() && !route->is_public) {
    co_await refuseKey(from, id, writer);
    co_return;
  }
  if (route->kind == routing::RequestKind::kBatch) {
    co_await batches_.submit(*route, from, request, received, writer);
  } else {
    co_await forwarder_.serve(routes, *route, from, request, received, writer);
  }
}

// --- Housekeeping -------------------------------------------------------------------------------

Task<std::optional<std::uint32_t>> Gateway::loadOf(EngineId engine, Address address) {
  const auto report = co_await platform_.orders().report(engine, address);
  if (!report) co_return std::nullopt;
  co_return report->load;
}

Task<void> Gateway::sweepLoop() {
  for (std::uint64_t sweeps = 1;; ++sweeps) {
    co_await sleepFor(loop_, kSweepPeriod);
    engine_pool_.sweep(steadyNow());
    tendColdEngines();
    if (sweeps % kSweepsPerSummary == 0) summarizeEngineUpdates();
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
  co_await usage_.handOver();
  co_await scaling_.handOver();
  co_await keeper_.stop();
  while (steadyNow() < begun + kLeaveNotice) {
    co_await sleepFor(loop_, kStopPoll);
  }
  requests_.closeIdle();
  while ((requests_.busy() > 0 || usage_.unsaved()) &&
         steadyNow() < begun + settings_.stop_limit - kStopSlack) {
    co_await sleepFor(loop_, kStopPoll);
  }
  LogEvent("gateway", "stopped").number("cut_off", static_cast<std::int64_t>(requests_.busy()));
  loop_.stop();
}

}  // namespace linenpier::gateway
