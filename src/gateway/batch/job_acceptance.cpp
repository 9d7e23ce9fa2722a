#include "gateway/batch/job_acceptance.h"

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/call_status.h"
#include "gateway/batch/new_job_owner.h"
#include "gateway/batch/write_attempts.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
constexpr int kMaxPutAttempts = 2;  ///< Attempts to store a job as an object.
/// Time limit of the check whether the store responds; many times its usual response time.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);

/** @return the job's row, if it is known and need not be read from the store. */
std::optional<table::Row> rowOf(const job_entry* job) {
  if (job == nullptr || job->revision == 0) return std::nullopt;
  return table::Row{table::jobKey(job->record.id), job->revision, encodeRecord(job->record)};
}

/** Logs a write of a job's row that was not committed. @param attempt number of the write, from 1.
 */
void logFailedWrite(const char* event, const JobId& id, int attempt,
                    const fenced_write_result& answer, Instant sent_at) {
  LogEvent("batch", event)
      .text("batch", id.str())
      .number("attempt", attempt)
      .text("outcome", toText(answer.outcome))
      .text("failure", answer.failure)
      .milliseconds("took_ms", steadyNow() - sent_at);
}
}  // namespace

// --- Submitting ---------------------------------------------------------------------------------

Task<void> job_acceptance::submit(const routing::Route& route, tenants::caller from,
                                  const http::Request& request, Instant received,
                                  http::ResponseWriter& writer) {
  const forward::field_names& names = this->deps_.names;
  submission call{route,
                  request,
                  from,
                  JobId(http::fieldText(request, names.request_id)),
                  received,
                  received + this->deps_.options.accept_timeout,
                  writer.cancellation()};
  if (call.id.empty()) {
    co_await sendStatus(writer, names, kBadRequest, "The job has no id.");
    co_return;
  }
  submission_outcome outcome = co_await this->outcomeOf(call);
  if (outcome.status == kUnavailable) ++this->deps_.counts.jobs_refused;
  if (outcome.status == kUnknown) ++this->deps_.counts.jobs_unknown;
  if (outcome.revision) ++this->deps_.counts.jobs_accepted;
  this->logOutcome(call, outcome);
  if (outcome.revision) this->onAccepted(call, *outcome.revision);
  co_await sendStatus(writer, names, outcome.status, std::move(outcome.text));
}

Task<job_acceptance::submission_outcome> job_acceptance::outcomeOf(submission& call) {
  auto known = this->knownOutcome(call);
  if (known) co_return *known;
  submission_outcome outcome = co_await this->accept(call);
  if (outcome.status != kUnavailable && outcome.status != kUnknown) co_return outcome;
  // The feed may have reported the job in the meantime.
  known = this->knownOutcome(call);
  if (known) co_return *known;
  // An earlier submission of the job at this daemon may still take effect.
  if (this->unresolved_.contains(steadyNow(), call.id)) outcome.status = kUnknown;
  co_return outcome;
}

std::optional<job_acceptance::submission_outcome> job_acceptance::knownOutcome(
    const submission& call) const {
  const job_entry* known = this->deps_.jobs.find(call.id);
  if (known == nullptr) return std::nullopt;
  return submission_outcome{"known_already",
                            mayAccess(known->record, call.from) ? kAccepted : kConflict};
}

Task<const char*> job_acceptance::rejectionReason(JobId id) {
  // A lost feed does not imply that the store is unavailable.
  bool reachable = this->deps_.leases.storeHealthy();
  if (!this->stopping_ && !reachable) {
    reachable = co_await this->deps_.store.isReachable(id, kProbeTimeout);
  }
  if (this->stopping_) co_return "stopping";
  if (!reachable) co_return "store_away";
  // Without the store's clock the job's age would be unknown, and its items could expire at once.
  if (this->deps_.keeper.storeClock(steadyNow()) == 0) co_return "clock_unknown";
  co_return nullptr;
}

Task<job_acceptance::submission_outcome> job_acceptance::accept(submission& call) {
  const char* reason = co_await this->rejectionReason(call.id);
  if (reason != nullptr) co_return submission_outcome{reason, kUnavailable};
  auto job = this->deps_.codec.parseJob(call.id, call.request.body());
  if (!job) {
    submission_outcome malformed{"malformed", kBadRequest, describe(job.error())};
    co_return malformed;
  }
  call.record = this->recordOf(call, *job);
  if (!this->deps_.residency.servedWithinResidency(call.route, call.record)) {
    ++this->deps_.counts.jobs_refused_for_residency;
    co_return submission_outcome{"no_engine_at_home", kUnavailable};
  }
  std::vector<table::Put> body = this->deps_.store.bodyRows(call.id, call.request.body());
  if (body.empty()) {
    const bool stored = co_await this->storeObject(call.id, call.request.body(), call.deadline);
    // An object that was stored without a row has no effect: a job exists only if its row does.
    if (!stored) co_return submission_outcome{"object_not_stored", kUnavailable};
  }
  call.record.body_rows = body.size();
  call.record.accepted_ms = this->deps_.keeper.storeClock(steadyNow());
  call.record.owner = this->ownerFor(steadyNow(), call.record);
  call.job = std::move(*job);
  const fenced_write_result accepted = co_await this->acceptRecord(call, std::move(body));
  co_return this->toOutcome(call, accepted);
}

