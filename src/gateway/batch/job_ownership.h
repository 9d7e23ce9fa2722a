#pragma once

/** @file
 * Who owns a job, as far as it concerns this daemon: it goes on with jobs whose row names it, takes
 * over those whose owner is lost, stops those that another has taken, and hands over those that it
 * must not keep. Who gets a new job is decided by `new_job_owner.h`.
 *
 * Invariant: items are run by the owner alone, as far as it knows. Whatever it writes is under the
 * job's fence, so that an owner that does not know yet that it lost a job changes nothing.
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

/** Owns the takeover state of known jobs (see `job_entry`). Relies on leases for who is lost, on
 * the pool of owners for who goes first, and on the store for what it owns. Loop thread only.
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

  /** A newer row of a job was read. */
  void onJobChanged(const JobId& id, job_entry& job);
  /** Takes over jobs whose owner is lost, and settles those that this daemon should go on with. */
  void checkOwners(Instant now);
  /** @return whether this daemon owns jobs that have not ended. */
  bool ownsOpenJobs() const;
  /** Gives up every owned job so that others take it at once; from now on none is taken. */
  Task<void> handOver();
  /** @return jobs that nobody within their residency takes up, at the last check. */
  std::size_t awaitingResidency() const { return this->awaiting_residency_; }

 private:
  bool isOwn(const job_entry& job) const;
  void checkOwner(Instant now, const JobId& id, job_entry& job);
  /** Frees what is in memory of a job that stopped a while ago. */
  void releaseStopped(Instant now, job_entry& job) const;
  /** Takes the job over if its owner is lost and it is this daemon's turn. */
  void considerTakeover(Instant now, const JobId& id, job_entry& job);
  Task<void> takeOver(JobId id);

  /** Begins to run a job that is this daemon's by its row. */
  void startResume(const JobId& id, job_entry& job);
  /** Goes on with a job that is this daemon's by its row: reads what it is and what was written. */
  Task<void> resume(JobId id);
  /** @return what earlier owners wrote of the job. */
  Task<CallResult<stored_progress>> readProgress(job_record record);
  void deactivate(job_entry& job, const char* reason);

  /** Gives the job up if this daemon owns it and it must not be here; goes on with it where that
   * was not known.
   * @return whether it was left alone.
   */
  bool checkResidency(const JobId& id, job_entry& job);
  Task<void> handOverForResidency(JobId id);
  /** Nobody owns the job, and this daemon must not. */
  void reportAwaitingResidency(Instant now, const JobId& id, job_entry& job);
  /** Gives up an owned job with the text made so far. */
  Task<void> handOverJob(JobId id);

  dependencies deps_;
  std::size_t awaiting_residency_ = 0;
  Instant next_wait_log_{};  ///< When the next line on jobs that await their residency is due.
  bool stopping_ = false;
};

}  // namespace linenpier::batch
