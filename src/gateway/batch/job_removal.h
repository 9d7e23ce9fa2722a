#pragma once

/** @file
 * Removes batch jobs that have ended and that nobody may ask for any more, with all that the store
 * holds of them. Any daemon may remove a job; its owner goes first.
 */

#include <optional>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/job_store.h"
#include "gateway/lease/lease_keeper.h"
#include "gateway/lease/lease_table.h"

namespace linenpier::batch {

/** Relies on the rows of known jobs and on the store's clock. Loop thread only. */
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
  /** No removal begins from now on. */
  void stop() { this->stopping_ = true; }

 private:
  Task<void> removalLoop();
  std::optional<JobId> nextToRemove(Instant now) const;

  dependencies deps_;
  bool stopping_ = false;
};

}  // namespace linenpier::batch
