#pragma once

/** @file
 * Appends finished items of owned jobs to their results, and publishes results to readers, as
 * scheduled by `result_schedule`. Writes are retried until their outcome is known.
 */

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/batch_options.h"
#include "gateway/batch/batch_run.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

/** Results are kept in `active_job`. Each position is written only under the job's fence, and
 * always with the same result. The class must be used from the event loop thread only.
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

  /** Appends and publishes results until all are published or the job has stopped. */
  void start(const active_job_ptr& active);

 private:
  Task<void> appendLoop(active_job_ptr active);
  /** @return whether the finished results reach the limits of an append. */
  bool fillsAppend(const batch_run& run) const;
  bool shouldPublishNow(const active_job& active) const;
  /** @return when to publish results; if all are published, when to check again. */
  Instant nextPublishAt(const active_job& active, Instant now) const;
  Instant nextAppendAt(const active_job& active, Instant now) const;
  /** Prepares the next append, which stays unchanged until its outcome is known. */
  void preparePending(active_job& active, Instant now) const;
  /** @return whether the pending write is committed. */
  Task<bool> writePending(active_job_ptr active);
  /** @return whether an earlier, unanswered attempt of the pending write was committed. */
  bool alreadyPublished(const fenced_write_result& answer, const active_job& active) const;
  void onPendingWritten(active_job& active);

  dependencies deps_;
};

}  // namespace linenpier::batch
