#pragma once

/** @file
 * Registry of the batch jobs known to this daemon: their rows, and the state of those that it owns.
 *
 * Every daemon follows the rows of all jobs. Rows come from the feed of the table, and from
 * responses of the store to reads and conditional writes. The newest revision is kept. The registry
 * must be used from the event loop thread only.
 */

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "common/task.h"
#include "gateway/batch/job_store.h"

namespace linenpier::batch {

struct active_job;
using active_job_ptr = std::shared_ptr<active_job>;

/** A known job. */
struct job_entry {
  job_record record;
  Revision revision = 0;  ///< Revision of `record`; 0: no row was read yet.
  /// State of the job, set while this daemon runs it and for some time afterwards. Results are
  /// served from this state, and later jobs reuse its texts.
  active_job_ptr active;
  std::shared_ptr<Signal> changed;  ///< Notified when the row has changed; set while readers wait.

  /// Owned by `job_ownership`: a takeover, resume or release of the job is in progress. Invariant:
  /// at most one at a time.
  bool transition_pending = false;
  /// Owned by `job_ownership`: this daemon owns the job, but does not run it before it is known to
  /// be within the job's residency.
  bool resume_when_in_residency = false;
  /// Owned by `job_ownership`: time at which the job's owner was first seen to be lost.
  Instant orphaned_at{};
  /// Newest fence under which this daemon has run the job; 0: none. A stopped run may have left
  /// writes under it that the store executes later, so no other run may use it.
  Revision used_fence = 0;

  bool hasUnusedFence() const { return revision > used_fence; }
  /** Makes the newest revision the fence of the job's run. `active` must be set. */
  void adoptFence();
};

/** Invariant: the revision of a known job never decreases. */
class job_registry {
 public:
  using job_map = std::map<JobId, job_entry>;
  /** Called after a newer row of a job was registered. */
  using change_listener = std::function<void(const JobId&, job_entry&)>;

  void setListener(change_listener listener) { this->on_changed_ = std::move(listener); }

  /** Registers the row of a job if it is newer than the known one. */
  void onRow(const JobId& id, const table::Row& row);
  void onRemoved(const JobId& id) { this->jobs_.erase(id); }

  /** @return the job, or nullptr if it is not known. Valid until the job is removed: coroutines
   * must look it up again after each suspension point.
   */
  job_entry* find(const JobId& id);
  const job_entry* find(const JobId& id) const;
  /** @return the job; a new entry without a row if it was not known. */
  job_entry& findOrCreate(const JobId& id) { return this->jobs_[id]; }
  job_map& all() { return this->jobs_; }
  const job_map& all() const { return this->jobs_; }
  std::size_t size() const { return this->jobs_.size(); }

  /** @return the latest jobs of the same tenant, host and model that were accepted earlier, newest
   *     first.
   */
  std::vector<JobId> earlierJobs(const job_record& record, std::size_t max_jobs) const;

 private:
  job_map jobs_;
  change_listener on_changed_;
};

}  // namespace linenpier::batch
