#pragma once

/** @file
 * Reuses the text that earlier jobs of the same route and model have generated. Trainers resubmit
 * groups that were incomplete when the earlier job ended.
 */

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <functional>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_residency.h"
#include "gateway/batch/job_store.h"

namespace linenpier::batch {

/** Reads earlier jobs from memory if this daemon ran them, otherwise from the store. Owns only the
 * searches in progress. The class must be used from the event loop thread only.
 */
class partial_result_reuse {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    const batch_codec& codec;
    job_registry& jobs;
    const job_residency& residency;
    const batch_options& options;
    /// Called when items of a job may have become ready to start or to be scored.
    std::function<void()> on_reused;
  };

  explicit partial_result_reuse(dependencies deps) : deps_(std::move(deps)) {}

  /** Starts searching earlier jobs for text of the job's items. */
  void start(const active_job_ptr& active);

 private:
  struct search_state;
  using search_ptr = boost::intrusive_ptr<search_state>;

  Task<void> reuse(active_job_ptr active);
  /** Adds the texts of an earlier job, immediately or when the store has responded. */
  void searchJob(const JobId& id, const search_ptr& search);
  Task<void> readEarlierJob(job_record record, search_ptr search);
  /** @return the items whose runs were stopped because the reused text replaces theirs. */
  std::vector<std::size_t> apply(active_job& active, const search_state& search);

  dependencies deps_;
};

}  // namespace linenpier::batch
