#include "gateway/engines/engine_selector.h"

namespace linenpier::engines {

namespace {
/// Expected waits are multiplied by a random factor of up to 1 + 1 / kJitterDivisor, which breaks
/// ties between engines with similar waits.
constexpr std::uint64_t kJitterDivisor = 20;
constexpr std::uint64_t kJitterSteps = 1000;
}  // namespace

const engine_state* engine_selector::pick(Instant now, const engine_request& request,
                                          engine_table& engines, const engine_admission& admission,
                                          cold_engine_limiter& cold, const score_options& score) {
  const score_context context = this->makeScoreContext(now, request, engines, score);
  const engine_scorer scorer(now, request, context, this->zone_, cold, score);
  comparison current{now, request, admission, scorer, cold};
  this->last_failures_ = admission_failure_counts();
  const bool by_version = request.minimum_version > 0 || request.exact_version;
  if (by_version && !request.model.empty()) {
    this->compareByVersion(current, engines.byVersion(request.service, request.model));
  } else {
    this->compareEngines(current, engines.allEngines(request.service));
  }
  return current.best;
}

score_context engine_selector::makeScoreContext(Instant now, const engine_request& request,
                                                engine_table& engines,
                                                const score_options& score) const {
  score_context context;
  context.median_event_time =
      engines.activeEngines().medianEventTime(now, request.service, score.latency);
  context.many_engines = engines.allEngines(request.service).size() > this->options_.max_candidates;
  if (request.memory_tokens > 0) context.mean_tokens = engines.activeEngines().meanTokens();
  if (!request.prefer_newest) return context;
  const engine_index::version_index& versions = engines.byVersion(request.service, request.model);
  if (!versions.empty()) context.newest = versions.begin()->first;
  return context;
}

void engine_selector::compareByVersion(comparison& current,
                                       const engine_index::version_index& versions) {
  const engine_request& request = current.request;
  const WeightVersion oldest = request.exact_version.value_or(request.minimum_version);
  for (const auto& [version, engines] : versions) {
    if (version < oldest) {
      this->last_failures_.add(AdmissionFailure::kVersionMismatch, engines.size());
    } else {
      this->compareEngines(current, engines);
    }
  }
}

void engine_selector::compareEngines(comparison& current,
                                     const engine_index::engine_order& engines) {
  for (const engine_index::entry& each : engines) {
    if (current.compared == this->options_.max_candidates) return;
    const engine_state& engine = *each.engine;
    if (!this->isAdmitted(current, engine)) continue;
    ++current.compared;
    const double wait =
        current.scorer.expectedWait(engine) * this->jitter() * current.scorer.penaltyFactor(engine);
    if (current.best != nullptr && wait >= current.wait) continue;
    current.best = &engine;
    current.wait = wait;
  }
}

bool engine_selector::isAdmitted(comparison& current, const engine_state& engine) {
  ++this->examined_;
  const AdmissionFailure failure = current.admission.admit(current.now, engine, current.request);
  if (failure == AdmissionFailure::kNone) return true;
  this->last_failures_.add(failure);
  if (failure == AdmissionFailure::kCold) {
    current.cold.onRefused(current.now, current.request.service, engine.record.id);
  }
  return false;
}

double engine_selector::jitter() {
  const auto step = static_cast<double>(this->random_.below(kJitterSteps));
  return 1 + step / (kJitterDivisor * kJitterSteps);
}

bool engine_selector::isPlaceable(const engine_request& request, const engine_table& engines,
                                  const engine_admission& admission) {
  this->last_failures_ = admission_failure_counts();
  for (const engine_index::entry& each : engines.allEngines(request.service)) {
    const AdmissionFailure failure = admission.checkPlacement(*each.engine, request);
    if (failure == AdmissionFailure::kNone) return true;
    this->last_failures_.add(failure);
  }
  return false;
}

}  // namespace linenpier::engines
