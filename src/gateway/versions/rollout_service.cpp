#include "gateway/versions/rollout_service.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::versions {

using logging::LogEvent;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(60);
/// Tick interval of a daemon that holds no lock and is not a candidate owner. It acquires a lock
/// only if no candidate does.
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(250);
/// Time after its start during which a daemon does not count as idle, because a starting fleet has
/// no leaders or candidates.
constexpr Duration kStartupTime = std::chrono::seconds(5);

}  // namespace

rollout_service::service_leadership::service_leadership(
    const lease::leader_lock::dependencies& deps, const ServiceName& service,
    const rollout_service_options& options)
    : rollout(options.rollout),
      lock(deps, "order/" + service.str(), table::serviceLockKey(service), options.handover,
           [this](bool) { this->rollout.reset(); }) {}

void rollout_service::start() {
  spawn(this->deps_.loop, [this] { return this->tickLoop(); });
}

rollout_service::service_leadership& rollout_service::leadershipOf(const ServiceName& service) {
  auto& leadership = this->services_[service];
  if (!leadership) {
    const lease::leader_lock::dependencies deps{this->deps_.loop, this->deps_.table,
                                                this->deps_.leases, this->deps_.keeper,
                                                this->deps_.pool};
    leadership = std::make_unique<service_leadership>(deps, service, this->options_);
    for (const auto& [model, version] : this->newest_versions_) {
      leadership->rollout.onVersionAnnounced(steadyNow(), model, version);
    }
  }
  return *leadership;
}

std::size_t rollout_service::locksHeld() const {
  return static_cast<std::size_t>(
      std::count_if(this->services_.begin(), this->services_.end(),
                    [](const auto& each) { return each.second->lock.held(); }));
}

void rollout_service::onVersionAnnounced(const ModelName& model, WeightVersion version) {
  WeightVersion& known = this->newest_versions_[model];
  if (version <= known) return;
  known = version;
  LogEvent("versions", "named")
      .text("model", model.str())
      .number("version", static_cast<std::int64_t>(version));
  for (auto& [service, leadership] : this->services_) {
    leadership->rollout.onVersionAnnounced(steadyNow(), model, version);
  }
}

void rollout_service::onLockRow(const ServiceName& service, const table::Row& row) {
  this->leadershipOf(service).lock.onRow(row);
}

void rollout_service::onLockRemoved(const ServiceName& service) {
  this->leadershipOf(service).lock.onRowRemoved();
}

Task<void> rollout_service::tickLoop() {
  const Instant started_at = steadyNow();
  for (;;) {
    const bool started = steadyNow() - started_at > kStartupTime;
    const bool idle = started && !this->deps_.pool.isCandidate() && !this->holdsAny();
    co_await sleepFor(this->deps_.loop, idle ? kIdleTickInterval : kTickInterval);
    const routing::ConfigurationPtr routes = this->deps_.routes();
    if (!routes || this->stopping_) continue;
    for (const auto& [name, service] : routes->services) {
      if (!service.models.empty()) this->tickService(steadyNow(), name);
    }
  }
}

void rollout_service::tickService(Instant now, const ServiceName& service) {
  service_leadership& leadership = this->leadershipOf(service);
  leadership.lock.onTick(now, this->table_read_);
  if (!leadership.lock.mayAct(now)) return;
  const engines::engine_list& engines = this->deps_.registry.availableEngines(service);
  open_work_by_model work = this->deps_.open_work();
  for (const auto& [model, version] : this->newest_versions_) work.try_emplace(model);
  std::set<EngineId> awaited;
  if (this->deps_.awaited) awaited = this->deps_.awaited(now);
  for (version_order& order : leadership.rollout.onTick(now, engines, work, awaited)) {
    spawn(this->deps_.loop, [this, service, order] { return this->sendOrder(service, order); });
  }
  for (const engines::engine_state* engine : leadership.rollout.reportsNeeded()) {
    const EngineId id = engine->record.id;
    const Address address = engine->record.address;
    leadership.rollout.onReportRequested(now, id);
    spawn(this->deps_.loop,
          [this, service, id, address] { return this->requestReport(service, id, address); });
  }
}

Task<void> rollout_service::requestReport(ServiceName service, EngineId engine, Address address) {
  const auto report = co_await this->deps_.orders.report(engine, address);
  // An engine that does not respond gets another report request after the report interval.
  if (report) this->leadershipOf(service).rollout.onReport(steadyNow(), engine, *report);
}

Task<void> rollout_service::sendOrder(ServiceName service, version_order order) {
  service_leadership& leadership = this->leadershipOf(service);
  const Instant send_by = leadership.lock.mayActUntil();
  if (!leadership.lock.mayAct(steadyNow()) || this->stopping_) {
    leadership.rollout.onAnswer(steadyNow(), order, OrderResult::kBusy);
    co_return;
  }
  const FencingToken token = leadership.lock.token();
  ++this->counts_.sent;
  leadership.lock.recordAction(steadyNow());
  const OrderResult answer =
      co_await this->deps_.orders.send(order, this->deps_.holder, token, send_by);
  leadership.rollout.onAnswer(steadyNow(), order, answer);
  if (answer == OrderResult::kStarted) ++this->counts_.loads_started;
  if (answer == OrderResult::kUnknown) ++this->counts_.unanswered;
  LogEvent("versions", "order_answered")
      .text("engine", order.engine.str())
      .text("model", order.model.str())
      .number("version", static_cast<std::int64_t>(order.version))
      .text("mode", toText(order.mode))
      .number("token", static_cast<std::int64_t>(token))
      .number("sequence", static_cast<std::int64_t>(order.expected_sequence.value_or(0)))
      .text("outcome", toText(answer));
}

void rollout_service::handOver() {
  this->stopping_ = true;
  for (auto& [service, leadership] : this->services_) leadership->lock.handOver();
}

}  // namespace linenpier::versions
