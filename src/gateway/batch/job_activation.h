#pragma once

/** @file
 * Starts a job that this daemon owns: restores its state from the store and starts all components
 * that work on it.
 */

#include <functional>

#include "gateway/batch/checkpoint_writer.h"
#include "gateway/batch/item_runner.h"
#include "gateway/batch/partial_result_reuse.h"
#include "gateway/batch/result_writer.h"

namespace linenpier::batch {

/** The class is stateless and must be used from the event loop thread only. */
class job_activation {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    job_registry& jobs;
    result_writer& results;
    checkpoint_writer& checkpoints;
    partial_result_reuse& reuse;
    item_runner& runner;
    std::function<routing::ConfigurationPtr()> routes;
    const batch_options& options;
  };

  explicit job_activation(dependencies deps) : deps_(std::move(deps)) {}

  /** The known row of the job must name this daemon as its owner, and its revision must be a fence
   * under which this daemon has not run the job.
   * @param progress stored results and checkpoints of earlier runs, read under that fence; empty
   *     for a new job.
   * @param accepted_at when the job was accepted, by this daemon's clock.
   */
  void activate(const JobId& id, batch_job job, const stored_progress& progress,
                Instant accepted_at);

 private:
  dependencies deps_;
};

}  // namespace linenpier::batch
