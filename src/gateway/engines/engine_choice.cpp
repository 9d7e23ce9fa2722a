#include "gateway/engines/engine_choice.h"

namespace linenpier::engines {

namespace {
/// Waits that differ by less than one part in this many count as equal: chance decides.
constexpr std::uint64_t kJitterDivisor = 20;
constexpr std::uint64_t kJitterSteps = 1000;
}  // namespace

const engine_state* engine_choice::pick(Instant now, const engine_request& request,
                                        engine_table& engines, const engine_admission& admission,
                                        cold_engine_limiter& cold, const score_options& score) {
  const score_context context = this->contextFor(now, request, engines, score);
  const engine_score scored(now, request, context, this->zone_, cold, score);
  comparison comparison{now, request, admission, scored, cold};
  this->last_failures_ = admission_failure_counts();
  const bool by_version = request.minimum_version > 0 || request.exact_version;
  if (by_version && !request.model.empty()) {
    this->compareHolders(comparison, engines.holding(request.service, request.model));
  } else {
    this->compareAll(comparison, engines.allEngines(request.service));
  }
  return comparison.best;
}

score_context engine_choice::contextFor(Instant now, const engine_request& request,
                                        engine_table& engines, const score_options& score) const {
  score_context context;
  context.median_event_time = engines.inUse().medianEventTime(now, request.service, score.latency);
  context.many_engines = engines.allEngines(request.service).size() > this->options_.max_compared;
  if (request.memory_tokens > 0) context.mean_tokens = engines.inUse().meanTokens();
  if (!request.prefer_newest) return context;
  const engine_index::holders& holders = engines.holding(request.service, request.model);
  if (!holders.empty()) context.newest = holders.begin()->first;
  return context;
}

void engine_choice::compareHolders(comparison& comparison, const engine_index::holders& holders) {
  const engine_request& request = comparison.request;
  const WeightVersion oldest = request.exact_version.value_or(request.minimum_version);
  for (const auto& [version, engines] : holders) {
    if (version < oldest) {
      this->last_failures_.add(AdmissionFailure::kVersionMismatch, engines.size());
    } else {
      this->compareAll(comparison, engines);
    }
  }
}

void engine_choice::compareAll(comparison& comparison, const engine_index::engine_order& engines) {
  for (const engine_index::entry& each : engines) {
    if (comparison.compared == this->options_.max_compared) return;
    const engine_state& engine = *each.engine;
    if (!this->isAdmitted(comparison, engine)) continue;
    ++comparison.compared;
    const double wait = comparison.score.expectedWait(engine) * this->jitter() *
                        comparison.score.reluctance(engine);
    if (comparison.best != nullptr && wait >= comparison.wait) continue;
    comparison.best = &engine;
    comparison.wait = wait;
  }
}

bool engine_choice::isAdmitted(comparison& comparison, const engine_state& engine) {
  ++this->examined_;
  const AdmissionFailure refusal =
      comparison.admission.admit(comparison.now, engine, comparison.request);
  if (refusal == AdmissionFailure::kNone) return true;
  this->last_failures_.add(refusal);
  if (refusal == AdmissionFailure::kCold) {
    comparison.cold.onRefused(comparison.now, comparison.request.service, engine.record.id);
  }
  return false;
}

double engine_choice::jitter() {
  const auto step = static_cast<double>(this->random_.below(kJitterSteps));
  return 1 + step / (kJitterDivisor * kJitterSteps);
}

bool engine_choice::isPlaceable(const engine_request& request, const engine_table& engines,
                                const engine_admission& admission) {
  this->last_failures_ = admission_failure_counts();
  for (const engine_index::entry& each : engines.allEngines(request.service)) {
    const AdmissionFailure refusal = admission.admitPlace(*each.engine, request);
    if (refusal == AdmissionFailure::kNone) return true;
    this->last_failures_.add(refusal);
  }
  return false;
}

}  // namespace linenpier::engines
