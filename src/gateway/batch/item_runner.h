#pragma once

/** @file
 * Runs the items of owned jobs: starts what engines have room for, reads the answers, and settles
 * what becomes of each item. How an item stands is kept by `batch_run`; which engine it gets is
 * decided by `placeItem`.
 */

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/success_sampler.h"
#include "gateway/batch/engine_request_builder.h"
#include "gateway/batch/item_scorer.h"
#include "gateway/batch/job_registry.h"
#include "gateway/batch/length_estimator.h"
#include "gateway/batch/run_reader.h"
#include "gateway/suspects/suspect_gate.h"

namespace linenpier::batch {

/// Lines about finished items that a daemon writes in full each second, and one in how many then.
inline constexpr std::uint32_t kFullLinesPerSecond = 60;
inline constexpr std::uint32_t kSampleOneIn = 10;

/** Owns what is learnt of texts' lengths, and the reward requests under way. The calls under way
 * are kept with their job, in `active_job`. Relies on the jobs that are known as active. Loop
 * thread only.
 */
class item_runner {
 public:
  struct dependencies {
    boost::asio::io_context& loop;
    const forward::engine_call_context& engines;
    forward::internal_requests& rewards;
    suspects::suspect_gate& suspects;
    job_registry& jobs;
    const engine_request_builder& engine_requests;
    std::function<routing::RouteTablePtr()> routes;
    batch_counts& counts;
    const batch_options& options;
  };

  explicit item_runner(dependencies deps);

  /** Starts reward requests and items, as far as engines have room. */
  void startRunnableItems();

  const length_estimator& lengths() const { return this->lengths_; }
  /** @return the engines with runs that the steps of owned jobs wait for. */
  std::set<EngineId> criticalEngines() const;

 private:
  struct startable_item;
  /** One run of an item. The job and the call live at least as long as it does. */
  struct item_attempt {
    active_job_ptr active;
    ItemIndex item = 0;
    std::shared_ptr<forward::engine_call> call;
    ModelName model;  ///< Empty: the item names none.
    suspects::sent_attempt sent;
  };

  std::vector<startable_item> startableItems();
  /** @return whether the job has an item that may start; it is then set. */
  bool findNext(startable_item& job) const;
  /** @return whether other items of the job may start. */
  bool startItem(const active_job_ptr& active, ItemIndex item, const routing::Route& route);
  /** @return nothing if the item must wait, since engines crashed under it. */
  std::optional<suspects::sent_attempt> admitSuspect(active_job& active, ItemIndex item);
  Task<void> runItem(item_attempt run);
  /** Reports what a run has shown of a request under which engines may crash. */
  void reportToSuspectGate(const item_attempt& run, forward::AttemptVerdict verdict,
                           bool engine_crashed);
  void finishAttempt(const item_attempt& run, forward::AttemptVerdict verdict,
                     const run_report& report);
  /** @param events that the item has. @param status of the answer; 0: none. */
  void applyVerdict(Instant now, const item_attempt& run, forward::AttemptVerdict verdict,
                    unsigned status, std::uint64_t events, const run_report& report);
  void interruptItem(Instant now, const item_attempt& run, forward::AttemptVerdict verdict,
                     const run_report& report);
  void logAttempt(Instant now, const item_attempt& run, forward::AttemptVerdict verdict,
                  unsigned status, std::uint64_t events, const run_report& report);

  dependencies deps_;
  length_estimator lengths_;
  logging::SuccessSampler sampler_{kFullLinesPerSecond, kSampleOneIn};
  item_scorer scorer_;
  run_reader reader_;
};

}  // namespace linenpier::batch