job_record job_acceptance::recordOf(const submission& call, const batch_job& job) const {
  job_record record;
  record.id = call.id;
  record.host = http::fieldText(call.request, "Host");
  record.path = std::string(call.request.target().substr(0, call.request.target().find('?')));
  record.tenant = call.from.tenant;
  record.total = job.items.size();
  if (!job.items.empty()) record.model = job.items.front().model;
  const routing::ConfigurationPtr table = this->deps_.routes();
  record.other_routes = otherRoutes(*table, call.route, record.host, job);
  return record;
}

Task<bool> job_acceptance::storeObject(JobId id, std::string bytes, Instant deadline) {
  for (int attempt = 1;; ++attempt) {
    const auto stored = co_await this->deps_.store.putJob(id, bytes);
    if (stored) co_return true;
    if (attempt == kMaxPutAttempts || steadyNow() >= deadline) co_return false;
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
  }
}

Task<fenced_write_result> job_acceptance::acceptRecord(const submission& call,
                                                       std::vector<table::Put> body) {
  this->unresolved_.onWriteStarted(call.id);
  const fenced_write_result answer = co_await this->writeUntilKnown(call, std::move(body));
  const bool known = answer.outcome != FencedWriteOutcome::kUnknown;
  this->unresolved_.onWriteEnded(steadyNow(), call.id, known);
  co_return answer;
}

Task<fenced_write_result> job_acceptance::writeUntilKnown(const submission& call,
                                                          std::vector<table::Put> body) {
  const Duration retry_delay = this->deps_.options.store_retry_delay;
  write_attempts attempts;
  for (;;) {
    const int attempt = attempts.count() + 1;
    fenced_write_result answer = co_await this->tryWrite(call.record, body, attempt);
    answer.outcome = attempts.add(0, answer.outcome);
    if (answer.outcome != FencedWriteOutcome::kUnknown) co_return answer;
    // The write may still succeed. Repeating it is safe, since it requires that the row is absent.
    const bool expired = steadyNow() + retry_delay >= call.deadline;
    if (expired || call.cancellation.requested()) co_return answer;
    co_await sleepFor(this->deps_.loop, retry_delay);
    // The feed may have reported the row in the meantime.
    if (auto row = rowOf(this->deps_.jobs.find(call.id))) {
      co_return fenced_write_result{FencedWriteOutcome::kFenceLost, 0, std::move(row)};
    }
  }
}

Task<fenced_write_result> job_acceptance::tryWrite(job_record record, std::vector<table::Put> also,
                                                   int attempt) {
  const Instant sent_at = steadyNow();
  const JobId id = record.id;
  const bool own = record.owner == this->deps_.leases.own();
  if (own) also.push_back(this->deps_.keeper.renewal());
  const fenced_write_result answer =
      co_await this->deps_.store.putRecord(std::move(record), 0, std::move(also));
  const bool committed = answer.outcome == FencedWriteOutcome::kCommitted;
  if (own && committed) this->deps_.keeper.onRenewed(sent_at);
  if (!committed) logFailedWrite("submit_write", id, attempt, answer, sent_at);
  co_return answer;
}

job_acceptance::submission_outcome job_acceptance::toOutcome(const submission& call,
                                                             const fenced_write_result& answer) {
  switch (answer.outcome) {
    case FencedWriteOutcome::kNotCommitted:
      return {"row_not_stored", kUnavailable};
    case FencedWriteOutcome::kUnknown:
      return {"row_unknown", kUnknown};
    case FencedWriteOutcome::kCommitted:
      return {"accepted", kAccepted, {}, answer.revision};
    case FencedWriteOutcome::kFenceLost:
      break;
  }
  if (answer.current) this->deps_.jobs.onRow(call.id, *answer.current);
  return this->knownOutcome(call).value_or(submission_outcome{"known_already", kAccepted});
}

void job_acceptance::onAccepted(submission& call, Revision revision) {
  job_entry& mine = this->deps_.jobs.findOrCreate(call.id);
  if (revision <= mine.revision || mine.transition_pending || mine.active) return;
  if (this->stopping_) {
    // The job was accepted during the shutdown: like any other row, it is handed over.
    this->deps_.jobs.onRow(call.id, {table::jobKey(call.id), revision, encodeRecord(call.record)});
    return;
  }
  mine.record = call.record;
  mine.revision = revision;
  if (call.record.owner != this->deps_.leases.own()) return;
  this->deps_.activation.activate(call.id, std::move(*call.job), stored_progress{}, call.received);
}

