#include "batch/batch_service.h"

#include <algorithm>

#include "batch/active_job.h"
#include "gateway/store_keys.h"
#include "logging/event_log.h"

namespace linenpier::batch {

using forward::AttemptVerdict;
using logging::LogEvent;

namespace {
constexpr double kPromptTokens = 300;  ///< A usual prompt.
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kGiveUpSlack = std::chrono::milliseconds(1500);

/// @return the memory that an item is expected to fill: less than the most that it may.
double expectedTokens(const BatchItem& item) {
  if (item.length_hint == 0) return item.tokens;
  return std::min(item.tokens, static_cast<double>(item.length_hint) + kPromptTokens);
}
}  // namespace

BatchService::~BatchService() = default;

void BatchService::start() {
  spawn(deps_.loop, [this] { return tickLoop(); });
}

bool BatchService::ownsAny() const {
  return std::any_of(jobs_.begin(), jobs_.end(), [this](const auto& each) {
    return !each.second.record.ended && each.second.record.owner == deps_.leases.own();
  });
}

const routing::Route* BatchService::routeOf(const JobRecord& record,
                                            routing::RouteTablePtr& table) const {
  table = deps_.routes();
  return table ? table->find(record.host, record.path) : nullptr;
}

RunRules BatchService::rulesFor(const routing::Route* route, Instant give_up_at) const {
  RunRules rules;
  rules.give_up_at = give_up_at;
  if (route != nullptr) {
    rules.max_failures = std::max(1, route->max_attempts);
    rules.single_version = route->single_version;
  }
  return rules;
}

// --- Rows ---------------------------------------------------------------------------------------

void BatchService::onRecordRow(const JobId& id, const table::Row& row) {
  const auto record = decodeRecord(id, row.value);
  if (!record) {
    LogEvent("batch", "bad_record").text("batch", id.str());
    return;
  }
  Job& job = jobs_[id];
  if (row.revision <= job.revision) return;
  job.record = *record;
  job.revision = row.revision;
  job.orphaned_at = Instant{};
  if (job.active && (record->ended || record->owner != deps_.leases.own())) {
    deactivate(job, record->ended ? "ended" : "taken_by_another");
  } else if (job.active && job.active->fence != row.revision) {
    job.active->fence = row.revision;
  } else if (!job.active && !job.activating && !record->ended && !stopping_ &&
             record->owner == deps_.leases.own()) {
    job.activating = true;
    spawn(deps_.loop, [this, id] { return resume(id); });
  }
}

void BatchService::deactivate(Job& job, const char* reason) {
  if (!job.active || job.active->stopped) return;
  LogEvent("batch", "job_stopped")
      .text("batch", job.record.id.str())
      .text("reason", reason)
      .number("revision", static_cast<std::int64_t>(job.revision))
      .number("listed", static_cast<std::int64_t>(job.active->listed.size()));
  if (!job.record.ended) ++counts_.lost;
  job.active->stop(steadyNow());
}

// --- Taking over --------------------------------------------------------------------------------

void BatchService::checkOwners(Instant now) {
  for (auto& [id, job] : jobs_) {
    if (job.active && job.active->stopped && job.active->calls.empty() &&
        now - job.active->stopped_at > options_.keep_ended) {
      job.active.reset();
    }
    if (job.record.ended || stopping_ || job.activating) continue;
    if (job.active && !job.active->stopped) continue;
    if (!deps_.leases.feedHealthy() || !deps_.leases.expired(now, job.record.owner)) continue;
    if (job.orphaned_at == Instant{}) job.orphaned_at = now;
    const bool own = deps_.leases.isEarlierSelf(job.record.owner);
    const Duration delay = own ? Duration::zero() : deps_.leases.courtesy(now, id.str());
    if (now - job.orphaned_at < delay) continue;
    job.activating = true;
    job.orphaned_at = Instant{};
    const JobId job_id = id;
    spawn(deps_.loop, [this, job_id] { return takeOver(job_id); });
  }
}

Task<void> BatchService::takeOver(JobId id) {
  const auto known = jobs_.find(id);
  if (known == jobs_.end()) co_return;
  const LeaseId silent = known->second.record.owner;
  const bool confirmed = co_await deps_.keeper.confirmSilent(silent);
  const auto at = jobs_.find(id);
  if (at == jobs_.end()) co_return;
  if (!confirmed || at->second.record.owner != silent) {
    at->second.activating = false;
    co_return;
  }
  JobRecord record = at->second.record;
  const Revision fence = at->second.revision;
  const std::string from = record.owner.str();
  record.owner = deps_.leases.own();
  const Instant sent_at = steadyNow();
  std::vector<table::Put> renewal;
  renewal.push_back(deps_.keeper.renewal());
  const FencedAnswer answer = co_await deps_.store.putRecord(record, fence, std::move(renewal));
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) co_return;
  LogEvent("batch", "takeover")
      .text("batch", id.str())
      .text("from", from)
      .number("fence", static_cast<std::int64_t>(fence))
      .text("outcome", answer.outcome == FencedOutcome::kDone ? "done" : "not_done");
  if (answer.outcome != FencedOutcome::kDone) {
    job->second.activating = false;
    if (answer.current) onRecordRow(id, *answer.current);
    co_return;
  }
  ++counts_.taken_over;
  deps_.keeper.onRenewed(sent_at);
  if (answer.revision > job->second.revision) {
    job->second.record = record;
    job->second.revision = answer.revision;
  }
  co_await resume(id);
}

