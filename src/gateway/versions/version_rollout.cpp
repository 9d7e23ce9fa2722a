#include "gateway/versions/version_rollout.h"

#include <algorithm>
#include <cmath>

namespace linenpier::versions {

namespace {

/// At most this fraction (1/n) of a model's engines, but at least one engine, loads concurrently,
/// so that the others can serve the newest step. Engines that cannot serve it are exempt from the
/// limit.
constexpr std::size_t kLoadingDivisor = 3;
/// At most this fraction (1/n) of a model's engines is skipped because a step waits for one of
/// their runs: the newest step needs engines with its version.
constexpr std::size_t kAwaitedDivisor = 3;

}  // namespace

// --- Versions and reports ------------------------------------------------------------------------

void version_rollout::onVersionAnnounced(Instant now, const ModelName& model,
                                         WeightVersion version) {
  WeightVersion& known = this->newest_versions_[model];
  if (version <= known) return;
  known = version;
  this->announced_at_[model] = now;
}

WeightVersion version_rollout::newestVersion(const ModelName& model) const {
  const auto at = this->newest_versions_.find(model);
  return at == this->newest_versions_.end() ? 0 : at->second;
}

bool version_rollout::isNew(Instant now, const ModelName& model) const {
  const auto announced_at = this->announced_at_.find(model);
  return announced_at != this->announced_at_.end() &&
         now - announced_at->second < this->options_.busy_timeout;
}

bool version_rollout::isSettled(Instant now, const ModelName& model) const {
  const auto announced_at = this->announced_at_.find(model);
  return announced_at != this->announced_at_.end() &&
         now - announced_at->second >= this->options_.settle_time;
}

void version_rollout::reset() {
  this->progress_.clear();
  this->assignment_.reset();
}

void version_rollout::onReportRequested(Instant now, const EngineId& engine) {
  this->progress_[engine].report_requested_at = now;
}

void version_rollout::onReport(Instant now, const EngineId& engine, const order_report& report) {
  engine_progress& progress = this->progress_[engine];
  if (engines::startedBefore(report.start, progress.start)) return;
  if (engines::startedBefore(progress.start, report.start)) progress = engine_progress{};
  if (report.start != 0) progress.start = report.start;
  progress.reported_at = now;
  progress.load = report.load;
  // Reports are slightly outdated, so the local count of accepted orders may be ahead.
  progress.sequence = std::max(progress.sequence.value_or(0), report.accepted_orders);
  if (report.busy) {
    progress.not_before = std::max(progress.not_before, now + this->options_.busy_backoff);
  }
}

void version_rollout::onAnswer(Instant now, const version_order& order, OrderResult answer) {
  engine_progress& progress = this->progress_[order.engine];
  // The engine has restarted, so the response of its earlier start does not apply.
  if (engines::startedBefore(order.start, progress.start)) return;
  progress.sending = false;
  switch (answer) {
    case OrderResult::kStarted:
      progress.loading_until = now + this->options_.load_time;
      if (progress.sequence) ++*progress.sequence;
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderResult::kAlreadyLoaded:
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderResult::kBusy:
      progress.sequence.reset();
      progress.not_before = now + this->options_.busy_backoff;
      break;
    case OrderResult::kUnknown:
      // The order sequence is kept, so that at most one of this order and the next is executed.
      progress.not_before = now + this->options_.unknown_backoff;
      break;
    case OrderResult::kFenced:
    case OrderResult::kRejected:
      progress.sequence.reset();
      progress.not_before = now + this->options_.rejected_backoff;
      break;
  }
}

// --- Tick ----------------------------------------------------------------------------------------

std::vector<version_order> version_rollout::onTick(Instant now, const engines::engine_list& engines,
                                                   const open_work_by_model& work,
                                                   const std::set<EngineId>& awaited) {
  this->updateOpenWork(now, work);
  this->assignment_.update(engines, this->enginesWanted(now, engines, work),
                           this->newest_versions_);
  this->discardUnassignedProgress(now);
  const std::size_t loading = this->loadingCount(now);
  std::vector<load_candidate> candidates = this->findCandidates(now, engines, awaited);
  this->chooseCandidates(now, engines, candidates);
  this->findReportsNeeded(now, candidates);
  return this->orderCandidates(now, engines, candidates, loading);
}

void version_rollout::updateOpenWork(Instant now, const open_work_by_model& work) {
  for (const auto& [model, open] : work) {
    if (open.single_version) this->single_version_.insert(model);
    if (!open.single_version && open.items > 0) this->single_version_.erase(model);
  }
  this->demand_.onOpenWork(now, work);
}

engines_wanted version_rollout::enginesWanted(Instant now, const engines::engine_list& engines,
                                              const open_work_by_model& work) const {
  engines_wanted wanted;
  const std::uint32_t slots = engines.empty() ? 1 : engines.begin()->second->record.slots;
  for (const auto& [model, open] : work) {
    wanted[model] =
        this->isSettled(now, model) ? engines.size() : this->demand_.enginesToAssign(model, slots);
  }
  return wanted;
}

version_rollout::engine_progress& version_rollout::progressOf(const engines::engine_state& engine) {
  engine_progress& progress = this->progress_[engine.record.id];
  if (engines::startedBefore(progress.start, engine.record.start)) progress = engine_progress{};
  if (progress.start == 0) progress.start = engine.record.start;
  return progress;
}

void version_rollout::discardUnassignedProgress(Instant now) {
  std::erase_if(this->progress_, [&](const auto& each) {
    return !each.second.changing(now) && !this->assignment_.all().contains(each.first);
  });
}

// --- Candidates ----------------------------------------------------------------------------------

bool version_rollout::isBehind(Instant now, const engines::engine_state& engine,
                               const ModelName& model) const {
  const WeightVersion wanted = this->newestVersion(model);
  const auto at = this->progress_.find(engine.record.id);
  if (at != this->progress_.end()) {
    const auto confirmed = at->second.confirmed.find(model);
    const auto since = at->second.confirmed_at.find(model);
    if (confirmed != at->second.confirmed.end() && confirmed->second >= wanted &&
        now - since->second < this->options_.confirmation_lifetime) {
      return false;
    }
  }
  return engine.versionOf(model) < wanted;
}

version_rollout::Urgency version_rollout::urgencyOf(Instant now,
                                                    const engines::engine_state& engine,
                                                    const ModelName& model) const {
  if (!servesNewestStep(engine.versionOf(model), this->newestVersion(model)))
    return Urgency::kObsolete;
  const engine_progress& progress = this->progress_.at(engine.record.id);
  const double load = std::max(progress.load, engine.load.inFlight());
  if (load <= this->options_.quiet_share * engine.record.slots) return Urgency::kDue;
  if (this->single_version_.contains(model)) return Urgency::kBusy;
  return this->isNew(now, model) ? Urgency::kBusy : Urgency::kDue;
}

std::vector<version_rollout::load_candidate> version_rollout::findCandidates(
    Instant now, const engines::engine_list& engines, const std::set<EngineId>& awaited) {
  std::vector<load_candidate> candidates;
  std::map<ModelName, std::size_t> skipped;
  for (const auto& [id, model] : this->assignment_.all()) {
    const engines::engine_state& engine = *engines.at(id);
    const engine_progress& progress = this->progressOf(engine);
    if (progress.changing(now) || now < progress.not_before) continue;
    if (!this->isBehind(now, engine, model)) continue;
    if (awaited.contains(id) && this->isNew(now, model) &&
        kAwaitedDivisor * (skipped[model] + 1) <= this->assignment_.sizeOf(model)) {
      ++skipped[model];
      continue;
    }
    candidates.push_back({&engine, model, this->urgencyOf(now, engine, model),
                          std::max(progress.load, engine.load.inFlight())});
  }
  return candidates;
}

void version_rollout::chooseCandidates(Instant now, const engines::engine_list& engines,
                                       std::vector<load_candidate>& candidates) const {
  std::sort(candidates.begin(), candidates.end(),
            [](const load_candidate& one, const load_candidate& other) {
              if (one.urgency != other.urgency) return one.urgency < other.urgency;
              if (one.load != other.load) return one.load < other.load;
              return one.engine->record.id < other.engine->record.id;
            });
  std::map<ModelName, std::size_t> missing = this->enginesMissing(now, engines);
  std::erase_if(candidates, [&missing](const load_candidate& candidate) {
    std::size_t& left = missing[candidate.model];
    if (left == 0) return true;
    --left;
    return false;
  });
}

std::map<ModelName, std::size_t> version_rollout::enginesMissing(
    Instant now, const engines::engine_list& engines) const {
  std::map<ModelName, std::size_t> missing;
  for (const auto& [model, announced_at] : this->announced_at_) {
    std::size_t up_to_date = 0;
    std::uint32_t slots = 0;
    for (const EngineId& id : this->assignment_.enginesFor(model)) {
      const engines::engine_state& engine = *engines.at(id);
      slots = engine.record.slots;
      const auto progress = this->progress_.find(id);
      const bool sending = progress != this->progress_.end() && progress->second.sending;
      if (sending || !this->isBehind(now, engine, model)) ++up_to_date;
    }
    const std::size_t wanted =
        this->isSettled(now, model) ? engines.size() : this->demand_.enginesFor(model, slots);
    missing[model] = wanted - std::min(wanted, up_to_date);
  }
  return missing;
}

void version_rollout::findReportsNeeded(Instant now,
                                        const std::vector<load_candidate>& candidates) {
  this->reports_needed_.clear();
  for (const load_candidate& candidate : candidates) {
    if (this->reports_needed_.size() >= this->options_.reports_at_once) return;
    const engine_progress& progress = this->progress_.at(candidate.engine->record.id);
    const bool fresh = now - progress.reported_at < this->options_.report_interval;
    const bool requested = now - progress.report_requested_at < this->options_.report_interval;
    if (!fresh && !requested) this->reports_needed_.push_back(candidate.engine);
  }
}

// --- Orders --------------------------------------------------------------------------------------

std::size_t version_rollout::atOnce(std::size_t engines) const {
  const double share = this->options_.at_once_share * static_cast<double>(engines);
  return std::max(this->options_.at_once, static_cast<std::size_t>(std::lround(share)));
}

std::size_t version_rollout::loadingCount(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(this->progress_.begin(), this->progress_.end(),
                    [now](const auto& each) { return each.second.changing(now); }));
}

