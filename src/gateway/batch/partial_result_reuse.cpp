#include "gateway/batch/partial_result_reuse.h"

#include <algorithm>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "common/event_log.h"
#include "gateway/batch/active_job.h"

namespace linenpier::batch {

using logging::LogEvent;

namespace {

/** @return the text of a completed result as a checkpoint. */
item_checkpoint toCheckpoint(std::size_t index, const batch_item& item,
                             const batch_result& result) {
  item_checkpoint entry;
  entry.item_index = index;
  // Event data may contain line feeds, so that this is an upper bound of the number of events.
  entry.last_event =
      1 + static_cast<std::uint64_t>(std::count(result.text.begin(), result.text.end(), '\n'));
  entry.versions = result.versions;
  entry.text = result.text;
  entry.finished = true;
  if (item.scorer && !result.score.empty()) {
    entry.score = reward_score{item.scorer->id, result.score};
  }
  return entry;
}

}  // namespace

/** State of a search in earlier jobs. */
struct partial_result_reuse::search_state
    : boost::intrusive_ref_counter<search_state, boost::thread_unsafe_counter> {
  search_state(boost::asio::io_context& loop, const batch_job& job) : changed(loop) {
    for (const batch_item& item : job.items) wanted.insert(item.id);
  }

  bool sharesItems(const batch_job& earlier) const {
    return std::any_of(earlier.items.begin(), earlier.items.end(),
                       [this](const batch_item& item) { return wanted.contains(item.id); });
  }

  /** @param texts texts of those items of the earlier job that are not appended.
   * @param appended results of the earlier job. Completed ones of the wanted items are used, too.
   */
  void add(const batch_job& earlier, item_checkpoints texts,
           const std::vector<stored_result>& appended, const batch_codec& codec) {
    for (const stored_result& result : appended) {
      if (result.item_index >= earlier.items.size()) continue;
      const batch_item& item = earlier.items[result.item_index];
      if (!wanted.contains(item.id)) continue;
      const auto decoded = codec.decodeResult(result.encoded);
      if (decoded && decoded->state == ResultState::kCompleted) {
        texts.push_back(toCheckpoint(result.item_index, item, *decoded));
      }
    }
    found.addJob(earlier, texts);
  }

  std::set<ItemId> wanted;  ///< Items of the job that the search is for.
  partial_results found;
  std::size_t unanswered = 0;
  Signal changed;
};

void partial_result_reuse::start(const active_job_ptr& active) {
  spawn(this->deps_.loop, [this, active] { return this->reuse(active); });
}

Task<void> partial_result_reuse::readEarlierJob(job_record record, search_ptr search) {
  const JobId id = record.id;
  const auto bytes = co_await this->deps_.store.getJob(record);
  if (bytes) {
    const auto job = this->deps_.codec.parseJob(id, *bytes);
    if (job && search->sharesItems(*job)) {
      const auto stored = co_await this->deps_.store.getProgress(id);
      if (stored) search->add(*job, stored->checkpoint.texts, stored->results, this->deps_.codec);
    }
  }
  --search->unanswered;
  search->changed.notifyAll();
}

void partial_result_reuse::searchJob(const JobId& id, const search_ptr& search) {
  const job_entry& earlier = *this->deps_.jobs.find(id);
  // The earlier job may be restricted to other regions.
  if (!this->deps_.residency.mayOwn(earlier.record)) return;
  const active_job_ptr active = earlier.active;
  if (active) {
    const batch_job& job = active->run.job();
    if (!search->sharesItems(job)) return;
    const item_checkpoints texts = checkpoint_tracker{}.next(active->run).texts;
    search->add(job, texts, active->appended, this->deps_.codec);
    return;
  }
  ++search->unanswered;
  const job_record record = earlier.record;
  spawn(this->deps_.loop, [this, record, search] { return this->readEarlierJob(record, search); });
}

std::vector<std::size_t> partial_result_reuse::apply(active_job& active,
                                                     const search_state& search) {
  std::vector<ItemIndex> obsolete = active.run.onPartialResults(search.found);
  for (const ItemIndex item : obsolete) {
    if (const auto call = active.calls.find(item); call != active.calls.end()) {
      call->second->abort();
    }
  }
  return obsolete;
}

Task<void> partial_result_reuse::reuse(active_job_ptr active) {
  const batch_options& options = this->deps_.options;
  const std::vector<JobId> earlier =
      this->deps_.jobs.earlierJobs(active->record, options.max_earlier_jobs);
  if (earlier.empty()) co_return;
  const search_ptr search(new search_state(this->deps_.loop, active->run.job()));
  const Instant start_time = steadyNow();
  for (const JobId& id : earlier) this->searchJob(id, search);
  const std::size_t asked = search->unanswered;
  const Instant deadline = start_time + options.reuse_timeout;
  while (search->unanswered > 0 && steadyNow() < deadline) {
    co_await search->changed.waitFor(deadline - steadyNow());
  }
  if (active->stopped) co_return;
  const std::vector<ItemIndex> obsolete = this->apply(*active, *search);
  LogEvent("batch", "carried_over")
      .text("batch", active->record.id.str())
      .number("groups", static_cast<std::int64_t>(active->run.reusedGroups()))
      .number("runs_replaced", static_cast<std::int64_t>(obsolete.size()))
      .number("earlier_jobs", static_cast<std::int64_t>(earlier.size()))
      .number("asked", static_cast<std::int64_t>(asked))
      .number("unanswered", static_cast<std::int64_t>(search->unanswered))
      .milliseconds("took_ms", steadyNow() - start_time);
  active->results_ready.notifyAll();
  this->deps_.on_reused();
}

}  // namespace linenpier::batch
