#pragma once

/** @file
 * Lets a job go on with the text that earlier jobs of the same route and model have of its items: a
 * trainer hands groups in again that were not complete when it ended the job before.
 */

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <functional>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_residency.h"
#include "gateway/batch/job_store.h"

namespace linenpier::batch {

/** Reads earlier jobs from memory where this daemon ran them, else from the store. Owns nothing but
 * the searches under way. Loop thread only.
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
    std::function<void()> on_reused;  ///< Items of a job may now be able to start, or to be scored.
  };

  explicit partial_result_reuse(dependencies deps) : deps_(std::move(deps)) {}

  /** Begins to search for what earlier jobs left of the job's items. */
  void start(const active_job_ptr& active);

 private:
  struct search_state;
  using search_ptr = boost::intrusive_ptr<search_state>;

  Task<void> reuse(active_job_ptr active);
  /** Adds what an earlier job left, at once or when the store has answered. */
  void searchJob(const JobId& id, const search_ptr& search);
  Task<void> readEarlierJob(job_record record, search_ptr search);
  /** @return the items whose runs were stopped, since the text found replaces theirs. */
  std::vector<std::size_t> apply(active_job& active, const search_state& search);

  dependencies deps_;
};

}  // namespace linenpier::batch
