#include "gateway/versions/version_rollout.h"

#include <algorithm>
#include <cmath>

namespace linenpier::versions {

void VersionRollout::onNamed(Instant now, const ModelName& model, WeightVersion version) {
  WeightVersion& known = named_[model];
  if (version <= known) return;
  known = version;
  named_at_[model] = now;
}

WeightVersion VersionRollout::named(const ModelName& model) const {
  const auto at = named_.find(model);
  return at == named_.end() ? 0 : at->second;
}

void VersionRollout::onReportAsked(Instant now, const EngineId& engine) {
  progress_[engine].asked_at = now;
}

void VersionRollout::onReport(Instant now, const EngineId& engine, const OrderReport& report) {
  Progress& progress = progress_[engine];
  if (engines::startedBefore(report.start, progress.start)) return;
  if (engines::startedBefore(progress.start, report.start)) progress = Progress{};
  if (report.start != 0) progress.start = report.start;
  progress.reported_at = now;
  progress.load = report.load;
  // Reports are a little old: our own count of the orders it has taken may be ahead.
  progress.sequence = std::max(progress.sequence.value_or(0), report.taken);
  if (report.busy) progress.not_before = std::max(progress.not_before, now + options_.busy_pause);
}

VersionRollout::Urgency VersionRollout::urgencyOf(Instant now, const engines::EngineState& engine,
                                                  const ModelName& model) const {
  const WeightVersion wanted = named(model);
  // The newest step takes weights one version old. Engines behind that are of no use to it.
  if (engine.versionOf(model) + 1 < wanted) return Urgency::kNow;
  const Progress& progress = progress_.at(engine.record.id);
  const double load = std::max(progress.load, engine.in_flight);
  if (load <= options_.quiet_share * engine.record.slots) return Urgency::kSoon;
  if (single_version_.contains(model)) return Urgency::kLater;
  return isNew(now, model) ? Urgency::kLater : Urgency::kSoon;
}

bool VersionRollout::isNew(Instant now, const ModelName& model) const {
  const auto named_at = named_at_.find(model);
  return named_at != named_at_.end() && now - named_at->second < options_.busy_timeout;
}

bool VersionRollout::isBehind(Instant now, const engines::EngineState& engine,
                              const ModelName& model) const {
  const WeightVersion wanted = named(model);
  const auto at = progress_.find(engine.record.id);
  if (at != progress_.end()) {
    const auto confirmed = at->second.confirmed.find(model);
    const auto since = at->second.confirmed_at.find(model);
    // Discovery lags behind what the engine itself has answered.
    if (confirmed != at->second.confirmed.end() && confirmed->second >= wanted &&
        now - since->second < options_.confirm_time) {
      return false;
    }
  }
  return engine.versionOf(model) < wanted;
}

VersionRollout::Progress& VersionRollout::progressOf(const engines::EngineState& engine) {
  Progress& progress = progress_[engine.record.id];
  if (engines::startedBefore(progress.start, engine.record.start)) progress = Progress{};
  if (progress.start == 0) progress.start = engine.record.start;
  return progress;
}

void VersionRollout::dropIdleProgress(Instant now) {
  std::erase_if(progress_, [&](const auto& each) {
    const Progress& progress = each.second;
    const bool under_way = progress.sending || now < progress.loading_until;
    return !under_way && !assignment_.all().contains(each.first);
  });
}

bool VersionRollout::isSettled(Instant now, const ModelName& model) const {
  const auto named_at = named_at_.find(model);
  return named_at != named_at_.end() && now - named_at->second >= options_.settled;
}

EnginesWanted VersionRollout::enginesWanted(Instant now, const engines::EngineList& engines,
                                            const std::set<ModelName>& models) const {
  EnginesWanted wanted;
  const std::uint32_t slots = engines.empty() ? 1 : engines.begin()->second->record.slots;
  for (const ModelName& model : models) {
    wanted[model] = isSettled(now, model) ? engines.size() : demand_.enginesToAssign(model, slots);
  }
  return wanted;
}

std::vector<VersionOrder> VersionRollout::onTick(Instant now, const engines::EngineList& engines,
                                                 const open_work_by_model& work,
                                                 const std::set<EngineId>& awaited) {
  std::set<ModelName> models;
  for (const auto& [model, open] : work) {
    models.insert(model);
    if (open.single_version) single_version_.insert(model);
    if (!open.single_version && open.items > 0) single_version_.erase(model);
  }
  demand_.onOpenWork(now, work);
  assignment_.update(engines, enginesWanted(now, engines, models), named_);
  dropIdleProgress(now);
  std::size_t loading = 0;
  for (const auto& [id, progress] : progress_) {
    if (progress.sending || now < progress.loading_until) ++loading;
  }
  std::vector<Candidate> candidates = findCandidates(now, engines, awaited);
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& one, const Candidate& other) {
    if (one.urgency != other.urgency) return one.urgency < other.urgency;
    if (one.load != other.load) return one.load < other.load;
    return one.engine->record.id < other.engine->record.id;
  });
  std::map<ModelName, std::size_t> missing = enginesMissing(now, engines);
  std::erase_if(candidates, [&missing](const Candidate& candidate) {
    std::size_t& left = missing[candidate.model];
    if (left == 0) return true;
    --left;
    return false;
  });
  findReportsWanted(now, candidates);
  std::vector<VersionOrder> orders;
  std::map<ModelName, std::size_t> taken_out = loadingByModel(now);
  for (const Candidate& candidate : candidates) {
    if (loading + orders.size() >= atOnce(engines.size())) break;
    const ModelName& model = candidate.model;
    if (candidate.urgency == Urgency::kLater) break;
    // The newest step needs some engines while others load.
    const std::size_t most = std::max<std::size_t>(1, assignment_.sizeOf(model) / 3);
    if (candidate.urgency != Urgency::kNow && taken_out[model] >= most) continue;
    Progress& progress = progress_[candidate.engine->record.id];
    if (!progress.sequence) continue;
    VersionOrder order;
    order.engine = candidate.engine->record.id;
    order.start = progress.start;
    order.address = candidate.engine->record.address;
    order.model = model;
    order.version = named(model);
    order.mode = modeFor(now, *candidate.engine, model, engines);
    order.expected_sequence = progress.sequence;
    orders.push_back(order);
    progress.sending = true;
    progress.model = model;
    ++taken_out[model];
  }
  return orders;
}

