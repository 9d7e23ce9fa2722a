#pragma once

/** @file
 * Handles requests that submit and end batch jobs. Any daemon accepts any job; `chooseNewJobOwner`
 * selects the daemon that runs it.
 *
 * A job is accepted only after the job and its row are stored, so that a client that received 202
 * can rely on it.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/job_activation.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_residency.h"
#include "gateway/batch/unresolved_jobs.h"
#include "gateway/http/server.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

/** The class must be used from the event loop thread only. */
class job_acceptance {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    const lease::owner_pool& pool;
    engines::engine_registry& registry;
    const batch_codec& codec;
    const forward::field_names& names;
    job_registry& jobs;
    const job_residency& residency;
    job_activation& activation;
    std::function<routing::ConfigurationPtr()> routes;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit job_acceptance(dependencies deps) : deps_(std::move(deps)) {}

  /** Handles a request to submit a job, which belongs to the tenant of the request. The caller
   * keeps route, request and writer alive until the call returns.
   */
  Task<void> submit(const routing::Route& route, tenants::caller from, const http::Request& request,
                    Instant received, http::ResponseWriter& writer);
  Task<void> end(JobId id, tenants::caller from, http::ResponseWriter& writer);
  /** Rejects all jobs that are submitted afterwards. */
  void stop() { this->stopping_ = true; }

 private:
  /** A job that is being submitted. */
  struct submission {
    const routing::Route& route;
    const http::Request& request;
    tenants::caller from;
    JobId id;
    Instant received;
    Instant deadline;  ///< Time limit for writing the job to the store.
    const http::Cancellation& cancellation;
    job_record record = {};  ///< Record of the job; its owner is set when selected.
    std::optional<batch_job> job = {};
  };
  /** Outcome of a submission, for the log and the response. */
  struct submission_outcome {
    const char* name = "";
    unsigned status = 0;
    std::string text = {};                  ///< Body of the response.
    std::optional<Revision> revision = {};  ///< Revision of the job's row, if it was written.
  };

  /** @return why no job can be accepted now, as a name for the log; nullptr if jobs can be
   * accepted.
   */
  Task<const char*> rejectionReason(JobId id);
  /** Accepts the job unless it is known. @return an outcome that is true of all submissions of the
   * job at this daemon.
   */
  Task<submission_outcome> outcomeOf(submission& call);
  /** @return the outcome if the job is known. */
  std::optional<submission_outcome> knownOutcome(const submission& call) const;
  Task<submission_outcome> accept(submission& call);
  job_record recordOf(const submission& call, const batch_job& job) const;
  /** Stores a job that is too large for rows as an object. @return whether it succeeded. */
  Task<bool> storeObject(JobId id, std::string bytes, Instant deadline);
  /** Writes the job's row; the job is unresolved in the meantime.
   * @param body rows to write together with the job's row.
   */
  Task<fenced_write_result> acceptRecord(const submission& call, std::vector<table::Put> body);
  /** Attempts the write until its outcome is known, the deadline passes or the client is gone. */
  Task<fenced_write_result> writeUntilKnown(const submission& call, std::vector<table::Put> body);
  /** @param attempt number of the attempt, from 1, for the log. */
  Task<fenced_write_result> tryWrite(job_record record, std::vector<table::Put> also, int attempt);
  submission_outcome toOutcome(const submission& call, const fenced_write_result& answer);
  void logOutcome(const submission& call, const submission_outcome& outcome) const;
  /** Registers the job, and starts it if this daemon is its owner. */
  void onAccepted(submission& call, Revision revision);

  /** @return the owner of a new job; empty if no daemon within its residency is known. */
  LeaseId ownerFor(Instant now, const job_record& record) const;
  /** @return the index of the job's model in the configuration. */
  std::size_t modelIndex(const job_record& record) const;

  /** Stores in the job's row that the job has ended. Retries until the deadline.
   * @return the status code of the response.
   */
  Task<unsigned> writeEnded(JobId id, tenants::caller from, Instant deadline,
                            http::ResponseWriter& writer);

  dependencies deps_;
  unresolved_jobs unresolved_;
  bool stopping_ = false;
};

}  // namespace linenpier::batch