std::map<ModelName, std::size_t> version_rollout::loadingByModel(Instant now) const {
  std::map<ModelName, std::size_t> counts;
  for (const auto& [id, progress] : this->progress_) {
    if (progress.changing(now)) ++counts[progress.model];
  }
  return counts;
}

LoadMode version_rollout::modeFor(Instant now, const engines::engine_state& engine,
                                  const ModelName& model,
                                  const engines::engine_list& engines) const {
  if (this->options_.mode) return *this->options_.mode;
  // A version change would lose running texts that must each be generated by one version.
  if (this->single_version_.contains(model)) return LoadMode::kWait;
  double free_slots = 0;
  double displaced_load = 0;
  for (const EngineId& id : this->assignment_.enginesFor(model)) {
    const engines::engine_state* each = engines.at(id);
    const auto at = this->progress_.find(id);
    const bool known = at != this->progress_.end();
    const std::uint32_t reported = known ? at->second.load : 0;
    const double load = std::max(reported, each->load.inFlight());
    if (each == &engine) {
      displaced_load = load;
    } else if (!known || !at->second.changing(now)) {
      free_slots += std::max(0.0, each->record.slots - load);
    }
  }
  return displaced_load <= free_slots ? LoadMode::kCancel : LoadMode::kRetain;
}

