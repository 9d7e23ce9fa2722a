#include "gateway/batch/item_runner.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/critical_runs.h"
#include "gateway/batch/item_placement.h"
#include "gateway/batch/item_request.h"
#include "gateway/batch/job_rules.h"

namespace linenpier::batch {

using forward::AttemptOutcome;
using logging::LogEvent;

namespace {
/// HTTP status codes of engines.
constexpr unsigned kFirstErrorStatus = 300;
constexpr unsigned kUnprocessable = 422;  ///< The item cannot be processed; retrying is useless.

/** @return the longest of the median event times of the route's services, in seconds; 0: none. */
double slowestEventTime(Instant now, const engines::engine_registry& registry,
                        const routing::Route& route) {
  double slowest = 0;
  for (const routing::WeightedService& each : route.services)
    slowest = std::max(slowest, registry.medianEventTime(now, each.service));
  return slowest;
}

const batch_item& itemOf(const active_job& active, ItemIndex item) {
  return active.run.job().items[item];
}
}  // namespace

/** A job with its next waiting item. */
struct item_runner::startable_item {
  active_job_ptr active;
  routing::ConfigurationPtr table;  ///< Keeps `route` alive.
  const routing::Route* route = nullptr;
  ItemIndex item = 0;
  Instant latest_start{};  ///< Latest start of the item for the job to be complete in time.
};

item_runner::item_runner(dependencies deps)
    : deps_(std::move(deps)),
      scorer_({deps_.loop, deps_.engines.names, deps_.rewards, deps_.routes, deps_.counts, sampler_,
               [this] { this->startRunnableItems(); }}),
      reader_({deps_.engines.registry, deps_.engines.names, deps_.options}) {}

// --- Starting -----------------------------------------------------------------------------------

std::vector<item_runner::startable_item> item_runner::startableItems() {
  std::vector<startable_item> jobs;
  for (auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.active || job.active->stopped) continue;
    startable_item each;
    each.active = job.active;
    each.table = this->deps_.routes();
    each.route = routeOf(job.active->record, each.table);
    if (each.route != nullptr && this->findNext(each)) jobs.push_back(std::move(each));
  }
  return jobs;
}

bool item_runner::findNext(startable_item& job) const {
  const Instant now = steadyNow();
  const auto item = job.active->run.nextToStart(now);
  if (!item) return false;
  const double events = this->lengths_.remainingEvents(itemOf(*job.active, *item).length_hint,
                                                       job.active->run.progress(*item).last_event);
  const double event_time = slowestEventTime(now, this->deps_.engines.registry, *job.route);
  job.item = *item;
  job.latest_start =
      job.active->accepted_at + job.route->target_finish - fromSeconds(events * event_time);
  return true;
}

void item_runner::startRunnableItems() {
  for (auto& [id, job] : this->deps_.jobs.all()) {
    if (job.active && !job.active->stopped) this->scorer_.start(job.active);
  }
  std::vector<startable_item> jobs = this->startableItems();
  // Start the most urgent item of all jobs first: the longest text determines when its step ends.
  while (!jobs.empty()) {
    const auto next = std::min_element(jobs.begin(), jobs.end(),
                                       [](const startable_item& one, const startable_item& other) {
                                         return one.latest_start < other.latest_start;
                                       });
    const bool started = this->startItem(next->active, next->item, *next->route);
    if (!started || !this->findNext(*next)) jobs.erase(next);
  }
}

bool item_runner::startItem(const active_job_ptr& active, ItemIndex item,
                            const routing::Route& route) {
  const Instant now = steadyNow();
  engines::engine_registry& registry = this->deps_.engines.registry;
  const item_placement placement =
      placeItem(now, registry, active->run.progress(item),
                this->deps_.engine_requirements.build(*active, item, route));
  if (placement.discard_text) active->run.discardText(item);
  if (placement.engine == nullptr) return false;
  const auto call = std::make_shared<forward::engine_call>(
      this->deps_.engines, *placement.engine,
      itemRequest(*active, item, this->deps_.engines.names, this->deps_.routes()));
  active->run.onStarted(now, item, placement.engine->record.id);
  active->calls[item] = call;
  this->deps_.engine_requirements.onStarted(route);
  registry.addExpectedTokens(call->engine(), expectedTokens(itemOf(*active, item)));
  ++this->deps_.counts.item_attempts;
  const item_attempt attempt{active, item, call, itemOf(*active, item).model};
  spawn(this->deps_.loop, [this, attempt] { return this->runItem(attempt); });
  return true;
}

// --- Running and evaluating ---------------------------------------------------------------------

