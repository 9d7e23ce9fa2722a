#include "gateway/batch/run_reader.h"

#include <algorithm>

#include "gateway/batch/active_job.h"

namespace linenpier::batch {

using forward::AttemptOutcome;

/** State of reading the response of a run. */
struct run_reader::read_context {
  active_job& active;
  ItemIndex item;
  forward::engine_call& call;
  const ModelName& model;
  WeightVersion version;  ///< Version that generates the current events.
  Instant started;
  Instant last;       ///< Time at which the last events arrived.
  bool first = true;  ///< Whether no event has arrived yet.
};

void run_reader::reportVersion(const read_context& run) {
  if (run.model.empty()) return;
  this->deps_.registry.onVersionSeen(run.call.engine(), run.model, run.version);
}

Duration run_reader::eventTimeout(const read_context& run, Duration first_limit) const {
  if (run.first) return first_limit;
  const double event_time = this->deps_.registry.measuredEventTime(steadyNow(), run.call.engine());
  return this->deps_.options.timeouts.forGap(event_time);
}

bool run_reader::takeEvents(Instant now, read_context& run,
                            const std::vector<forward::stream_event>& events) {
  for (const forward::stream_event& event : events) {
    if (event.version) {
      run.version = *event.version;
      this->reportVersion(run);
    }
    const EventVerdict taken =
        run.active.run.onEvent(now, run.item, event.id.value_or(0), event.data, run.version);
    if (taken == EventVerdict::kAccepted) run.active.logFirstEvent();
    if (taken == EventVerdict::kRejected) return false;
  }
  return true;
}

void run_reader::recordEventTimes(Instant now, read_context& run, std::size_t events,
                                  run_report& report) {
  if (run.first) {
    report.first_event_delay = now - run.started;
  } else {
    report.max_gap = std::max(report.max_gap, now - run.last);
    this->deps_.registry.onEventTime(now, run.call.engine(),
                                     (now - run.last) / static_cast<int>(events));
  }
  run.first = false;
  run.last = now;
}

Task<AttemptOutcome> run_reader::read(active_job& active, ItemIndex item,
                                      forward::engine_call& call, const ModelName& model,
                                      run_report& report) {
  const batch_options& options = this->deps_.options;
  const Instant started = steadyNow();
  const Duration first_limit =
      options.timeouts.forFirstEvent(active.run.progress(item).first_event_timeouts);
  forward::attempt_limits limits{started + options.connect_timeout, started + first_limit, false,
                                 engines::HealthOutcome::kRejected};
  AttemptOutcome verdict = co_await call.start(limits);
  if (verdict != AttemptOutcome::kAnswered) co_return verdict;
  if (call.status() >= 300) {
    co_return co_await call.discardBody(steadyNow() + options.timeouts.max_gap);
  }
  read_context run{active, item, call, model, call.weightVersion(), started, steadyNow()};
  this->reportVersion(run);
  forward::event_parser parser(this->deps_.names.weight_version);
  std::vector<forward::stream_event> events;
  while (!call.finished()) {
    const Duration gap = this->eventTimeout(run, first_limit);
    verdict = co_await call.readEvents(parser, events, steadyNow() + gap);
    if (active.stopped) co_return AttemptOutcome::kAborted;
    const Instant now = steadyNow();
    if (!this->takeEvents(now, run, events)) {
      call.abort();
      co_return AttemptOutcome::kBroken;
    }
    if (!events.empty()) this->recordEventTimes(now, run, events.size(), report);
    if (verdict != AttemptOutcome::kAnswered) co_return verdict;
  }
  co_return parser.incompleteEvent().empty() ? AttemptOutcome::kAnswered : AttemptOutcome::kBroken;
}

}  // namespace linenpier::batch