void job_acceptance::logOutcome(const submission& call, const submission_outcome& outcome) const {
  LogEvent("batch", "submitted")
      .text("batch", call.id.str())
      .text("route", call.route.name.str())
      .text("tenant", call.from.tenant.str())
      .text("outcome", outcome.name)
      .number("status", outcome.status)
      .text("owner", call.record.owner.str())
      .number("bytes", static_cast<std::int64_t>(call.request.body().size()))
      .milliseconds("took_ms", steadyNow() - call.received);
}

LeaseId job_acceptance::ownerFor(Instant now, const job_record& record) const {
  new_job_owner_inputs inputs;
  inputs.candidates = this->deps_.pool.ranked(now);
  inputs.items = record.total;
  inputs.max_open_items = this->deps_.options.max_open_items;
  const std::vector<JobId> earlier =
      this->deps_.jobs.earlierJobs(record, this->deps_.options.max_earlier_jobs);
  if (!earlier.empty()) {
    const LeaseId& owner = this->deps_.jobs.find(earlier.front())->record.owner;
    if (!owner.empty() && this->deps_.leases.alive(now, owner)) inputs.previous = owner;
    const bool own = owner == this->deps_.leases.own();
    inputs.previous_zone = own ? this->deps_.pool.zone() : this->deps_.leases.zoneOf(owner);
  }
  const std::optional<fleet::data_residency> residency = this->deps_.residency.of(record);
  if (residency)
    inputs = withinResidency(std::move(inputs), *residency, this->deps_.registry.layout());
  for (const auto& [id, job] : this->deps_.jobs.all()) {
    if (job.record.ended) continue;
    if (job.record.owner == inputs.previous) inputs.previous_items += job.record.total;
    if (job.record.model != record.model) inputs.busy.insert(job.record.owner);
  }
  inputs.model_index = this->modelIndex(record);
  const LeaseId fallback =
      this->deps_.residency.mayOwn(record) ? this->deps_.leases.own() : LeaseId();
  return chooseNewJobOwner(inputs, fallback);
}

std::size_t job_acceptance::modelIndex(const job_record& record) const {
  const routing::ConfigurationPtr table = this->deps_.routes();
  std::size_t index = 0;
  if (!table) return index;
  for (const auto& [name, service] : table->services) {
    for (const ModelName& model : service.models) {
      if (model == record.model) return index;
      ++index;
    }
  }
  return index;
}

// --- Ending -------------------------------------------------------------------------------------

Task<unsigned> job_acceptance::writeEnded(JobId id, tenants::caller from, Instant deadline,
                                          http::ResponseWriter& writer) {
  // The row is read from the store only if neither the feed nor a failed conditional write has
  // returned it.
  std::optional<table::Row> known = rowOf(this->deps_.jobs.find(id));
  write_attempts attempts;
  while (steadyNow() < deadline && !writer.cancellation().requested()) {
    CallResult<table::Row> row = known.value_or(table::Row{});
    if (!known) {
      row = co_await this->deps_.store.getRecord(id);
    }
    known.reset();
    const bool absent = row && row->revision == 0;
    // A submission at this daemon may still write the row.
    const bool unresolved = this->unresolved_.contains(steadyNow(), id);
    if (absent && !unresolved) co_return kNotFound;
    auto record = row ? decodeRecord(id, row->value) : std::nullopt;
    if (record && !mayAccess(*record, from)) co_return kNotFound;
    if (record && record->ended) {
      this->deps_.jobs.onRow(id, *row);
      co_return kOk;
    }
    if (record) {
      record->ended = true;
      const Instant sent_at = steadyNow();
      const fenced_write_result answer =
          co_await this->deps_.store.putRecord(*record, row->revision, {});
      attempts.add(row->revision, answer.outcome);
      if (answer.outcome == FencedWriteOutcome::kCommitted) {
        const table::Row ended{row->key, answer.revision, encodeRecord(*record)};
        this->deps_.jobs.onRow(id, ended);
        co_return kOk;
      }
      logFailedWrite("end_write", id, attempts.count(), answer, sent_at);
      if (answer.outcome == FencedWriteOutcome::kFenceLost) {
        known = answer.current;
        continue;
      }
    }
    co_await sleepFor(this->deps_.loop, this->deps_.options.store_retry_delay);
  }
  const bool unresolved = this->unresolved_.contains(steadyNow(), id);
  co_return attempts.mayBeCommitted() || unresolved ? kUnknown : kUnavailable;
}

Task<void> job_acceptance::end(JobId id, tenants::caller from, http::ResponseWriter& writer) {
  const Instant start_time = steadyNow();
  const Instant deadline = start_time + this->deps_.options.end_timeout;
  const unsigned status = co_await this->writeEnded(id, from, deadline, writer);
  if (status == kOk) ++this->deps_.counts.jobs_ended;
  LogEvent("batch", "end_asked")
      .text("batch", id.str())
      .text("tenant", from.tenant.str())
      .number("status", status)
      .milliseconds("took_ms", steadyNow() - start_time);
  co_await sendStatus(writer, this->deps_.names, status, {});
}

}  // namespace linenpier::batch