Task<void> item_runner::runItem(item_attempt attempt) {
  run_report report;
  const AttemptOutcome outcome = co_await this->reader_.read(*attempt.active, attempt.item,
                                                             *attempt.call, attempt.model, report);
  if (outcome == AttemptOutcome::kBroken) {
    report.engine_crashed = co_await attempt.call->engineHasCrashed();
  }
  attempt.active->calls.erase(attempt.item);
  this->deps_.engines.registry.addExpectedTokens(
      attempt.call->engine(), -expectedTokens(itemOf(*attempt.active, attempt.item)));
  if (attempt.active->stopped) co_return;
  this->finishAttempt(attempt, outcome, report);
  this->startRunnableItems();
}

void item_runner::finishAttempt(const item_attempt& attempt, AttemptOutcome outcome,
                                const run_report& report) {
  const Instant now = steadyNow();
  active_job& active = *attempt.active;
  const unsigned status = outcome == AttemptOutcome::kAnswered ? attempt.call->status() : 0;
  const std::uint64_t events = active.run.progress(attempt.item).last_event;
  this->applyOutcome(now, attempt, outcome, status, events, report);
  const ItemState state = active.run.progress(attempt.item).state;
  if (state == ItemState::kFinished) active.results_ready.notifyAll();
  active.logStepComplete(attempt.item);
  const bool success = outcome == AttemptOutcome::kAnswered && status < kFirstErrorStatus;
  if (success && !this->sampler_.admit(now)) return;
  this->logAttempt(now, attempt, outcome, status, events, report);
}

void item_runner::applyOutcome(Instant now, const item_attempt& attempt, AttemptOutcome outcome,
                               unsigned status, std::uint64_t events, const run_report& report) {
  batch_run& state = attempt.active->run;
  const bool answered = outcome == AttemptOutcome::kAnswered;
  if (answered && status == kUnprocessable) {
    state.onRejected(attempt.item);
  } else if (answered && status >= kFirstErrorStatus) {
    state.onFailed(now, attempt.item);
  } else if (answered && events > 0) {
    state.onCompleted(now, attempt.item);
    this->lengths_.onFinished(itemOf(*attempt.active, attempt.item).length_hint, events);
  } else {
    this->interruptItem(now, attempt, outcome, report);
  }
}

void item_runner::interruptItem(Instant now, const item_attempt& attempt, AttemptOutcome outcome,
                                const run_report& report) {
  engines::engine_registry& registry = this->deps_.engines.registry;
  const batch_options& options = this->deps_.options;
  batch_run& state = attempt.active->run;
  const bool rejected = outcome == AttemptOutcome::kNotExecuted;
  const bool silent = outcome == AttemptOutcome::kTimedOut;
  // An engine that does not respond is overloaded, or blocked while it loads weights.
  if ((rejected || silent) && !attempt.model.empty()) {
    registry.onRequestRejected(now, attempt.call->engine(), attempt.model);
  }
  if (silent && !report.first_event_delay) state.onFirstEventTimeout(attempt.item);
  if (outcome == AttemptOutcome::kBroken && !attempt.model.empty()) {
    registry.onRunReset(now, attempt.call->engine(), attempt.model);
  }
  const Duration pause = rejected ? options.rejected_retry_delay : options.interrupted_retry_delay;
  state.onInterrupted(now, attempt.item, pause);
  if (!report.engine_crashed) return;
  const Duration delay = state.onEngineCrashed(now, attempt.item, now - attempt.call->startedAt(),
                                               options.crash_delay);
  LogEvent("batch", "engine_crashed")
      .text("item", itemOf(*attempt.active, attempt.item).id.str())
      .text("engine", attempt.call->engine().str())
      .milliseconds("ran_ms", now - attempt.call->startedAt())
      .number("crashes", state.progress(attempt.item).engine_crashes)
      .milliseconds("held_ms", delay);
}

void item_runner::logAttempt(Instant now, const item_attempt& attempt, AttemptOutcome outcome,
                             unsigned status, std::uint64_t events, const run_report& report) {
  const batch_item& item = itemOf(*attempt.active, attempt.item);
  LogEvent event("batch", "attempt_ended");
  event.text("batch", attempt.active->record.id.str())
      .text("item", item.id.str())
      .text("engine", attempt.call->engine().str())
      .text("verdict", forward::toText(outcome))
      .number("status", status)
      .number("events", static_cast<std::int64_t>(events))
      .number("hint", static_cast<std::int64_t>(item.length_hint))
      .milliseconds("first_event_ms", report.first_event_delay.value_or(Duration::zero()))
      .milliseconds("longest_gap_ms", report.max_gap)
      .milliseconds("took_ms", now - attempt.call->startedAt());
  if (outcome == AttemptOutcome::kBroken) {
    event.text("engine_ended", report.engine_crashed ? "yes" : "no");
  }
}

std::set<EngineId> item_runner::criticalEngines() const {
  std::set<EngineId> engines;
  for (const auto& [id, job] : this->deps_.jobs.all()) {
    if (!job.active || job.active->stopped) continue;
    for (const ItemIndex item : criticalRuns(job.active->run, this->lengths_)) {
      engines.insert(job.active->run.progress(item).last_engine);
    }
  }
  return engines;
}

}  // namespace linenpier::batch
