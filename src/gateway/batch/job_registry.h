#pragma once

/** @file
 * The batch jobs that this daemon knows: their rows, and what it holds of those that it owns.
 *
 * Every daemon follows the rows of all jobs. Rows come from the feed of the table, and from answers
 * of the store to reads and conditional writes; the newest revision counts, whichever way it came.
 * Loop thread only.
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

/** A job as this daemon knows it. */
struct job_entry {
  job_record record;
  Revision revision = 0;  ///< Of the row that `record` was read from; 0: no row was seen yet.
  /// Set while this daemon owns and runs the job, and for some time after it stopped: its results
  /// are read from it, and later jobs reuse its texts.
  active_job_ptr active;
  std::shared_ptr<Signal> changed;  ///< The row has changed; set while readers wait.

  /// Owned by `job_ownership`: a takeover, a resume or a hand-over of the job is under way.
  /// Invariant: at most one of them at a time.
  bool transition_pending = false;
  /// Owned by `job_ownership`: the job was given to this daemon, or kept by it, while the daemon
  /// was not known to be within its residency. It is resumed as soon as that is known.
  bool resume_when_in_residency = false;
  /// Owned by `job_ownership`: when the job's owner was first seen to be lost.
  Instant orphaned_at{};
};

/** Invariant: the revision of a known job only grows while the job is known. */
class job_registry {
 public:
  using job_map = std::map<JobId, job_entry>;
  /** Called after a newer row of a job was taken in. */
  using change_listener = std::function<void(const JobId&, job_entry&)>;

  void setListener(change_listener listener) { this->on_changed_ = std::move(listener); }

  /** Takes a job's row in if it is newer than the one that is known. */
  void onRow(const JobId& id, const table::Row& row);
  void onRemoved(const JobId& id) { this->jobs_.erase(id); }

  /** @return the job, or nullptr if it is not known. Valid until the job is removed: coroutines
   * look it up again after each wait.
   */
  job_entry* find(const JobId& id);
  const job_entry* find(const JobId& id) const;
  /** @return the job; if it was not known, a new one without a row. */
  job_entry& findOrCreate(const JobId& id) { return this->jobs_[id]; }
  job_map& all() { return this->jobs_; }
  const job_map& all() const { return this->jobs_; }
  std::size_t size() const { return this->jobs_.size(); }

  /** @return the newest jobs of the same tenant, host and model that were accepted before, the
   * newest first.
   */
  std::vector<JobId> earlierJobs(const job_record& record, std::size_t max_jobs) const;

 private:
  job_map jobs_;
  change_listener on_changed_;
};

}  // namespace linenpier::batch
