#include "gateway/engines/engine_registry.h"

namespace linenpier::engines {

void engine_registry::setServices(const std::map<ServiceName, routing::Service>& services) {
  const bool before = this->cold_limiter_.limitsAnyService();
  this->cold_limiter_.setServices(services);
  if (before || !this->cold_limiter_.limitsAnyService()) return;
  // When a limit is added, the present engines are registered, so that they count as previously
  // warm.
  for (const auto& [id, engine] : this->table_.all()) this->cold_limiter_.track(id);
}

void engine_registry::setHeartbeat(Duration heartbeat) {
  this->options_.record_expiry.heartbeat = heartbeat;
  this->table_.setHeartbeat(heartbeat);
  this->cold_limiter_.setHeartbeat(heartbeat);
}

RecordEffect engine_registry::onRecord(Instant now, const engine_record& record) {
  const RecordEffect effect = this->table_.onRecord(record);
  if (effect != RecordEffect::kOutdated)
    this->cold_limiter_.onRecord(now, record.id, record.cold_remaining);
  return effect;
}

void engine_registry::onAttemptStarted(Instant now, const EngineId& id) {
  this->cold_limiter_.onSent(now, id);
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  engine->load.onAttemptStarted();
  this->table_.activeEngines().add(*engine);
}

void engine_registry::onAttemptEnded(Instant now, const EngineId& id, HealthOutcome outcome) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  engine->load.onAttemptEnded();
  engine->health.onAttemptEnded(now, outcome, this->options_.health);
}

void engine_registry::addExpectedTokens(const EngineId& id, double tokens) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  engine->load.addExpectedTokens(tokens);
  if (engine->load.expectedTokens() > 0) this->table_.activeEngines().add(*engine);
}

void engine_registry::onRequestRejected(Instant now, const EngineId& id, const ModelName& model) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  const double load = engine->load.total(now, this->options_.score.load);
  const bool full = load >= engine->record.slots;
  engine->loading.onRejected(now, model, full, this->options_.loading);
}

void engine_registry::onRunReset(Instant now, const EngineId& id, const ModelName& model) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  engine->loading.onReset(now, model, this->options_.loading);
}

void engine_registry::onLoadReport(Instant now, const EngineId& id, const load_report& report) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  engine->load.onReport(now, report);
}

void engine_registry::onEventTime(Instant now, const EngineId& id, Duration duration) {
  engine_state* engine = this->table_.find(id);
  if (engine == nullptr) return;
  const bool complete = engine->latency.onEventTime(now, duration, this->options_.score.latency);
  this->table_.activeEngines().add(*engine);
  if (complete)
    engine->latency.closeHistoryWindow(this->medianEventTime(now, engine->record.service));
}

double engine_registry::freeSlots(Instant now, const EngineId& id) const {
  const engine_state* engine = this->find(id);
  if (engine == nullptr) return 0;
  return engine->record.slots - engine->load.total(now, this->options_.score.load);
}

double engine_registry::latencyRatio(Instant now, const EngineId& id) const {
  const engine_state* engine = this->find(id);
  if (engine == nullptr) return 1;
  return this->latencyRatio(now, *engine, this->medianEventTime(now, engine->record.service));
}

double engine_registry::expectedEventTime(Instant now, const EngineId& id) const {
  const engine_state* engine = this->find(id);
  if (engine == nullptr) return 0;
  const double median = this->medianEventTime(now, engine->record.service);
  return this->latencyRatio(now, *engine, median) * median;
}

double engine_registry::measuredEventTime(Instant now, const EngineId& id) const {
  const engine_state* engine = this->find(id);
  return engine == nullptr ? 0 : engine->latency.eventTime(now, this->options_.score.latency);
}

void engine_registry::sweep(Instant now) {
  this->cold_limiter_.sweep(
      now, [this](const EngineId& id) { return this->table_.find(id) != nullptr; });
  this->table_.activeEngines().sweep(now, this->options_.score.latency);
}

}  // namespace linenpier::engines
