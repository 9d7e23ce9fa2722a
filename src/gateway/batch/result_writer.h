#pragma once

/** @file
 * Appends finished items of owned jobs to their results, and publishes results to readers. When is
 * decided by `result_schedule`; this class carries it out and goes on until the store has settled
 * each write.
 */

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/batch_run.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

/** The results of a job are kept with the job, in `active_job`. Relies on the store, which gives
 * each position once and only under the job's fence. Loop thread only.
 */
class result_writer {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    lease::lease_table& leases;
    const batch_codec& codec;
    job_registry& jobs;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit result_writer(dependencies deps) : deps_(deps) {}

  /** Appends and publishes until all results are published or the job has stopped. */
  void start(const active_job_ptr& active);

 private:
  Task<void> appendLoop(active_job_ptr active);
  /** @return whether what is finished fills an append. */
  bool fillsAppend(const batch_run& run) const;
  bool shouldPublishNow(const active_job& active) const;
  /** @return when results should be published; when to check again, if all are. */
  Instant nextPublishAt(const active_job& active, Instant now) const;
  Instant nextAppendAt(const active_job& active, Instant now) const;
  /** Chooses what the next append writes and publishes. It stays as it is until the store settles
   * it.
   */
  void preparePending(active_job& active, Instant now) const;
  /** @return whether the pending write is done. */
  Task<bool> writePending(active_job_ptr active);
  /** @return whether an earlier try of the pending write, which was not answered, was done. */
  bool alreadyPublished(const fenced_write_result& answer, const active_job& active) const;
  void onPendingWritten(active_job& active);

  dependencies deps_;
};

}  // namespace linenpier::batch
