/// @file
/// The calls of those who hand batch jobs in and end them.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"
#include "gateway/batch/call_status.h"
#include "gateway/batch/owner_choice.h"
#include "gateway/table/store_keys.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
constexpr int kPutTries = 2;
/// For a question to a store that may be away, before a job is refused: many times its usual
/// answer.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
}  // namespace

// --- Handing in ---------------------------------------------------------------------------------

Task<FencedAnswer> BatchService::acceptRecord(JobRecord record, std::vector<table::Put> body,
                                              Instant deadline) {
  for (;;) {
    const Instant sent_at = steadyNow();
    const bool own = record.owner == deps_.leases.own();
    std::vector<table::Put> also = body;
    if (own) also.push_back(deps_.keeper.renewal());
    const FencedAnswer answer = co_await deps_.store.putRecord(record, 0, std::move(also));
    if (own && answer.outcome == FencedOutcome::kDone) deps_.keeper.onRenewed(sent_at);
    if (answer.outcome != FencedOutcome::kUnknown) co_return answer;
    // It may be done yet. Only a row that is there settles it; the same write may follow.
    if (steadyNow() + options_.store_pause >= deadline) co_return answer;
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
}

Task<bool> BatchService::storeObject(JobId id, std::string bytes, Instant deadline) {
  for (int tries = 1;; ++tries) {
    const auto stored = co_await deps_.store.putJob(id, bytes);
    if (stored) co_return true;
    if (tries == kPutTries || steadyNow() >= deadline) co_return false;
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
}

LeaseId BatchService::ownerFor(Instant now, const JobRecord& record) const {
  OwnerChoice choice;
  choice.candidates = deps_.pool.ranked(now);
  choice.items = record.total;
  choice.max_open_items = options_.max_open_items;
  const std::vector<JobId> earlier = jobs_.earlierJobs(record, options_.earlier_jobs);
  if (!earlier.empty()) {
    const LeaseId& owner = jobs_.find(earlier.front())->record.owner;
    if (!owner.empty() && deps_.leases.alive(now, owner)) choice.previous = owner;
    const bool own = owner == deps_.leases.own();
    choice.previous_zone = own ? deps_.pool.zone() : deps_.leases.zoneOf(owner);
  }
  const std::optional<fleet::data_residency> residency = residency_.of(record);
  if (residency)
    choice = withinResidency(std::move(choice), *residency, deps_.engines.registry.layout());
  for (const auto& [id, job] : jobs_.all()) {
    if (job.record.ended) continue;
    if (job.record.owner == choice.previous) choice.previous_items += job.record.total;
    if (job.record.model != record.model) choice.busy.insert(job.record.owner);
  }
  choice.model_index = modelIndex(record);
  const LeaseId fallback = residency_.mayOwn(record) ? deps_.leases.own() : LeaseId();
  return chooseOwner(choice, fallback);
}

std::size_t BatchService::modelIndex(const JobRecord& record) const {
  const routing::RouteTablePtr table = deps_.routes();
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

Task<void> BatchService::submit(const routing::Route& route, tenants::caller from,
                                const http::Request& request, Instant received,
                                http::ResponseWriter& writer) {
  const JobId id(http::fieldText(request, deps_.engines.names.request_id));
  const Instant deadline = received + options_.accept_time;
  if (id.empty()) {
    co_await sendStatus(writer, deps_.engines.names, kBadRequest, "The job has no id.");
    co_return;
  }
  if (known_job* at = jobs_.find(id)) {
    co_await sendStatus(writer, deps_.engines.names,
                        mayAccess(at->record, from) ? kAccepted : kConflict, {});
    co_return;
  }
  LeaseId owner;
  const auto logOutcome = [&](const char* outcome, unsigned status) {
    LogEvent("batch", "submitted")
        .text("batch", id.str())
        .text("route", route.name.str())
        .text("tenant", from.tenant.str())
        .text("outcome", outcome)
        .number("status", status)
        .text("owner", owner.str())
        .number("bytes", static_cast<std::int64_t>(request.body().size()))
        .milliseconds("took_ms", steadyNow() - received);
  };
  // A feed that is lost says little: the store may be back, or turn its feeds away only.
  bool answers = deps_.leases.storeHealthy();
  if (!stopping_ && !answers) {
    answers = co_await deps_.store.answers(id, kAnswerTimeout);
  }
  if (stopping_ || !answers) {
    ++counts_.refused;
    logOutcome(stopping_ ? "stopping" : "store_away", kUnavailable);
    co_await sendStatus(writer, deps_.engines.names, kUnavailable, {});
    co_return;
  }
  // A daemon that has just started may not have heard the store's clock. A job that it dated would
  // seem as old as the store, and its items would be given up at once.
  if (deps_.keeper.storeClock(steadyNow()) == 0) {
    ++counts_.refused;
    logOutcome("clock_unknown", kUnavailable);
    co_await sendStatus(writer, deps_.engines.names, kUnavailable, {});
    co_return;
  }
  auto job = deps_.codec.parseJob(id, request.body());
  if (!job) {
    logOutcome("malformed", kBadRequest);
    co_await sendStatus(writer, deps_.engines.names, kBadRequest, describe(job.error()));
    co_return;
  }
  JobRecord record;
  record.id = id;
  record.host = http::fieldText(request, "Host");
  record.path = std::string(request.target().substr(0, request.target().find('?')));
  record.tenant = from.tenant;
  record.total = job->items.size();
  if (!job->items.empty()) record.model = job->items.front().model;
  const routing::RouteTablePtr table = deps_.routes();
  record.other_routes = otherRoutes(*table, route, record.host, *job);
  if (!residency_.servedWithinResidency(route, record)) {
    ++counts_.refused;
    ++counts_.refused_for_residency;
    logOutcome("no_engine_at_home", kUnavailable);
    co_await sendStatus(writer, deps_.engines.names, kUnavailable, {});
    co_return;
  }
  std::vector<table::Put> body = deps_.store.bodyRows(id, request.body());
  bool stored = !body.empty();
  if (!stored) {
    stored = co_await storeObject(id, request.body(), deadline);
  }
  if (!stored) {
    // Without its row the object means nothing: the job has not been taken.
    ++counts_.refused;
    logOutcome("object_not_stored", kUnavailable);
    co_await sendStatus(writer, deps_.engines.names, kUnavailable, {});
    co_return;
  }
  record.body_rows = body.size();
  record.accepted_ms = deps_.keeper.storeClock(steadyNow());
  record.owner = ownerFor(steadyNow(), record);
  owner = record.owner;
  const FencedAnswer accepted = co_await acceptRecord(record, std::move(body), deadline);
  if (accepted.outcome == FencedOutcome::kNotDone) {
    ++counts_.refused;
    logOutcome("row_not_stored", kUnavailable);
    co_await sendStatus(writer, deps_.engines.names, kUnavailable, {});
    co_return;
  }
  if (accepted.outcome == FencedOutcome::kUnknown) {
    logOutcome("row_unknown", kUnknown);
    co_await sendStatus(writer, deps_.engines.names, kUnknown, {});
    co_return;
  }
  if (accepted.outcome == FencedOutcome::kFenceLost) {
    std::optional<JobRecord> known;
    if (accepted.current) {
      jobs_.onRow(id, *accepted.current);
      known = decodeRecord(id, accepted.current->value);
    }
    const unsigned status = !known || mayAccess(*known, from) ? kAccepted : kConflict;
    logOutcome("known_already", status);
    co_await sendStatus(writer, deps_.engines.names, status, {});
    co_return;
  }
  ++counts_.accepted;
  logOutcome("accepted", kAccepted);
  known_job& mine = jobs_.obtain(id);
  if (accepted.revision > mine.revision && !mine.activating && !mine.active) {
    mine.record = record;
    mine.revision = accepted.revision;
    if (record.owner == deps_.leases.own())
      activation_.activate(id, std::move(*job), StoredProgress{}, received);
  }
  co_await sendStatus(writer, deps_.engines.names, kAccepted, {});
}

// --- Ending -------------------------------------------------------------------------------------

namespace {
/// @param revision of the row as the feed told it; 0: it did not.
std::optional<table::Row> toldRow(const JobRecord& record, Revision revision) {
  if (revision == 0) return std::nullopt;
  return table::Row{table::jobKey(record.id), revision, encodeRecord(record)};
}
}  // namespace

Task<void> BatchService::end(JobId id, tenants::caller from, http::ResponseWriter& writer) {
  const Instant begun = steadyNow();
  const Instant deadline = begun + options_.end_time;
  unsigned status = kUnavailable;
  // What the feed told, or the store with its refusal of a write: it is asked only without either.
  std::optional<table::Row> told;
  if (const known_job* job = jobs_.find(id)) told = toldRow(job->record, job->revision);
  while (steadyNow() < deadline && !writer.cancellation().requested()) {
    CallResult<table::Row> row = told.value_or(table::Row{});
    if (!told) {
      row = co_await deps_.store.getRecord(id);
    }
    told.reset();
    if (row && row->revision == 0) {
      status = kNotFound;
      break;
    }
    auto record = row ? decodeRecord(id, row->value) : std::nullopt;
    if (record && !mayAccess(*record, from)) {
      status = kNotFound;
      break;
    }
    if (record && record->ended) {
      jobs_.onRow(id, *row);
      status = kOk;
      break;
    }
    if (record) {
      record->ended = true;
      const FencedAnswer answer = co_await deps_.store.putRecord(*record, row->revision, {});
      if (answer.outcome == FencedOutcome::kDone) {
        table::Row ended{row->key, answer.revision, encodeRecord(*record)};
        jobs_.onRow(id, ended);
        status = kOk;
        break;
      }
      if (answer.outcome == FencedOutcome::kFenceLost) {
        told = answer.current;
        continue;
      }
    }
    co_await sleepFor(deps_.loop, options_.store_pause);
  }
  if (status == kOk) ++counts_.ended;
  LogEvent("batch", "end_asked")
      .text("batch", id.str())
      .text("tenant", from.tenant.str())
      .number("status", status)
      .milliseconds("took_ms", steadyNow() - begun);
  co_await sendStatus(writer, deps_.engines.names, status, {});
}

}  // namespace linenpier::batch
