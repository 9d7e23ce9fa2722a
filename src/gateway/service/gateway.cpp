#include "gateway/service/gateway.h"

#include "common/event_log.h"
#include "common/hash.h"
#include "common/random.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

constexpr Duration kMaintenanceInterval = std::chrono::seconds(1);
/** Number of maintenance runs between two reports of unlogged engine changes. */
constexpr std::uint64_t kMaintenanceRunsPerChangeReport = 10;
/** Time for the platform's readiness probes to detect the shutdown and stop sending new clients. */
constexpr Duration kDeregistrationDelay = std::chrono::milliseconds(3200);
/** Part of the shutdown timeout that is reserved for process exit. */
constexpr Duration kShutdownMargin = std::chrono::milliseconds(900);
constexpr Duration kShutdownPollInterval = std::chrono::milliseconds(50);
/** Time to send the responses of requests that are ended by the shutdown. */
constexpr Duration kLastResponsesTime = std::chrono::milliseconds(200);
constexpr Duration kLastResponsesPollInterval = std::chrono::milliseconds(10);
/** Part of the shutdown timeout in which the lease is released even if the gateway still owns work,
 * so that others take it over without waiting for the lease to expire.
 */
constexpr Duration kLeaseReleaseTime = std::chrono::seconds(1);
/** Memory that the gateway needs without the bodies of requests. */
constexpr std::size_t kBaseMemoryBytes = 40 * 1000 * 1000;
/** Copies of a request's body: the request itself and two attempts. */
constexpr std::size_t kBodyCopies = 3;
/** Bytes of a store row that are reserved for the key and the encoding. */
constexpr std::size_t kRowOverheadBytes = 1024;
constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

std::int64_t wallClockMs() {
  const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_1970).count();
}

versions::rollout_service_options rolloutOptions(const GatewaySettings& settings) {
  versions::rollout_service_options options;
  options.handover = settings.handover;
  options.rollout = settings.rollout;
  return options;
}

/** @return the number of bytes that the bodies of all requests may have together. */
std::size_t requestBodyMemory(std::size_t memory_bytes) {
  return (std::max(memory_bytes, kBaseMemoryBytes) - kBaseMemoryBytes) / kBodyCopies;
}