std::size_t VersionRollout::atOnce(std::size_t engines) const {
  const double share = options_.at_once_share * static_cast<double>(engines);
  return std::max(options_.at_once, static_cast<std::size_t>(std::lround(share)));
}

LoadMode VersionRollout::modeFor(Instant now, const engines::EngineState& engine,
                                 const ModelName& model, const engines::EngineList& engines) const {
  if (options_.mode) return *options_.mode;
  // A text that one version must make would be lost with its engine's version.
  if (single_version_.contains(model)) return LoadMode::kWait;
  double room = 0;
  double displaced = 0;
  for (const EngineId& id : assignment_.enginesFor(model)) {
    const engines::EngineState* each = engines.at(id);
    const auto at = progress_.find(id);
    const std::uint32_t reported = at == progress_.end() ? 0 : at->second.load;
    const double load = std::max(reported, each->in_flight);
    if (each == &engine) {
      displaced = load;
    } else if (at == progress_.end() || (!at->second.sending && now >= at->second.loading_until)) {
      room += std::max(0.0, each->record.slots - load);
    }
  }
  return displaced <= room ? LoadMode::kCancel : LoadMode::kRetain;
}

std::map<ModelName, std::size_t> VersionRollout::loadingByModel(Instant now) const {
  std::map<ModelName, std::size_t> counts;
  for (const auto& [id, progress] : progress_) {
    if (progress.sending || now < progress.loading_until) ++counts[progress.model];
  }
  return counts;
}

std::vector<VersionRollout::Candidate> VersionRollout::findCandidates(
    Instant now, const engines::EngineList& engines, const std::set<EngineId>& awaited) {
  std::vector<Candidate> candidates;
  std::map<ModelName, std::size_t> left_alone;
  for (const auto& [id, model] : assignment_.all()) {
    const engines::EngineState& engine = *engines.at(id);
    const Progress& progress = progressOf(engine);
    if (progress.sending || now < progress.loading_until || now < progress.not_before) continue;
    if (!isBehind(now, engine, model)) continue;
    if (awaited.contains(id) && isNew(now, model) &&
        3 * (left_alone[model] + 1) <= assignment_.sizeOf(model)) {
      ++left_alone[model];
      continue;
    }
    candidates.push_back(
        {&engine, model, urgencyOf(now, engine, model), std::max(progress.load, engine.in_flight)});
  }
  return candidates;
}

std::map<ModelName, std::size_t> VersionRollout::enginesMissing(
    Instant now, const engines::EngineList& engines) const {
  std::map<ModelName, std::size_t> missing;
  for (const auto& [model, named_at] : named_at_) {
    std::size_t up_to_date = 0;
    std::uint32_t slots = 0;
    for (const EngineId& id : assignment_.enginesFor(model)) {
      const engines::EngineState& engine = *engines.at(id);
      slots = engine.record.slots;
      const auto progress = progress_.find(id);
      const bool sending = progress != progress_.end() && progress->second.sending;
      if (sending || !isBehind(now, engine, model)) ++up_to_date;
    }
    const std::size_t wanted =
        isSettled(now, model) ? engines.size() : demand_.enginesFor(model, slots);
    missing[model] = wanted - std::min(wanted, up_to_date);
  }
  return missing;
}

void VersionRollout::findReportsWanted(Instant now, const std::vector<Candidate>& candidates) {
  reports_wanted_.clear();
  for (const Candidate& candidate : candidates) {
    if (reports_wanted_.size() >= options_.reports_at_once) return;
    const Progress& progress = progress_.at(candidate.engine->record.id);
    const bool fresh = now - progress.reported_at < options_.report_period;
    const bool asked = now - progress.asked_at < options_.report_period;
    if (!fresh && !asked) reports_wanted_.push_back(candidate.engine);
  }
}

void VersionRollout::onAnswer(Instant now, const VersionOrder& order, OrderAnswer answer) {
  Progress& progress = progress_[order.engine];
  // The engine has started again since: what the earlier start took is of no matter.
  if (engines::startedBefore(order.start, progress.start)) return;
  progress.sending = false;
  switch (answer) {
    case OrderAnswer::kUnderWay:
      progress.loading_until = now + options_.load_time;
      if (progress.sequence) ++*progress.sequence;
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderAnswer::kInForce:
      progress.confirmed[order.model] = order.version;
      progress.confirmed_at[order.model] = now;
      break;
    case OrderAnswer::kBusy:
      progress.sequence.reset();
      progress.not_before = now + options_.busy_pause;
      break;
    case OrderAnswer::kUnknown:
      // The same sequence is expected again: at most one of both orders is ever carried out.
      progress.not_before = now + options_.unknown_pause;
      break;
    case OrderAnswer::kFenced:
    case OrderAnswer::kRejected:
      progress.sequence.reset();
      progress.not_before = now + options_.rejected_pause;
      break;
  }
}

}  // namespace linenpier::versions