version_order version_rollout::orderFor(Instant now, const load_candidate& candidate,
                                        const engine_progress& progress,
                                        const engines::engine_list& engines) const {
  version_order order;
  order.engine = candidate.engine->record.id;
  order.start = progress.start;
  order.address = candidate.engine->record.address;
  order.model = candidate.model;
  order.version = this->newestVersion(candidate.model);
  order.mode = this->modeFor(now, *candidate.engine, candidate.model, engines);
  order.expected_sequence = progress.sequence;
  return order;
}

std::vector<version_order> version_rollout::orderCandidates(
    Instant now, const engines::engine_list& engines, const std::vector<load_candidate>& candidates,
    std::size_t loading) {
  std::vector<version_order> orders;
  std::map<ModelName, std::size_t> changing = this->loadingByModel(now);
  for (const load_candidate& candidate : candidates) {
    if (loading + orders.size() >= this->atOnce(engines.size())) break;
    if (candidate.urgency == Urgency::kBusy) break;
    const ModelName& model = candidate.model;
    const std::size_t most =
        std::max<std::size_t>(1, this->assignment_.sizeOf(model) / kLoadingDivisor);
    if (candidate.urgency != Urgency::kObsolete && changing[model] >= most) continue;
    engine_progress& progress = this->progress_[candidate.engine->record.id];
    if (!progress.sequence) continue;
    orders.push_back(this->orderFor(now, candidate, progress, engines));
    progress.sending = true;
    progress.model = model;
    ++changing[model];
  }
  return orders;
}

}  // namespace linenpier::versions
