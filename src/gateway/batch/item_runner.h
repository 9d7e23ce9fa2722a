#pragma once

/** @file
 * Runs the items of owned jobs: starts items as engine capacity permits, reads the responses, and
 * updates the state of the items. That state is kept in `batch_run`; `placeItem` selects the
 * engine.
 */

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/success_sampler.h"
#include "gateway/batch/engine_requirements_builder.h"
#include "gateway/batch/item_scorer.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/run_reader.h"

namespace linenpier::batch {

/// Number of successful attempts per second that are all logged. Of further attempts within the
/// second, one in `kSampleInterval` is logged.
inline constexpr std::uint32_t kUnsampledLinesPerSecond = 60;
inline constexpr std::uint32_t kSampleInterval = 10;

/** Owns the length statistics and the reward requests in flight. Engine calls in flight are kept in
 * `active_job`. The class must be used from the event loop thread only.
 */
class item_runner {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    const forward::engine_call_context& engines;
    forward::internal_requests& rewards;
    job_registry& jobs;
    const engine_requirements_builder& engine_requirements;
    std::function<routing::ConfigurationPtr()> routes;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit item_runner(dependencies deps);

  /** Sends waiting reward requests and starts waiting items, as engine capacity permits. */
  void startRunnableItems();

  const length_estimator& lengths() const { return this->lengths_; }
  /** @return the engines that run the longest remaining items of owned jobs. These items determine
   *     when the jobs' steps end.
   */
  std::set<EngineId> criticalEngines() const;

 private:
  struct startable_item;
  /** An attempt to run an item on an engine. Keeps the job and the call alive. */
  struct item_attempt {
    active_job_ptr active;
    ItemIndex item = 0;
    std::shared_ptr<forward::engine_call> call;
    ModelName model;  ///< Model of the item; empty if not specified.
  };

  std::vector<startable_item> startableItems();
  /** Finds the job's next item. @return whether there is one that may start now. */
  bool findNext(startable_item& job) const;
  /** @return whether other items of the job may start. */
  bool startItem(const active_job_ptr& active, ItemIndex item, const routing::Route& route);
  Task<void> runItem(item_attempt attempt);
  void finishAttempt(const item_attempt& attempt, forward::AttemptOutcome outcome,
                     const run_report& report);
  /** Updates the state of the item after an attempt.
   * @param status status code of the response; 0: there was no response.
   * @param events number of events that the item has.
   */
  void applyOutcome(Instant now, const item_attempt& attempt, forward::AttemptOutcome outcome,
                    unsigned status, std::uint64_t events, const run_report& report);
  void interruptItem(Instant now, const item_attempt& attempt, forward::AttemptOutcome outcome,
                     const run_report& report);
  void logAttempt(Instant now, const item_attempt& attempt, forward::AttemptOutcome outcome,
                  unsigned status, std::uint64_t events, const run_report& report);

  dependencies deps_;
  length_estimator lengths_;
  logging::SuccessSampler sampler_{kUnsampledLinesPerSecond, kSampleInterval};
  item_scorer scorer_;
  run_reader reader_;
};

}  // namespace linenpier::batch
