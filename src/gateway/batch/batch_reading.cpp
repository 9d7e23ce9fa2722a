/// @file
/// The calls of those who read batch jobs: results that are released, and bodies of items.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/batch_service.h"
#include "gateway/batch/call_status.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
std::optional<std::string> bodyOf(const BatchJob& job, const ItemId& item) {
  const auto found = std::find_if(job.items.begin(), job.items.end(),
                                  [&](const BatchItem& each) { return each.id == item; });
  if (found == job.items.end()) return std::nullopt;
  return found->body;
}
}  // namespace

bool BatchService::isPublic(const JobId& id) const {
  const known_job* job = jobs_.find(id);
  return job != nullptr && job->record.tenant.empty();
}

Task<bool> BatchService::knows(JobId id, tenants::caller from, std::optional<JobRecord>& record) {
  if (known_job* at = jobs_.find(id)) {
    if (mayAccess(at->record, from)) record = at->record;
    co_return true;
  }
  const auto row = co_await deps_.store.getRecord(id);
  if (!row) co_return false;
  if (row->revision > 0) {
    jobs_.onRow(id, *row);
    const auto known = decodeRecord(id, row->value);
    if (known && mayAccess(*known, from)) record = known;
  }
  co_return true;
}

Task<void> BatchService::answerPage(http::ResponseWriter& writer, std::size_t total,
                                    std::size_t next,
                                    const std::vector<std::string>& results) const {
  http::Response response(boost::beast::http::status::ok, 11);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = deps_.codec.encodePage(total, next, results);
  co_await writer.send(std::move(response));
}

/// Results that a reader may get with its answer, from the position that it asked for on.
struct BatchService::ReadAhead {
  std::size_t position = 0;
  std::vector<StoredResult> results;
  std::size_t bytes = 0;

  std::size_t next() const { return position + results.size(); }
  void add(StoredResult result) {
    bytes += result.encoded.size();
    results.push_back(std::move(result));
  }
};

bool BatchService::readFromMemory(const JobId& id, ReadAhead& page) const {
  const known_job* job = jobs_.find(id);
  if (job == nullptr || !job->active) return false;
  const Active& active = *job->active;
  const std::size_t released = releasedOf(id);
  // A job that was taken by another daemon may have more results than are known here.
  if (active.listed.size() < released) return false;
  for (std::size_t i = page.next(); i < released && page.bytes < options_.page_bytes; ++i) {
    page.add(active.listed[i]);
  }
  return true;
}

Task<bool> BatchService::readFromStore(const JobId& id, ReadAhead& page) {
  if (page.bytes >= options_.page_bytes) co_return true;
  auto stored = co_await deps_.store.results(id, page.next(), 0);
  if (!stored) co_return false;
  for (StoredResult& each : stored->results) page.add(std::move(each));
  co_return true;
}

std::size_t BatchService::releasedOf(const JobId& id) const {
  const known_job* job = jobs_.find(id);
  if (job == nullptr) return 0;
  // The feed may tell of a release before the answer to its write does.
  if (job->active && !job->active->stopped) return job->active->released;
  return job->record.released;
}

Task<void> BatchService::waitForRelease(JobId id, Duration limit) {
  known_job* at = jobs_.find(id);
  if (at == nullptr) {
    co_await sleepFor(deps_.loop, std::min(limit, options_.poll_gap));
    co_return;
  }
  known_job& job = *at;
  if (job.active && !job.active->stopped) {
    co_await job.active->released_changed.waitFor(limit);
    co_return;
  }
  if (!job.changed) job.changed = std::make_shared<Signal>(deps_.loop);
  const std::shared_ptr<Signal> changed = job.changed;
  const bool told = deps_.leases.storeHealthy();
  co_await changed->waitFor(std::min(limit, told ? options_.read_ahead_gap : options_.poll_gap));
  if (told) co_return;
  const auto row = co_await deps_.store.getRecord(id);
  if (row && row->revision > 0) jobs_.onRow(id, *row);
}

Task<void> BatchService::readResults(JobId id, tenants::caller from, std::size_t position,
                                     Duration wait, http::ResponseWriter& writer) {
  const Instant deadline = steadyNow() + wait;
  std::optional<JobRecord> record;
  const bool sure = co_await knows(id, from, record);
  if (!record) {
    LogEvent("batch", "read_refused")
        .text("batch", id.str())
        .text("why", sure ? "no such job" : "store away");
    co_await answer(writer, sure ? kNotFound : kUnavailable);
    co_return;
  }
  ReadAhead page{position, {}, 0};
  for (;;) {
    const std::size_t released = jobs_.find(id) == nullptr ? record->released : releasedOf(id);
    const bool from_memory = readFromMemory(id, page);
    if (!from_memory && page.next() < record->total) {
      const bool read = co_await readFromStore(id, page);
      if (!read && position < released) {
        co_await answer(writer, kUnavailable);
        co_return;
      }
    }
    const Instant now = steadyNow();
    const bool more = position < released;
    const bool over = position >= record->total || now >= deadline;
    if (more || over || stopping_ || writer.cancellation().requested()) {
      co_await answerRead(writer, id, page, {record->total, released, from_memory});
      co_return;
    }
    ++waiting_readers_;
    co_await waitForRelease(id, deadline - now);
    --waiting_readers_;
  }
}

Task<void> BatchService::answerRead(http::ResponseWriter& writer, const JobId& id,
                                    const ReadAhead& page, ReadState state) const {
  std::vector<std::string> shown;
  std::size_t bytes = 0;
  const std::size_t end = std::min(page.next(), state.released);
  for (std::size_t i = page.position; i < end; ++i) {
    const std::string& result = page.results[i - page.position].encoded;
    bytes += result.size();
    if (!shown.empty() && bytes >= options_.page_bytes) break;
    shown.push_back(result);
  }
  if (!shown.empty()) {
    LogEvent("batch", "page_read")
        .text("batch", id.str())
        .number("position", static_cast<std::int64_t>(page.position))
        .number("results", static_cast<std::int64_t>(shown.size()))
        .text("from", state.from_memory ? "memory" : "store");
  }
  co_await answerPage(writer, state.total, page.position + shown.size(), shown);
}

Task<void> BatchService::readItem(JobId id, tenants::caller from, ItemId item,
                                  http::ResponseWriter& writer) {
  std::optional<JobRecord> record;
  const bool sure = co_await knows(id, from, record);
  if (!record) {
    co_await answer(writer, sure ? kNotFound : kUnavailable);
    co_return;
  }
  known_job* at = jobs_.find(id);
  std::optional<std::string> body;
  if (at != nullptr && at->active) {
    body = bodyOf(at->active->run.job(), item);
  } else {
    const auto bytes = co_await deps_.store.getJob(*record);
    if (!bytes) {
      co_await answer(writer, kUnavailable);
      co_return;
    }
    const auto job = deps_.codec.parseJob(id, *bytes);
    if (job) body = bodyOf(*job, item);
  }
  if (body) {
    co_await answer(writer, kOk, std::move(*body));
  } else {
    co_await answer(writer, kNotFound);
  }
}

}  // namespace linenpier::batch
