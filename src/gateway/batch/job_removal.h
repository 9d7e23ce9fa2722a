#pragma once

/** @file
 * Removes ended batch jobs from the store after their retention time. Any daemon may remove a job;
 * its owner tries first.
 */

#include <optional>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

/** The class must be used from the event loop thread only. */
class job_removal {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_store& store;
    lease::lease_table& leases;
    lease::lease_keeper& keeper;
    job_registry& jobs;
    const batch_options& options;
  };

  explicit job_removal(dependencies deps) : deps_(deps) {}

  void start();
  /** Prevents further removals of jobs from starting. */
  void stop() { this->stopping_ = true; }

 private:
  Task<void> removalLoop();
  std::optional<JobId> nextToRemove(Instant now) const;

  dependencies deps_;
  bool stopping_ = false;
};

}  // namespace linenpier::batch
