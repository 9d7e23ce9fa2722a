#pragma once

/** @file
 * Calls that hand batch jobs in and end them. Any daemon takes any job in; who is to run it is
 * decided by `chooseNewJobOwner`.
 *
 * A job is accepted only after it and its row are in the store: whoever got 202 may rely on it.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gateway/batch/batch_codec.h"
#include "gateway/batch/job_activation.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_residency.h"
#include "gateway/http/server.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"
#include "gateway/lease/owner_pool.h"
#include "gateway/tenants/caller.h"

namespace linenpier::batch {

/** Keeps nothing between calls. Loop thread only. */
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
    std::function<routing::RouteTablePtr()> routes;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit job_acceptance(dependencies deps) : deps_(std::move(deps)) {}

  /** The job belongs to the tenant that hands it in. The caller keeps route, request and writer
   * alive until the end.
   */
  Task<void> submit(const routing::Route& route, tenants::caller from, const http::Request& request,
                    Instant received, http::ResponseWriter& writer);
  Task<void> end(JobId id, tenants::caller from, http::ResponseWriter& writer);
  /** No job is accepted from now on. */
  void stop() { this->stopping_ = true; }

 private:
  /** A job that is being handed in, and what is known of it so far. */
  struct submission {
    const routing::Route& route;
    const http::Request& request;
    tenants::caller from;
    JobId id;
    Instant received;
    Instant deadline;        ///< For writing it to the store.
    job_record record = {};  ///< The owner is set once it is chosen.
    std::optional<batch_job> job = {};
  };
  /** What came of it, as the log and the caller get it. */
  struct submission_outcome {
    const char* name = "";
    unsigned status = 0;
    std::string text = {};                  ///< For the caller.
    std::optional<Revision> revision = {};  ///< Of the row, if the job was accepted.
  };

  /** @return why no job can be accepted now, as the log names it; nullptr if one can. */
  Task<const char*> rejectionReason(JobId id);
  Task<submission_outcome> accept(submission& call);
  job_record recordOf(const submission& call, const batch_job& job) const;
  /** Keeps a job that is too large for rows. @return whether it is kept. */
  Task<bool> storeObject(JobId id, std::string bytes, Instant deadline);
  /** @param body rows to be written with the job's row. */
  Task<fenced_write_result> acceptRecord(job_record record, std::vector<table::Put> body,
                                         Instant deadline);
  submission_outcome toOutcome(const submission& call, const fenced_write_result& answer);
  void logOutcome(const submission& call, const submission_outcome& outcome) const;
  /** Takes the job in, and runs it if it is this daemon's. */
  void onAccepted(submission& call, Revision revision);

  /** @return who should run a job that is handed in here; nobody, if those who may are not known.
   */
  LeaseId ownerFor(Instant now, const job_record& record) const;
  /** @return the position of the job's model among those of the configuration. */
  std::size_t modelIndex(const job_record& record) const;

  /** @return the status of the answer. */
  Task<unsigned> endBefore(JobId id, tenants::caller from, Instant deadline,
                           http::ResponseWriter& writer);

  dependencies deps_;
  bool stopping_ = false;
};

}  // namespace linenpier::batch
