/// @file
/// Running of the items of owned jobs: choice of engines, attempts, moves.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/awaited_runs.h"
#include "gateway/batch/batch_service.h"
#include "gateway/batch/item_placement.h"
#include "gateway/batch/job_rules.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

using forward::AttemptVerdict;
using logging::LogEvent;

namespace {
/// Between two looks at an item whose like runs just now.
constexpr Duration kTriedPause = std::chrono::milliseconds(100);
/// The same at one under which engines ended: another daemon's answer may clear it.
constexpr Duration kHeldPause = std::chrono::seconds(1);
}  // namespace

/// A job with items that wait, while engines are dealt out.
struct BatchService::startable_item {
  ActivePtr active;
  routing::RouteTablePtr table;
  const routing::Route* route = nullptr;
  ItemIndex item = 0;
  Instant latest_start{};  ///< Of that item, if its job is to be whole when it is due.
};

std::vector<BatchService::startable_item> BatchService::startableItems() {
  std::vector<startable_item> jobs;
  for (auto& [id, job] : jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    startable_item each;
    each.active = job.active;
    each.table = deps_.routes();
    each.route = routeOf(job.active->record, each.table);
    if (each.route != nullptr && findNext(each)) jobs.push_back(std::move(each));
  }
  return jobs;
}

bool BatchService::findNext(startable_item& job) const {
  const Instant now = steadyNow();
  const auto item = job.active->run.nextToStart(now);
  if (!item) return false;
  const BatchItem& each = job.active->run.job().items[*item];
  const double events =
      lengths_.remainingEvents(each.length_hint, job.active->run.progress(*item).last_event);
  const double event_time =
      deps_.engines.registry.medianEventTime(now, job.route->services.front().service);
  job.item = *item;
  job.latest_start =
      job.active->accepted_at + job.route->target_finish - fromSeconds(events * event_time);
  return true;
}