/// Continues a job that this daemon owns by the store's word: reads what it is and what is listed.
Task<void> BatchService::resume(JobId id) {
  for (;;) {
    const auto bytes = co_await deps_.store.getJob(id);
    auto at = jobs_.find(id);
    const auto stillOwned = [&] {
      return at != jobs_.end() && !at->second.record.ended && !stopping_ &&
             at->second.record.owner == deps_.leases.own();
    };
    if (!stillOwned()) break;
    const auto inheritance = co_await inherit(id);
    const bool whole = bytes.has_value() && inheritance.has_value();
    at = jobs_.find(id);
    if (!stillOwned()) break;
    if (whole) {
      auto job = deps_.codec.parseJob(id, *bytes);
      if (!job) break;
      routing::RouteTablePtr table;
      const routing::Route* route = routeOf(at->second.record, table);
      const Duration limit = route != nullptr ? route->queue_limit : std::chrono::seconds(30);
      const Duration age =
          std::chrono::milliseconds(inheritance->clock_ms - at->second.record.accepted_ms);
      activate(id, std::move(*job), *inheritance, steadyNow() + limit - age + kGiveUpSlack);
      break;
    }
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
  const auto at = jobs_.find(id);
  if (at != jobs_.end()) at->second.activating = false;
}

Task<CallResult<BatchService::Inheritance>> BatchService::inherit(JobId id) {
  Inheritance inheritance;
  for (;;) {
    auto page = co_await deps_.store.results(id, inheritance.listed.size(), 0);
    if (!page) co_return tl::make_unexpected(page.error());
    inheritance.clock_ms = page->clock_ms;
    if (page->results.empty()) break;
    for (StoredResult& each : page->results) inheritance.listed.push_back(std::move(each));
  }
  auto checkpoint = co_await deps_.store.getCheckpoint(id);
  if (!checkpoint) co_return tl::make_unexpected(checkpoint.error());
  inheritance.checkpoint = std::move(*checkpoint);
  co_return inheritance;
}

void BatchService::activate(const JobId& id, BatchJob parsed, const Inheritance& inheritance,
                            Instant give_up_at) {
  Job& job = jobs_[id];
  routing::RouteTablePtr table;
  const routing::Route* route = routeOf(job.record, table);
  job.active = std::make_shared<Active>(deps_.loop, job.record, std::move(parsed),
                                        rulesFor(route, give_up_at));
  job.active->fence = job.revision;
  job.active->give_up_at = give_up_at;
  for (const StoredResult& each : inheritance.listed) {
    if (each.item_index < job.active->run.job().items.size()) {
      job.active->run.onAlreadyListed(each.item_index);
    }
    job.active->listed.push_back(each.encoded);
  }
  for (const ItemCheckpoint& kept : inheritance.checkpoint) {
    if (kept.item_index >= job.active->run.job().items.size()) continue;
    job.active->run.onCheckpoint(kept.item_index, kept.last_event, kept.versions, kept.text);
  }
  LogEvent("batch", "job_active")
      .text("batch", id.str())
      .number("fence", static_cast<std::int64_t>(job.active->fence))
      .number("items", static_cast<std::int64_t>(job.record.total))
      .number("listed", static_cast<std::int64_t>(inheritance.listed.size()))
      .number("checkpoint", static_cast<std::int64_t>(inheritance.checkpoint.size()))
      .number("minimum_version", static_cast<std::int64_t>(job.active->run.job().minimum_version));
  const ActivePtr active = job.active;
  spawn(deps_.loop, [this, active] { return listLoop(active); });
  spawn(deps_.loop, [this, active] { return checkpointLoop(active); });
  pump();
}

Task<void> BatchService::tickLoop() {
  for (;;) {
    co_await sleepFor(deps_.loop, kTick);
    const Instant now = steadyNow();
    checkOwners(now);
    for (auto& [id, job] : jobs_) {
      if (!job.active || job.active->stopped) continue;
      routing::RouteTablePtr table;
      job.active->run.setRules(rulesFor(routeOf(job.record, table), job.active->give_up_at));
      if (job.active->run.onTick(now)) job.active->finished.notifyAll();
    }
    moveSlowRuns(now);
    pump();
  }
}

BatchService::Work BatchService::work() const {
  Work work;
  for (const auto& [id, job] : jobs_) {
    if (!job.active || job.active->stopped) continue;
    ++work.jobs;
    work.waiting += job.active->run.waiting();
    work.running += job.active->run.running();
  }
  return work;
}

std::set<ModelName> BatchService::modelsInUse() const {
  std::set<ModelName> models;
  for (const auto& [id, job] : jobs_) {
    if (!job.record.ended && !job.record.model.empty()) models.insert(job.record.model);
  }
  return models;
}

void BatchService::moveSlowRuns(Instant now) {
  std::size_t moved = 0;
  for (auto& [id, job] : jobs_) {
    if (!job.active || job.active->stopped) continue;
    Active& active = *job.active;
    routing::RouteTablePtr table;
    const routing::Route* route = routeOf(active.record, table);
    if (route == nullptr || route->single_version || active.run.waiting() > 0) continue;
    for (const auto& [item, call] : active.calls) {
      if (moved >= options_.moves_per_tick) return;
      if (now - call->startedAt() < options_.move_after) continue;
      const double own_pace = deps_.engines.registry.slowness(now, call->engine());
      if (own_pace < options_.move_gain) continue;
      engines::PickRequest wanted = pickFor(active, item, *route);
      wanted.excluded.insert(call->engine());
      const engines::EngineState* better = deps_.engines.registry.pick(now, wanted);
      if (better == nullptr) continue;
      const double better_pace = deps_.engines.registry.slowness(now, better->record.id);
      if (own_pace < options_.move_gain * better_pace) continue;
      LogEvent("batch", "run_moved")
          .text("item", active.run.job().items[item].id.str())
          .text("from", call->engine().str())
          .text("towards", better->record.id.str())
          .real("slowness", own_pace)
          .real("slowness_there", better_pace);
      call->abort();
      ++moved;
    }
  }
}

Task<void> BatchService::handOver() {
  stopping_ = true;
  std::vector<JobId> owned;
  for (auto& [id, job] : jobs_) {
    if (job.active && !job.active->stopped) owned.push_back(id);
  }
  for (const JobId& id : owned) {
    auto at = jobs_.find(id);
    if (at == jobs_.end() || !at->second.active || at->second.active->stopped) continue;
    JobRecord record = at->second.record;
    record.owner = LeaseId();
    const Revision fence = at->second.active->fence;
    const ActivePtr active = at->second.active;
    active->stop(steadyNow());
    // Also where one was sent just now: it may come too late, after the job was given up.
    co_await writeCheckpoint(active, CheckpointNeed::kAlways);
    const FencedAnswer answer = co_await deps_.store.putRecord(std::move(record), fence, {});
    LogEvent("batch", "handed_over")
        .text("batch", id.str())
        .text("outcome", answer.outcome == FencedOutcome::kDone ? "done" : "not_done");
  }
}

// --- Running items ------------------------------------------------------------------------------

void BatchService::pump() {
  std::vector<ActivePtr> active;
  for (auto& [id, job] : jobs_) {
    if (job.active && !job.active->stopped) active.push_back(job.active);
  }
  std::sort(active.begin(), active.end(), [](const ActivePtr& one, const ActivePtr& other) {
    return one->record.accepted_ms < other->record.accepted_ms;
  });
  for (const ActivePtr& each : active) {
    routing::RouteTablePtr table;
    const routing::Route* route = routeOf(each->record, table);
    if (route == nullptr) continue;
    while (const auto item = each->run.nextToStart(steadyNow())) {
      if (!startItem(each, *item, *route)) break;
    }
  }
}

http::Request BatchService::itemRequest(const Active& active, ItemIndex item) const {
  const BatchItem& each = active.run.job().items[item];
  http::Request request(boost::beast::http::verb::post, each.path, 11);
  request.set(boost::beast::http::field::host, active.record.host);
  for (const auto& [name, value] : each.fields) request.insert(name, value);
  request.set(deps_.engines.names.request_id, each.id.str());
  const ItemProgress& progress = active.run.progress(item);
  if (progress.last_event > 0) {
    request.set(deps_.engines.names.last_event_id, std::to_string(progress.last_event));
  }
  request.body() = each.body;
  request.prepare_payload();
  return request;
}

engines::PickRequest BatchService::pickFor(const Active& active, ItemIndex item,
                                           const routing::Route& route) const {
  const BatchItem& each = active.run.job().items[item];
  engines::PickRequest wanted;
  wanted.service = route.services.front().service;
  wanted.model = each.model;
  wanted.minimum_version = active.run.job().minimum_version;
  wanted.most_per_slot = options_.requests_per_slot;
  wanted.tokens = expectedTokens(each);
  wanted.batching = !each.model.empty();
  const routing::RouteTablePtr table = deps_.routes();
  const auto service = table->services.find(wanted.service);
  if (service != table->services.end()) wanted.memory_tokens = service->second.memory_tokens;
  return wanted;
}

bool BatchService::startItem(const ActivePtr& active, ItemIndex item, const routing::Route& route) {
  const Instant now = steadyNow();
  const BatchItem& each = active->run.job().items[item];
  engines::PickRequest wanted = pickFor(*active, item, route);
  const ItemProgress& progress = active->run.progress(item);
  if (progress.failures > 0 && !progress.last_engine.empty()) {
    wanted.excluded.insert(progress.last_engine);
  }
  const engines::EngineState* engine = deps_.engines.registry.pick(now, wanted);
  if (engine == nullptr && !wanted.excluded.empty()) {
    wanted.excluded.clear();
    engine = deps_.engines.registry.pick(now, wanted);
  }
  if (engine == nullptr) return false;
  const auto call =
      std::make_shared<forward::EngineCall>(deps_.engines, *engine, itemRequest(*active, item));
  active->run.onStarted(now, item, engine->record.id);
  active->calls[item] = call;
  deps_.engines.registry.onTokens(call->engine(), wanted.tokens);
  ++counts_.attempts;
  const std::string model = each.model.str();
  spawn(deps_.loop,
        [this, active, item, call, model] { return runItem(active, item, call, model); });
  return true;
}

Task<void> BatchService::runItem(ActivePtr active, ItemIndex item,
                                 std::shared_ptr<forward::EngineCall> call, std::string model) {
  const ModelName model_name(model);
  const AttemptVerdict verdict = co_await readItemEvents(*active, item, *call, model_name);
  active->calls.erase(item);
  deps_.engines.registry.onTokens(call->engine(), -expectedTokens(active->run.job().items[item]));
  if (active->stopped) co_return;
  settleItem(*active, item, *call, verdict, model_name);
  pump();
}

Task<AttemptVerdict> BatchService::readItemEvents(Active& active, ItemIndex item,
                                                  forward::EngineCall& call,
                                                  const ModelName& model) {
  const Instant started = steadyNow();
  forward::AttemptLimits limits{started + options_.connect_time,
                                started + options_.first_event_time};
  AttemptVerdict verdict = co_await call.start(limits);
  if (verdict != AttemptVerdict::kAnswered) co_return verdict;
  if (call.status() >= 300) {
    std::string ignored;
    co_return co_await call.readWhole(ignored, steadyNow() + options_.event_gap);
  }
  WeightVersion version = call.headVersion();
  if (!model.empty()) deps_.engines.registry.onVersionSeen(call.engine(), model, version);
  forward::EventParser parser(deps_.engines.names.weight_versions);
  std::vector<forward::StreamEvent> events;
  Instant last = steadyNow();
  bool first = true;
  while (!call.finished()) {
    const Duration gap = first ? options_.first_event_time : options_.event_gap;
    verdict = co_await call.readEvents(parser, events, steadyNow() + gap);
    if (active.stopped) co_return AttemptVerdict::kAborted;
    const Instant now = steadyNow();
    for (forward::StreamEvent& event : events) {
      if (event.version) {
        version = *event.version;
        if (!model.empty()) deps_.engines.registry.onVersionSeen(call.engine(), model, version);
      }
      const EventVerdict taken =
          active.run.onEvent(now, item, event.id.value_or(0), event.data, version);
      if (taken == EventVerdict::kUnfit) {
        call.abort();
        co_return AttemptVerdict::kBroken;
      }
    }
    if (!events.empty()) {
      if (!first) {
        deps_.engines.registry.onPace(now, call.engine(),
                                      (now - last) / static_cast<int>(events.size()));
      }
      first = false;
      last = now;
    }
    if (verdict != AttemptVerdict::kAnswered) co_return verdict;
  }
  co_return parser.rest().empty() ? AttemptVerdict::kAnswered : AttemptVerdict::kBroken;
}

void BatchService::settleItem(Active& active, ItemIndex item, forward::EngineCall& call,
                              AttemptVerdict verdict, const ModelName& model) {
  const Instant now = steadyNow();
  const unsigned status = verdict == AttemptVerdict::kAnswered ? call.status() : 0;
  const std::uint64_t events = active.run.progress(item).last_event;
  if (verdict == AttemptVerdict::kAnswered && status == 422) {
    active.run.onRejected(item);
  } else if (verdict == AttemptVerdict::kAnswered && status >= 300) {
    active.run.onFailed(now, item);
  } else if (verdict == AttemptVerdict::kAnswered && events > 0) {
    active.run.onCompleted(now, item);
  } else if (verdict == AttemptVerdict::kNotExecuted) {
    if (!model.empty()) deps_.engines.registry.onModelRefused(now, call.engine(), model);
    active.run.onInterrupted(now, item, options_.refused_pause);
  } else {
    if (verdict == AttemptVerdict::kBroken && !model.empty()) {
      deps_.engines.registry.onModelReset(now, call.engine(), model);
    }
    routing::RouteTablePtr table;
    const routing::Route* route = routeOf(active.record, table);
    if (route != nullptr && route->single_version) active.run.discardText(item);
    active.run.onInterrupted(now, item, options_.broken_pause);
  }
  const ItemState state = active.run.progress(item).state;
  if (state == ItemState::kFinished) active.finished.notifyAll();
  const bool success = verdict == AttemptVerdict::kAnswered && status < 300;
  if (success && !sampler_.admit(now)) return;
  LogEvent("batch", "attempt_ended")
      .text("batch", active.record.id.str())
      .text("item", active.run.job().items[item].id.str())
      .text("engine", call.engine().str())
      .text("verdict", forward::toText(verdict))
      .number("status", status)
      .number("events", static_cast<std::int64_t>(events))
      .number("hint", static_cast<std::int64_t>(active.run.job().items[item].length_hint))
      .milliseconds("took_ms", now - call.startedAt());
}

// --- Checkpoints ------------------------------------------------------------------------------

Task<void> BatchService::writeCheckpoint(ActivePtr active, CheckpointNeed need) {
  Checkpoint checkpoint = active->checkpoint();
  std::uint64_t events = 0;
  for (const ItemCheckpoint& item : checkpoint) events += item.last_event;
  const std::uint64_t before = active->checkpoint_events;
  const std::uint64_t difference = events > before ? events - before : before - events;
  const bool much = difference >= options_.checkpoint_events;
  if (need == CheckpointNeed::kIfMuchIsNew && !much) co_return;
  active->checkpoint_events = events;
  const std::uint64_t number = ++active->checkpoints;
  const FencedAnswer answer = co_await deps_.store.putCheckpoint(active->record.id, active->fence,
                                                                 number, std::move(checkpoint));
  const bool done = answer.outcome == FencedOutcome::kDone;
  if (!done) active->checkpoint_events = 0;
  LogEvent("batch", "checkpoint")
      .text("batch", active->record.id.str())
      .number("number", static_cast<std::int64_t>(number))
      .number("events", static_cast<std::int64_t>(events))
      .text("outcome", done ? "done" : "not_done");
}

Task<void> BatchService::checkpointLoop(ActivePtr active) {
  for (;;) {
    co_await sleepFor(deps_.loop, options_.checkpoint_gap);
    if (active->stopped || active->run.allListed()) co_return;
    co_await writeCheckpoint(active, CheckpointNeed::kIfMuchIsNew);
  }
}

// --- Listing ------------------------------------------------------------------------------------

Task<void> BatchService::listLoop(ActivePtr active) {
  while (!active->stopped && !active->run.allListed()) {
    if (active->pending.results.empty() && active->run.finished().empty()) {
      co_await active->finished.waitFor(std::chrono::seconds(1));
      continue;
    }
    const bool done = co_await listPending(active);
    if (active->stopped) break;
    co_await sleepFor(deps_.loop, done ? options_.list_gap : options_.store_pause);
  }
  if (!active->stopped) {
    LogEvent("batch", "job_listed")
        .text("batch", active->record.id.str())
        .number("results", static_cast<std::int64_t>(active->listed.size()));
    active->stop(steadyNow());
  }
}

Task<bool> BatchService::listPending(ActivePtr active) {
  Active::Pending& pending = active->pending;
  if (pending.results.empty()) {
    pending.position = active->listed.size();
    std::size_t bytes = 0;
    for (const ItemIndex item : active->run.finished()) {
      if (pending.results.size() >= options_.write_rows || bytes >= options_.write_bytes) break;
      StoredResult result{item, deps_.codec.encodeResult(active->run.result(item))};
      bytes += result.encoded.size();
      pending.items.push_back(item);
      pending.results.push_back(std::move(result));
    }
  }
  const Revision fence = active->fence;
  const FencedAnswer answer =
      co_await deps_.store.append(active->record.id, fence, pending.position, pending.results);
  if (active->stopped) co_return false;
  if (answer.outcome == FencedOutcome::kFenceLost && answer.current) {
    onRecordRow(active->record.id, *answer.current);
    co_return false;
  }
  if (answer.outcome != FencedOutcome::kDone) {
    LogEvent("batch", "list_failed")
        .text("batch", active->record.id.str())
        .number("position", static_cast<std::int64_t>(pending.position))
        .text("outcome", answer.outcome == FencedOutcome::kUnknown ? "unknown" : "not_done");
    co_return false;
  }
  for (std::size_t i = 0; i < pending.items.size(); ++i) {
    const bool completed =
        active->run.progress(pending.items[i]).outcome == ResultState::kCompleted;
    ++(completed ? counts_.completed : counts_.terminated);
    active->run.onListed(pending.items[i]);
    active->listed.push_back(std::move(pending.results[i].encoded));
  }
  pending = Active::Pending{};
  active->listed_changed.notifyAll();
  co_return true;
}

}  // namespace linenpier::batch
