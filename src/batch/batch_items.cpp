/// @file
/// Running of the items of owned jobs: choice of engines, attempts, moves.

#include <algorithm>

#include "batch/active_job.h"
#include "batch/batch_service.h"
#include "logging/event_log.h"
#include "tenants/caller.h"

namespace linenpier::batch {

using forward::AttemptVerdict;
using logging::LogEvent;

namespace {

constexpr double kPromptTokens = 300;  ///< A usual prompt.

/// @return the memory that an item is expected to fill: less than the most that it may.
double expectedTokens(const BatchItem& item) {
  if (item.length_hint == 0) return item.tokens;
  return std::min(item.tokens, static_cast<double>(item.length_hint) + kPromptTokens);
}
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
  for (auto& [id, job] : jobs_) {
    if (!job.active || job.active->stopped) continue;
    startable_item each;
    each.active = job.active;
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
  const double pace = deps_.engines.registry.medianPace(now, job.route->services.front().service);
  job.item = *item;
  job.latest_start =
      job.active->accepted_at + job.route->target_finish - fromSeconds(events * pace);
  return true;
}

void BatchService::pump() {
  for (auto& [id, job] : jobs_) {
    if (job.active && !job.active->stopped) startScorings(job.active);
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
  wanted.prefer_newest = route.single_version && !each.model.empty();
  const ItemProgress& progress = active.run.progress(item);
  if (route.single_version && progress.last_event > 0) {
    wanted.exact_version = *progress.versions.begin();
  }
  const routing::RouteTablePtr table = deps_.routes();
  wanted.homes = homesOfItem(active, item, *table, route);
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
  if (engine == nullptr && wanted.exact_version) {
    // No engine can go on with the text: it is begun anew.
    active->run.discardText(item);
    wanted.exact_version.reset();
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
  RunTimes times;
  const AttemptVerdict verdict = co_await readItemEvents(*active, item, *call, model_name, times);
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
      options_.patience.forFirstEvent(active.run.progress(item).late_starts);
  forward::AttemptLimits limits{started + options_.connect_time, started + first_limit, false,
                                engines::AttemptEnd::kRefused};
  AttemptVerdict verdict = co_await call.start(limits);
  if (verdict != AttemptVerdict::kAnswered) co_return verdict;
  if (call.status() >= 300) {
    std::string ignored;
    co_return co_await call.readWhole(ignored, steadyNow() + options_.patience.longest_gap);
  }
  WeightVersion version = call.headVersion();
  if (!model.empty()) deps_.engines.registry.onVersionSeen(call.engine(), model, version);
  forward::EventParser parser(deps_.engines.names.weight_versions);
  std::vector<forward::StreamEvent> events;
  Instant last = steadyNow();
  bool first = true;
  while (!call.finished()) {
    const double pace = deps_.engines.registry.measuredPace(steadyNow(), call.engine());
    const Duration gap = first ? first_limit : options_.patience.forGap(pace);
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
        times.longest_gap = std::max(times.longest_gap, now - last);
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
  LogEvent("batch", "attempt_ended")
      .text("batch", active.record.id.str())
      .text("item", active.run.job().items[item].id.str())
      .text("engine", call.engine().str())
      .text("verdict", forward::toText(verdict))
      .number("status", status)
      .number("events", static_cast<std::int64_t>(events))
      .number("hint", static_cast<std::int64_t>(active.run.job().items[item].length_hint))
      .milliseconds("first_event_ms", times.to_first_event.value_or(Duration::zero()))
      .milliseconds("longest_gap_ms", times.longest_gap)
      .milliseconds("took_ms", now - call.startedAt());
}

/// The runs that may move, those that are expected to last longest first.
std::vector<ItemIndex> BatchService::movableRuns(Instant now, const Active& active,
                                                 const routing::Route& route) const {
  const engines::EngineRegistry& registry = deps_.engines.registry;
  const double median = registry.medianPace(now, route.services.front().service);
  std::vector<ItemIndex> runs;
  for (const auto& [item, call] : active.calls) {
    if (now - call->startedAt() < options_.move_after) continue;
    const engines::EngineState* engine = registry.find(call->engine());
    const bool slow =
        engine != nullptr && registry.slowness(now, *engine, median) >= options_.move_gain;
    if (slow) runs.push_back(item);
  }
  std::sort(runs.begin(), runs.end(), [&active](ItemIndex one, ItemIndex other) {
    return active.run.job().items[one].length_hint > active.run.job().items[other].length_hint;
  });
  return runs;
}

void BatchService::moveSlowRuns(Instant now) {
  moves_planned moves(options_.moves_per_tick);
  for (auto& [id, job] : jobs_) {
    if (!job.active || job.active->stopped) continue;
    Active& active = *job.active;
    routing::RouteTablePtr table;
    const routing::Route* route = routeOf(active.record, table);
    if (route == nullptr || route->single_version || active.run.waiting() > 0) continue;
    for (const ItemIndex item : movableRuns(now, active, *route)) {
      if (moves.exhausted()) return;
      moveRun(now, active, item, *route, moves);
    }
  }
}

void BatchService::moveRun(Instant now, Active& active, ItemIndex item, const routing::Route& route,
                           moves_planned& moves) {
  const std::shared_ptr<forward::EngineCall>& call = active.calls.at(item);
  const engines::EngineRegistry& registry = deps_.engines.registry;
  const double pace = registry.slowness(now, call->engine());
  engines::PickRequest wanted = pickFor(active, item, route);
  wanted.excluded = moves.full();
  wanted.excluded.insert(call->engine());
  const engines::EngineState* better = deps_.engines.registry.pick(now, wanted);
  if (better == nullptr) return;
  const EngineId target = better->record.id;
  const double pace_there = registry.slowness(now, target);
  if (pace < options_.move_gain * pace_there) return;
  const double remaining = lengths_.remainingEvents(active.run.job().items[item].length_hint,
                                                    active.run.progress(item).last_event);
  const double seconds_an_event =
      registry.expectedPace(now, call->engine()) - registry.expectedPace(now, target);
  if (remaining * seconds_an_event < toSeconds(options_.move_saving)) return;
  LogEvent("batch", "run_moved")
      .text("item", active.run.job().items[item].id.str())
      .text("from", call->engine().str())
      .text("towards", target.str())
      .real("events_left", remaining)
      .real("slowness", pace)
      .real("slowness_there", pace_there);
  moves.onMove(target, registry.room(now, target));
  call->abort();
}

}  // namespace linenpier::batch