void BatchService::pump() {
  for (auto& [id, job] : jobs_.all()) {
    if (job.active && !job.active->stopped) scorer_.start(job.active);
  }
  std::vector<startable_item> jobs = startableItems();
  // The item that is latest begins first, of whichever job: a long text decides when its step ends.
  while (!jobs.empty()) {
    const auto next = std::min_element(jobs.begin(), jobs.end(),
                                       [](const startable_item& one, const startable_item& other) {
                                         return one.latest_start < other.latest_start;
                                       });
    const bool started = startItem(next->active, next->item, *next->route);
    if (!started || !findNext(*next)) jobs.erase(next);
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
  const routing::RouteTablePtr table = deps_.routes();
  if (table) {
    tenants::nameTenant(*table, deps_.engines.names.tenant, active.record.tenant, request);
    const std::optional<int> priority = table->tenants.priorityOf(active.record.tenant);
    if (priority) request.set(deps_.engines.names.priority, std::to_string(*priority));
  }
  request.body() = each.body;
  request.prepare_payload();
  return request;
}

suspects::request_key BatchService::keyOf(const Active& active, ItemIndex item) const {
  const BatchItem& each = active.run.job().items[item];
  return suspects::keyOf(active.record.tenant, active.record.host, each.path, each.body);
}

bool BatchService::startItem(const ActivePtr& active, ItemIndex item, const routing::Route& route) {
  const Instant now = steadyNow();
  const BatchItem& each = active->run.job().items[item];
  const engines::PickRequest wanted = picks_.pickFor(*active, item, route);
  const item_placement placement =
      placeItem(now, deps_.engines.registry, active->run.progress(item), wanted);
  if (placement.discard_text) active->run.discardText(item);
  const engines::EngineState* engine = placement.engine;
  if (engine == nullptr) return false;
  const auto leave = leaveToRun(*active, item);
  if (!leave) return true;  // It waits, and others may start.
  const auto call =
      std::make_shared<forward::EngineCall>(deps_.engines, *engine, itemRequest(*active, item));
  active->run.onStarted(now, item, engine->record.id);
  active->calls[item] = call;
  deps_.engines.registry.onTokens(call->engine(), wanted.tokens);
  ++counts_.attempts;
  const std::string model = each.model.str();
  spawn(deps_.loop, [this, active, item, call, model, attempt = *leave] {
    return runItem(active, item, call, model, attempt);
  });
  return true;
}

std::optional<suspects::sent_attempt> BatchService::leaveToRun(Active& active, ItemIndex item) {
  suspects::sent_attempt attempt;
  if (!deps_.suspects.any()) return attempt;
  const std::string id = active.run.job().items[item].id.str();
  const suspects::verdict told =
      deps_.suspects.beginOwnTrial(keyOf(active, item), suspects::Asker::kItem, id);
  attempt.ends = told.ends;
  attempt.trial = told.is == suspects::Standing::kMayTry;
  if (attempt.trial || told.is == suspects::Standing::kClear) return attempt;
  const bool tried = told.is == suspects::Standing::kTried;
  const Duration wait = std::min(told.wait, tried ? kTriedPause : kHeldPause);
  active.run.onHeld(item, steadyNow() + wait);
  return std::nullopt;
}

void BatchService::settleSuspicion(const Active& active, ItemIndex item,
                                   const forward::EngineCall& call, AttemptVerdict verdict,
                                   const suspects::sent_attempt& attempt, bool engine_ended) {
  if (engine_ended) {
    deps_.suspects.onEngineEnded(attempt, keyOf(active, item), call.engine(), call.startedAt(),
                                 suspects::Asker::kItem, active.run.job().items[item].id.str());
  } else if (verdict != AttemptVerdict::kAnswered) {
    if (attempt.trial) deps_.suspects.onUnproved(keyOf(active, item));
  } else if (deps_.suspects.any()) {
    deps_.suspects.onAnswered(keyOf(active, item));
  }
}

Task<void> BatchService::runItem(ActivePtr active, ItemIndex item,
                                 std::shared_ptr<forward::EngineCall> call, std::string model,
                                 suspects::sent_attempt attempt) {
  const ModelName model_name(model);
  RunTimes times;
  const AttemptVerdict verdict = co_await readItemEvents(*active, item, *call, model_name, times);
  if (verdict == AttemptVerdict::kBroken) {
    times.engine_ended = co_await call->engineHasEnded();
  }
  settleSuspicion(*active, item, *call, verdict, attempt, times.engine_ended);
  active->calls.erase(item);
  deps_.engines.registry.onTokens(call->engine(), -expectedTokens(active->run.job().items[item]));
  if (active->stopped) co_return;
  settleItem(*active, item, *call, verdict, model_name, times);
  pump();
}

Task<AttemptVerdict> BatchService::readItemEvents(Active& active, ItemIndex item,
                                                  forward::EngineCall& call, const ModelName& model,
                                                  RunTimes& times) {
  const Instant started = steadyNow();
  const Duration first_limit =
      options_.timeouts.forFirstEvent(active.run.progress(item).late_starts);
  forward::AttemptLimits limits{started + options_.connect_time, started + first_limit, false,
                                engines::AttemptEnd::kRefused};
  AttemptVerdict verdict = co_await call.start(limits);
  if (verdict != AttemptVerdict::kAnswered) co_return verdict;
  if (call.status() >= 300) {
    std::string ignored;
    co_return co_await call.readWhole(ignored, steadyNow() + options_.timeouts.max_gap);
  }
  WeightVersion version = call.headVersion();
  if (!model.empty()) deps_.engines.registry.onVersionSeen(call.engine(), model, version);
  forward::EventParser parser(deps_.engines.names.weight_versions);
  std::vector<forward::StreamEvent> events;
  Instant last = steadyNow();
  bool first = true;
  while (!call.finished()) {
    const double event_time = deps_.engines.registry.measuredEventTime(steadyNow(), call.engine());
    const Duration gap = first ? first_limit : options_.timeouts.forGap(event_time);
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
      if (taken == EventVerdict::kTaken) active.noteFirstEvent();
      if (taken == EventVerdict::kUnfit) {
        call.abort();
        co_return AttemptVerdict::kBroken;
      }
    }
    if (!events.empty()) {
      if (first) times.to_first_event = now - started;
      if (!first) {
        times.max_gap = std::max(times.max_gap, now - last);
        deps_.engines.registry.onEventTime(now, call.engine(),
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
                              AttemptVerdict verdict, const ModelName& model,
                              const RunTimes& times) {
  const Instant now = steadyNow();
  const unsigned status = verdict == AttemptVerdict::kAnswered ? call.status() : 0;
  const std::uint64_t events = active.run.progress(item).last_event;
  if (verdict == AttemptVerdict::kAnswered && status == 422) {
    active.run.onRejected(item);
  } else if (verdict == AttemptVerdict::kAnswered && status >= 300) {
    active.run.onFailed(now, item);
  } else if (verdict == AttemptVerdict::kAnswered && events > 0) {
    active.run.onCompleted(now, item);
    lengths_.onFinished(active.run.job().items[item].length_hint, events);
  } else if (verdict == AttemptVerdict::kNotExecuted) {
    if (!model.empty()) deps_.engines.registry.onModelRefused(now, call.engine(), model);
    active.run.onInterrupted(now, item, options_.refused_pause);
  } else {
    if (verdict == AttemptVerdict::kSilent) {
      // It is full, or stands still while it loads.
      if (!model.empty()) deps_.engines.registry.onModelRefused(now, call.engine(), model);
      if (!times.to_first_event) active.run.onLateStart(item);
    }
    if (verdict == AttemptVerdict::kBroken && !model.empty()) {
      deps_.engines.registry.onModelReset(now, call.engine(), model);
    }
    active.run.onInterrupted(now, item, options_.broken_pause);
  }
  const ItemState state = active.run.progress(item).state;
  if (state == ItemState::kFinished) active.finished.notifyAll();
  active.noteWhole(item);
  const bool success = verdict == AttemptVerdict::kAnswered && status < 300;
  if (success && !sampler_.admit(now)) return;
  LogEvent event("batch", "attempt_ended");
  event.text("batch", active.record.id.str())
      .text("item", active.run.job().items[item].id.str())
      .text("engine", call.engine().str())
      .text("verdict", forward::toText(verdict))
      .number("status", status)
      .number("events", static_cast<std::int64_t>(events))
      .number("hint", static_cast<std::int64_t>(active.run.job().items[item].length_hint))
      .milliseconds("first_event_ms", times.to_first_event.value_or(Duration::zero()))
      .milliseconds("longest_gap_ms", times.max_gap)
      .milliseconds("took_ms", now - call.startedAt());
  if (verdict == AttemptVerdict::kBroken) {
    event.text("key", keyOf(active, item).str())
        .text("engine_ended", times.engine_ended ? "yes" : "no");
  }
}

std::set<EngineId> BatchService::awaitedEngines() const {
  std::set<EngineId> engines;
  for (const auto& [id, job] : jobs_.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const ItemIndex item : awaitedRuns(job.active->run, lengths_)) {
      engines.insert(job.active->run.progress(item).last_engine);
    }
  }
  return engines;
}

}  // namespace linenpier::batch
