#pragma once

/** @file
 * Writes the checkpoints of owned jobs: the text of items that are not appended yet, so that the
 * next owner, or a later job of the same groups, goes on with it.
 */

#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"

namespace linenpier::batch {

/** What a job's checkpoint holds already is kept with the job, in `active_job`. Relies on the
 * store, which takes a checkpoint only under the job's fence. Loop thread only.
 */
class checkpoint_writer {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    const batch_options& options;
  };
  enum class Need { kAlways, kIfEnoughNew };

  explicit checkpoint_writer(dependencies deps) : deps_(deps) {}

  /** Writes checkpoints until the job has stopped or all of its items are appended. */
  void start(const active_job_ptr& active);
  /** Writes what is new since the last checkpoint, if anything is. */
  Task<void> write(active_job_ptr active, Need need);

 private:
  Task<void> checkpointLoop(active_job_ptr active);

  dependencies deps_;
};

}  // namespace linenpier::batch
