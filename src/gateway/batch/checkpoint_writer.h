#pragma once

/** @file
 * Writes checkpoints of owned jobs, from which the next owner, or a later job with the same groups,
 * can resume.
 */

#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"

namespace linenpier::batch {

/** The checkpointed state is kept in `active_job`. Each write is conditional on the job's fence.
 * The class must be used from the event loop thread only.
 */
class checkpoint_writer {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    const batch_options& options;
  };
  /** Conditions under which a checkpoint is written. */
  enum class Condition {
    kAnyChange,        ///< There are changes since the last checkpoint.
    kEnoughNewEvents,  ///< `batch_options::min_checkpoint_events` or more events are new.
  };

  explicit checkpoint_writer(dependencies deps) : deps_(deps) {}

  /** Writes checkpoints until the job has stopped or all of its items are appended. */
  void start(const active_job_ptr& active);
  /** Writes the changes since the last checkpoint, if the condition is met.
   * @return false if a write was necessary and is not known to be committed.
   */
  Task<bool> write(active_job_ptr active, Condition condition);

 private:
  Task<void> checkpointLoop(active_job_ptr active);

  dependencies deps_;
};

}  // namespace linenpier::batch
