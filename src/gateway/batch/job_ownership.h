#pragma once

/** @file
 * Ownership of jobs by this daemon: resumes jobs that are assigned to it, takes over jobs whose
 * owner is lost, stops jobs that another daemon has taken over, and releases jobs that it must not
 * own. `new_job_owner.h` selects the owner of a new job.
 *
 * Invariant: a daemon runs the items of a job only while the newest row that it knows names it as
 * the owner. All of its writes are conditional on the job's fence, so that a daemon that has not
 * yet noticed the loss of a job cannot change it. Each run of a job has a fence that no earlier run
 * has used, also if both are runs of the same daemon: an unanswered write of the earlier run can
 * therefore not be executed after the later run has read the job's progress.
 */

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/checkpoint_writer.h"
#include "gateway/batch/job_activation.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_residency.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"

namespace linenpier::batch {

/** Owns the ownership fields of `job_entry`. Leases tell which owners are lost; `owner_pool`
 * determines how long each daemon waits before it takes over. The class must be used from the event
 * loop thread only.
 */
class job_ownership {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    const lease::owner_pool& pool;
    const batch_codec& codec;
    job_registry& jobs;
    const job_residency& residency;
    checkpoint_writer& checkpoints;
    job_activation& activation;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit job_ownership(dependencies deps) : deps_(deps) {}

  /** Called when a newer row of a job was read. */
  void onJobChanged(const JobId& id, job_entry& job);
  /** Takes over jobs whose owner is lost, and resumes owned jobs that do not run. */
  void checkOwners(Instant now);
  /** @return whether this daemon owns jobs that have not ended. */
  bool ownsOpenJobs() const;
  /** Starts to release all owned jobs, so that other daemons can take them over at once. Jobs that
   * this daemon comes to own later are released too. Repeats this until the store has confirmed it;
   * `ownsOpenJobs` then returns false. No jobs are taken over or resumed afterwards.
   * @param until when this daemon ends.
   */
  void handOver(Instant until);
  /** @return the number of jobs that were waiting, at the last check, for a daemon within their
   *     residency to take them over.
   */
  std::size_t awaitingOwner() const { return this->awaiting_owner_; }

 private:
  bool isOwn(const job_entry& job) const;
  void checkOwner(Instant now, const JobId& id, job_entry& job);
  /** Frees the memory of a job that has been stopped for some time. */
  void releaseStopped(Instant now, job_entry& job) const;
  /** Takes the job over if its owner is lost and this daemon's takeover delay has passed. */
  void considerTakeover(Instant now, const JobId& id, job_entry& job);
  Task<void> takeOver(JobId id);

  /** Starts resuming a job whose row names this daemon as its owner. */
  void startResume(const JobId& id, job_entry& job);
  /** Runs an owned job that was stopped here or assigned to this daemon. */
  Task<void> resume(JobId id);
  /** @return whether this daemon owns the job and may run it now. If only the residency forbids
   *     that, the job is resumed later.
   */
  bool mayResume(const JobId& id);
  /** Makes sure that the job's fence is one under which this daemon has not run the job. Writes the
   * job's row if necessary, so that open writes of an earlier run fail.
   */
  Task<bool> acquireUnusedFence(JobId id);
  /** Reads the job and its progress from the store, and activates the job.
   * @return false if a read failed or the job's row has changed in the meantime.
   */
  Task<bool> readAndActivate(JobId id);
  /** @return the job's results and checkpoints that earlier owners stored. */
  Task<CallResult<stored_progress>> readProgress(job_record record);
  void deactivate(job_entry& job, const char* reason);

  /** Releases an owned job if this daemon is outside its residency. Resumes it if that was
   * postponed until this daemon is known to be within the residency.
   * @return false if a release or resume was started.
   */
  bool checkResidency(const JobId& id, job_entry& job);
  Task<void> releaseForResidency(JobId id);
  /** Counts and logs a job that this daemon must not take over, if no other daemon has taken it
   * over for some time.
   */
  void reportAwaitingOwner(Instant now, const JobId& id, job_entry& job);
  /** Starts to release an owned job because this daemon ends. */
  void startRelease(const JobId& id, job_entry& job);
  /** Releases an owned job once the store responds. Its items run until then. */
  Task<void> releaseBeforeEnd(JobId id);
  /** Tries once to release an owned job. @param save_until until when the write of its last
   * checkpoint is repeated.
   */
  Task<void> release(JobId id, Instant save_until);
  /** Writes the last checkpoint of a job that was stopped. */
  Task<void> saveText(JobId id, active_job_ptr active, Instant save_until);
  /** Writes the row of an owned job without an owner. */
  Task<void> clearOwner(JobId id);

  dependencies deps_;
  std::size_t awaiting_owner_ = 0;
  /// Time from which a job that waits for an owner may be logged again.
  Instant next_wait_log_{};
  bool stopping_ = false;
  Instant ends_at_{};  ///< When this daemon ends; set when it is stopping.
};

}  // namespace linenpier::batch