std::vector<Address> seedPeersWithoutSelf(const GatewaySettings& settings) {
  std::vector<Address> others = settings.seed_peers;
  if (settings.peer_address) std::erase(others, *settings.peer_address);
  return others;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& loop, const GatewaySettings& settings,
                 PlatformPort& platform, http::ConnectionPool& engine_pool,
                 metrics::GatewayMetrics& metrics, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      platform_(platform),
      engine_pool_(engine_pool),
      registry_(settings.zone, {}, seed),
      round_robin_(seed),
      leases_(lease::makeLeaseId(settings.id.str(), Random(seed).hex16()), {}, steadyNow()),
      owner_pool_(leases_, settings.machine, settings.zone),
      keeper_(loop, platform.table(), leases_, owner_pool_),
      lease_poller_(loop, platform.table(), leases_, keeper_, owner_pool_, {}, seed + 1),
      job_store_(platform.table(), platform.objects(), settings.max_row_bytes - kRowOverheadBytes),
      usage_({{loop, platform.table(), leases_, keeper_, owner_pool_},
              platform.usageReporting(),
              settings.id.str(),
              wallClockMs,
              [this](table::Write write) { return peer_exchange_.writeViaPeer(std::move(write)); }},
             settings.usage),
      suspects_(
          {loop, platform.table(), leases_, keeper_,
           [this](table::Write write) { return peer_exchange_.writeViaPeer(std::move(write)); }}),
      forwarder_(loop, {engine_pool, registry_, platform.fieldNames()}, round_robin_, metrics,
                 usage_, suspects_),
      batches_({loop,
                {engine_pool, registry_, platform.fieldNames()},
                job_store_,
                leases_,
                keeper_,
                owner_pool_,
                platform.batchCodec(),
                forwarder_,
                round_robin_,
                [this] { return operator_feed_.configuration(); }},
               settings.batch),
      rollouts_({loop, registry_, platform.table(), leases_, keeper_, owner_pool_,
                 platform.orders(), [this] { return operator_feed_.configuration(); },
                 [this] { return batches_.openWork(); }, settings.id.str(),
                 [this](Instant now) { return leases_.awaited(now); }},
                rolloutOptions(settings)),
      scaling_({{loop, platform.table(), leases_, keeper_, owner_pool_},
                platform.scaling(),
                settings.id.str(),
                registry_,
                [this] { return operator_feed_.configuration(); },
                [this](const ServiceName& service) { return batches_.openItemsOf(service); },
                [this] { return engine_feed_.loaded() && engine_feed_.watcher().healthy(); },
                [this](EngineId engine, Address address) {
                  return queryEngineLoad(std::move(engine), address);
                }},
               settings.scaling, settings.handover),
      closed_zones_(registry_, [this](const ZoneName& zone) { return batches_.runsIn(zone); }),
      cold_engines_(registry_, leases_),
      operator_feed_(loop, platform, closed_zones_,
                     {[this](const routing::Configuration& routes) { onConfiguration(routes); },
                      [this](const PublishedVersion& published) {
                        rollouts_.onVersionAnnounced(published.model, published.version);
                      },
                      [this] { store_monitor_.onStoreReachable(); }},
                     hash64(settings.id.str(), 1)),
      engine_feed_({loop, platform, registry_, engine_pool, [this] { return ownsWork(); },
                    [this] { store_monitor_.onStoreReachable(); }},
                   hash64(settings.id.str(), 2)),
      coordination_feed_(
          loop, platform.table(), {batches_, rollouts_, usage_, scaling_, suspects_},
          {[this] { return ownsWork(); },
           [this](bool healthy) { store_monitor_.onCoordinationHealth(healthy); },
           [this](std::int64_t clock_ms) { keeper_.onStoreClock(steadyNow(), clock_ms); }},
          hash64(settings.id.str(), 3)),
      store_monitor_(
          {loop,
           platform.table(),
           leases_,
           lease_poller_,
           coordination_feed_.watcher(),
           {&operator_feed_.watcher(), &engine_feed_.watcher(), &coordination_feed_.watcher()},
           [this] { return stopping_ ? !handedOver() : ownsWork(); }}),
      peer_exchange_(
          {loop, engine_pool, platform.table(), leases_, operator_feed_, engine_feed_,
           closed_zones_, suspects_, coordination_feed_.watcher(),
           [this] { return seedPeersWithoutSelf(settings_); }, [this] { return stopping_; }},
          seed + 2),
      dispatcher_({platform, operator_feed_, forwarder_, batches_, metrics}),
      request_server_(
          loop,
          [this](http::Request& request, Instant received, http::ResponseWriter& writer) {
            return dispatcher_.handle(request, received, writer);
          }),
      readiness_server_(loop,
                        [this](http::Request& request, Instant, http::ResponseWriter& writer) {
                          return handleReadiness(request, writer);
                        }),
      metrics_server_(loop,
                      [this](http::Request&, Instant, http::ResponseWriter& writer) {
                        return metrics_exporter_.handle(writer);
                      }),
      peer_server_(loop,
                   [this](http::Request& request, Instant, http::ResponseWriter& writer) {
                     return peer_exchange_.handle(request, writer);
                   }),
      metrics_exporter_(metrics, {operator_feed_, engine_feed_, coordination_feed_, registry_,
                                  cold_engines_, engine_pool, request_server_, keeper_, batches_,
                                  rollouts_, scaling_, usage_, suspects_}) {
  if (settings.memory_bytes)
    request_server_.setBodyMemory(requestBodyMemory(*settings.memory_bytes));
  registry_.coldLimiter().onStart(steadyNow());
  registry_.coldLimiter().setLimitOptions(settings.cold);
  registry_.setHeartbeat(settings.engine_heartbeat);
  registry_.setLayout(settings.layout);
  forwarder_.setResidencySource([this] { return operator_feed_.configuration(); });
}

Findings Gateway::start() {
  Findings findings;
  if (const auto finding = request_server_.listen(settings_.request_address))
    findings.push_back(*finding);
  if (const auto finding = readiness_server_.listen(settings_.readiness_address))
    findings.push_back(*finding);
  if (!findings.empty()) return findings;
  listenForMetricsAndPeers();
  operator_feed_.start();
  engine_feed_.start();
  coordination_feed_.start();
  peer_exchange_.start();
  lease_poller_.start([this](bool answered) { onLeasesRead(answered); });
  keeper_.setAwaited([this] { return batches_.criticalEngines(); });
  keeper_.start([this] { return ownsWork(); });
  batches_.start();
  rollouts_.start();
  usage_.start();
  scaling_.start();
  suspects_.start();
  spawn(loop_, [this] { return maintenanceLoop(); });
  store_monitor_.start();
  LogEvent("gateway", "started")
      .text("zone", settings_.zone.str())
      .text("lease", leases_.own().str())
      .text("requests", toString(settings_.request_address))
      .text("store", toString(settings_.store_address));
  return {};
}

void Gateway::listenForMetricsAndPeers() {
  if (settings_.metrics_address) {
    if (const auto finding = metrics_server_.listen(*settings_.metrics_address)) {
      LogEvent("gateway", "metrics_unavailable").text("findings", describe({*finding}));
    }
  }
  if (!settings_.peer_address) return;
  if (const auto finding = peer_server_.listen(*settings_.peer_address)) {
    LogEvent("gateway", "peers_unavailable").text("findings", describe({*finding}));
    return;
  }
  keeper_.setPeerAddress(peer_server_.address());
}

void Gateway::applySettings(const GatewaySettings& changed) {
  const bool restart_needed = changed.id != settings_.id || changed.zone != settings_.zone ||
                              changed.request_address != settings_.request_address ||
                              changed.readiness_address != settings_.readiness_address ||
                              changed.scaling.mode != settings_.scaling.mode;
  settings_.seed_peers = changed.seed_peers;
  settings_.shutdown_timeout = changed.shutdown_timeout;
  settings_.store_address = changed.store_address;
  registry_.coldLimiter().setLimitOptions(changed.cold);
  registry_.setHeartbeat(changed.engine_heartbeat);
  settings_.layout = changed.layout;
  registry_.setLayout(changed.layout);
  if (operator_feed_.configuration())
    owner_demand_ = computeOwnerDemand(*operator_feed_.configuration(), settings_.layout);
  batches_.setOptions(changed.batch);
  rollouts_.setOptions(rolloutOptions(changed));
  LogEvent("settings", "applied")
      .text("store", toString(changed.store_address))
      .number("seeds", static_cast<std::int64_t>(changed.seed_peers.size()))
      .text("restart_needed", restart_needed ? "yes" : "no");
}

bool Gateway::ready() const {
  // Without the list of suspect requests, the gateway could send requests that crash engines.
  return operator_feed_.configuration() && engine_feed_.loaded() && suspects_.loaded() &&
         !stopping_;
}

Task<void> Gateway::handleReadiness(http::Request& request, http::ResponseWriter& writer) {
  const bool known = platform_.isReadinessProbe(request);
  http::Response response;
  response.result(!known ? kNotFound : ready() ? kOk : kUnavailable);
  co_await writer.send(std::move(response));
}

void Gateway::onConfiguration(const routing::Configuration& configuration) {
  owner_demand_ = computeOwnerDemand(configuration, settings_.layout);
  request_server_.setLimits(configuration.limits);
  registry_.setServices(configuration.services);
}

void Gateway::onLeasesRead(bool answered) {
  store_monitor_.onLeasesRead(answered);
  updateColdSenders();
  if (!answered || stopping_) return;
  if (!owner_pool_.onLeasesRead(steadyNow(), owner_demand_)) return;
  LogEvent("lease", owner_pool_.isCandidate() ? "offers_to_own" : "offers_no_more")
      .real("capacity", owner_pool_.capacity())
      .number("wanted", static_cast<std::int64_t>(owner_demand_.min_candidates))
      .number("homes", static_cast<std::int64_t>(owner_demand_.zone_requirements.size()));
  updateColdSenders();
}

void Gateway::updateColdSenders() {
  cold_engines_.updateSenders(owner_demand_.min_candidates, ownsWork());
}

bool Gateway::ownsWork() const {
  return owner_pool_.isCandidate() || holdsWork();
}

bool Gateway::holdsWork() const {
  return batches_.ownsOpenJobs() || rollouts_.holdsAny() || usage_.holdsLock() ||
         scaling_.holdsLock();
}

Task<std::optional<std::uint32_t>> Gateway::queryEngineLoad(EngineId engine, Address address) {
  const auto report = co_await platform_.orders().report(engine, address);
  if (!report) co_return std::nullopt;
  co_return report->load;
}

Task<void> Gateway::maintenanceLoop() {
  for (std::uint64_t runs = 1;; ++runs) {
    co_await sleepFor(loop_, kMaintenanceInterval);
    const Instant now = steadyNow();
    engine_pool_.sweep(now);
    cold_engines_.report(now, engine_feed_.watcher());
    registry_.sweep(now);
    if (runs % kMaintenanceRunsPerChangeReport == 0) engine_feed_.logUnloggedChanges();
  }
}

void Gateway::stop() {
  if (stopping_) return;
  stopping_ = true;
  spawn(loop_, [this] { return shutDown(); });
}

Task<void> Gateway::shutDown() {
  const Instant begun = steadyNow();
  LogEvent("gateway", "stopping")
      .number("connections", static_cast<std::int64_t>(request_server_.connections()));
  request_server_.beginDrain();
  startHandOver(begun + settings_.shutdown_timeout - kShutdownMargin);
  co_await sleepFor(loop_, kDeregistrationDelay);
  request_server_.shutDown();
  while ((request_server_.activeRequests() > 0 || !handedOver() || usage_.unsaved()) &&
         steadyNow() < begun + settings_.shutdown_timeout - kShutdownMargin) {
    co_await sleepFor(loop_, kShutdownPollInterval);
  }
  const std::size_t unfinished = request_server_.activeRequests();
  co_await endRequests();
  LogEvent("gateway", "stopped")
      .number("unfinished", static_cast<std::int64_t>(unfinished))
      .number("cut_off", static_cast<std::int64_t>(request_server_.activeRequests()))
      .text("handed_over", handedOver() ? "yes" : "no");
  loop_.stop();
}

Task<void> Gateway::endRequests() {
  request_server_.endRequests();
  const Instant until = steadyNow() + kLastResponsesTime;
  while (request_server_.activeRequests() > 0 && steadyNow() < until) {
    co_await sleepFor(loop_, kLastResponsesPollInterval);
  }
}

void Gateway::startHandOver(Instant until) {
  batches_.handOver(until);
  rollouts_.handOver();
  usage_.handOver();
  scaling_.handOver();
  spawn(loop_, [this, until] { return releaseLease(until); });
}

Task<void> Gateway::releaseLease(Instant until) {
  // Others take over work whose owner has no lease, and its state may not be stored yet.
  while (holdsWork() && steadyNow() < until - kLeaseReleaseTime) {
    co_await sleepFor(loop_, kShutdownPollInterval);
  }
  lease_released_ = true;
  keeper_.stop();
}

bool Gateway::handedOver() const {
  return lease_released_ && !keeper_.hasRow() && !holdsWork();
}

}  // namespace linenpier::gateway
