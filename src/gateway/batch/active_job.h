#pragma once

/** @file
 * State of a running job at its owner, shared by all components of this folder.
 *
 * Held by shared pointers: each coroutine that works on the job keeps it alive, even after the job
 * has stopped. Coroutines check `stopped` after each suspension point.
 */

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/event_log.h"
#include "common/task.h"
#include "gateway/batch/batch_run.h"
#include "gateway/batch/checkpoint_tracker.h"
#include "gateway/batch/job_store.h"
#include "gateway/batch/result_schedule.h"
#include "gateway/forward/engine_call.h"
#include "gateway/http/http_types.h"

namespace linenpier::batch {

/** The class must be used from the event loop thread only. */
struct active_job {
  active_job(boost::asio::io_context& loop, job_record row, batch_job job, run_rules rules,
             result_timing_options timing)
      : record(std::move(row)),
        run(std::move(job), rules),
        schedule(steadyNow(), timing),
        results_ready(loop),
        published_changed(loop) {}

  /** An append that was sent to the store. Unchanged until its outcome is known. */
  struct pending_append {
    std::size_t position = 0;
    std::vector<ItemIndex> items;
    std::vector<stored_result> results;
    /// New number of published results, if the append publishes results.
    std::optional<std::size_t> publish;

    bool empty() const { return results.empty() && !publish; }
  };

  job_record record;
  Revision fence = 0;  ///< Revision of the job's row under which this daemon owns the job.
  batch_run run;
  result_schedule schedule;
  Instant accepted_at{};                ///< When the job was accepted, by this daemon's clock.
  std::vector<stored_result> appended;  ///< Results stored so far, by position.
  std::size_t published = 0;            ///< Number of results visible to readers.
  std::size_t unpublished_bytes = 0;    ///< Size of the results that are stored but not published.
  pending_append pending;
  /// Running engine calls, by item.
  std::map<ItemIndex, std::shared_ptr<forward::engine_call>> calls;
  /// Reward requests in flight, by item.
  std::map<ItemIndex, std::shared_ptr<http::Cancellation>> scorings;
  Signal results_ready;      ///< Notified when there are results to append, or when the job stops.
  Signal published_changed;  ///< Notified when `published` has grown, or when the job stops.
  checkpoint_tracker checkpointed;
  /// First of the checkpoint rows that the next full part makes obsolete. These are the rows of the
  /// checkpoint that this owner has resumed from, until it has written a full part itself.
  std::size_t checkpoint_first_row = 0;
  std::size_t checkpoint_next_row = 0;  ///< First row of the next part.
  bool checkpoint_in_progress = false;
  /// Whether the log events `first_event`, `step_whole` and `step_listed` were written. Each is
  /// written at most once per job and owner.
  bool first_event_logged = false;
  bool step_complete_logged = false;
  bool step_published_logged = false;
  bool stopped = false;
  Instant stopped_at{};

  void logFirstEvent() {
    if (first_event_logged) return;
    first_event_logged = true;
    logging::LogEvent("batch", "first_event").text("batch", record.id.str());
  }

  /** @param item the item of the job that finished last. */
  void logStepComplete(ItemIndex item) {
    if (step_complete_logged || !run.stepComplete()) return;
    step_complete_logged = true;
    logging::LogEvent("batch", "step_whole")
        .text("batch", record.id.str())
        .text("item", run.job().items[item].id.str())
        .text("engine", run.progress(item).last_engine.str())
        .number("events", static_cast<std::int64_t>(run.progress(item).last_event))
        .number("running", static_cast<std::int64_t>(run.running()))
        .number("waiting", static_cast<std::int64_t>(run.waiting()))
        .milliseconds("took_ms", steadyNow() - accepted_at);
  }

  void logStepPublished() {
    if (step_published_logged || !run.stepComplete()) return;
    step_published_logged = true;
    logging::LogEvent("batch", "step_listed")
        .text("batch", record.id.str())
        .number("results", static_cast<std::int64_t>(published))
        .milliseconds("took_ms", steadyNow() - accepted_at);
  }

  void stop(Instant now) {
    if (stopped) return;
    stopped = true;
    stopped_at = now;
    for (const auto& [item, call] : calls) call->abort();
    for (const auto& [item, cancellation] : scorings) cancellation->request();
    results_ready.notifyAll();
    published_changed.notifyAll();
  }
};

}  // namespace linenpier::batch
