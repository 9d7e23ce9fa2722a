#include "gateway/batch/job_reader.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"
#include "gateway/batch/call_status.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {
std::optional<std::string> bodyOf(const batch_job& job, const ItemId& item) {
  const auto found = std::find_if(job.items.begin(), job.items.end(),
                                  [&](const batch_item& each) { return each.id == item; });
  if (found == job.items.end()) return std::nullopt;
  return found->body;
}
}  // namespace

Task<bool> job_reader::lookUp(JobId id, tenants::caller from, std::optional<job_record>& record) {
  if (job_entry* at = this->deps_.jobs.find(id)) {
    if (mayAccess(at->record, from)) record = at->record;
    co_return true;
  }
  const auto row = co_await this->deps_.store.getRecord(id);
  if (!row) co_return false;
  if (row->revision > 0) {
    this->deps_.jobs.onRow(id, *row);
    const auto known = decodeRecord(id, row->value);
    if (known && mayAccess(*known, from)) record = known;
  }
  co_return true;
}

/** Results from the requested position on, including unpublished ones. */
struct job_reader::result_page {
  std::size_t position = 0;
  std::vector<stored_result> results;
  std::size_t bytes = 0;

  std::size_t next() const { return position + results.size(); }
  void add(stored_result result) {
    bytes += result.encoded.size();
    results.push_back(std::move(result));
  }
};

Task<void> job_reader::reply(http::ResponseWriter& writer, unsigned status,
                             std::string body) const {
  co_await sendStatus(writer, this->deps_.names, status, std::move(body));
}

Task<void> job_reader::replyPage(http::ResponseWriter& writer, std::size_t total, std::size_t next,
                                 const std::vector<std::string>& results) const {
  http::Response response(boost::beast::http::status::ok, 11);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = this->deps_.codec.encodePage(total, next, results);
  co_await writer.send(std::move(response));
}

std::size_t job_reader::publishedOf(const JobId& id) const {
  const job_entry* job = this->deps_.jobs.find(id);
  if (job == nullptr) return 0;
  // When the owner publishes results, the feed may deliver the job's new row before the write is
  // answered. Until then the results are not in memory, so the count in the row is not used.
  if (job->active && !job->active->stopped) return job->active->published;
  return job->record.published;
}

bool job_reader::readFromMemory(const JobId& id, result_page& page) const {
  const job_entry* job = this->deps_.jobs.find(id);
  if (job == nullptr || !job->active) return false;
  const active_job& active = *job->active;
  const std::size_t published = this->publishedOf(id);
  // After a takeover by another daemon there may be results that are not in memory.
  if (active.appended.size() < published) return false;
  for (std::size_t i = page.next();
       i < published && page.bytes < this->deps_.options.max_page_bytes; ++i) {
    page.add(active.appended[i]);
  }
  return true;
}

Task<bool> job_reader::readFromStore(const JobId& id, result_page& page) {
  if (page.bytes >= this->deps_.options.max_page_bytes) co_return true;
  auto stored = co_await this->deps_.store.results(id, page.next(), 0);
  if (!stored) co_return false;
  for (stored_result& each : stored->results) page.add(std::move(each));
  co_return true;
}

Task<void> job_reader::waitForPublish(JobId id, Duration limit) {
  job_entry* at = this->deps_.jobs.find(id);
  if (at == nullptr) {
    co_await sleepFor(this->deps_.loop, std::min(limit, this->deps_.options.poll_interval));
    co_return;
  }
  job_entry& job = *at;
  if (job.active && !job.active->stopped) {
    co_await job.active->published_changed.waitFor(limit);
    co_return;
  }
  if (!job.changed) job.changed = std::make_shared<Signal>(this->deps_.loop);
  const std::shared_ptr<Signal> changed = job.changed;
  const bool healthy = this->deps_.leases.storeHealthy();
  co_await changed->waitFor(std::min(limit, healthy ? this->deps_.options.read_ahead_interval
                                                    : this->deps_.options.poll_interval));
  if (healthy) co_return;
  const auto row = co_await this->deps_.store.getRecord(id);
  if (row && row->revision > 0) this->deps_.jobs.onRow(id, *row);
}

Task<void> job_reader::replyResults(http::ResponseWriter& writer, const JobId& id,
                                    const result_page& page, page_state state) const {
  std::vector<std::string> published_results;
  std::size_t bytes = 0;
  const std::size_t end = std::min(page.next(), state.published);
  for (std::size_t i = page.position; i < end; ++i) {
    const std::string& result = page.results[i - page.position].encoded;
    bytes += result.size();
    if (!published_results.empty() && bytes >= this->deps_.options.max_page_bytes) break;
    published_results.push_back(result);
  }
  if (!published_results.empty()) {
    LogEvent("batch", "page_read")
        .text("batch", id.str())
        .number("position", static_cast<std::int64_t>(page.position))
        .number("results", static_cast<std::int64_t>(published_results.size()))
        .text("from", state.from_memory ? "memory" : "store");
  }
  co_await this->replyPage(writer, state.total, page.position + published_results.size(),
                           published_results);
}

Task<void> job_reader::readResults(JobId id, tenants::caller from, std::size_t position,
                                   Duration wait, http::ResponseWriter& writer) {
  const Instant deadline = steadyNow() + wait;
  std::optional<job_record> record;
  const bool conclusive = co_await this->lookUp(id, from, record);
  if (!record) {
    LogEvent("batch", "read_refused")
        .text("batch", id.str())
        .text("why", conclusive ? "no such job" : "store away");
    co_await this->reply(writer, conclusive ? kNotFound : kUnavailable);
    co_return;
  }
  result_page page{position, {}, 0};
  for (;;) {
    const std::size_t published =
        this->deps_.jobs.find(id) == nullptr ? record->published : this->publishedOf(id);
    const bool from_memory = this->readFromMemory(id, page);
    if (!from_memory && page.next() < record->total) {
      const bool read = co_await this->readFromStore(id, page);
      if (!read && position < published) {
        co_await this->reply(writer, kUnavailable);
        co_return;
      }
    }
    const Instant now = steadyNow();
    const bool has_more = position < published;
    const bool at_end = position >= record->total || now >= deadline;
    if (has_more || at_end || this->stopping_ || writer.cancellation().requested()) {
      co_await this->replyResults(writer, id, page, {record->total, published, from_memory});
      co_return;
    }
    ++this->waiting_readers_;
    co_await this->waitForPublish(id, deadline - now);
    --this->waiting_readers_;
  }
}

Task<void> job_reader::readItem(JobId id, tenants::caller from, ItemId item,
                                http::ResponseWriter& writer) {
  std::optional<job_record> record;
  const bool conclusive = co_await this->lookUp(id, from, record);
  if (!record) {
    co_await this->reply(writer, conclusive ? kNotFound : kUnavailable);
    co_return;
  }
  job_entry* at = this->deps_.jobs.find(id);
  std::optional<std::string> body;
  if (at != nullptr && at->active) {
    body = bodyOf(at->active->run.job(), item);
  } else {
    const auto bytes = co_await this->deps_.store.getJob(*record);
    if (!bytes) {
      co_await this->reply(writer, kUnavailable);
      co_return;
    }
    const auto job = this->deps_.codec.parseJob(id, *bytes);
    if (job) body = bodyOf(*job, item);
  }
  if (body) {
    co_await this->reply(writer, kOk, std::move(*body));
  } else {
    co_await this->reply(writer, kNotFound);
  }
}

}  // namespace linenpier::batch
