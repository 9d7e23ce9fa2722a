#pragma once

/** @file
 * Options of batch jobs, and the counters exported as metrics.
 */

#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "gateway/batch/result_schedule.h"
#include "gateway/batch/run_move_rules.h"
#include "gateway/batch/run_timeouts.h"
#include "gateway/batch/zone_drain_schedule.h"

namespace linenpier::batch {

struct batch_options {
  Duration connect_timeout = std::chrono::milliseconds(200);  ///< For connecting to an engine.
  run_timeouts timeouts;
  /// Before an item that an engine rejected is sent again.
  Duration rejected_retry_delay = std::chrono::milliseconds(40);
  Duration interrupted_retry_delay{};  ///< Before an item whose run was interrupted is sent again.
  result_timing_options result_timing;
  Duration checkpoint_interval = std::chrono::milliseconds(500);  ///< Between checkpoints of a job.
  /// A checkpoint is written only for at least so many new events.
  std::uint64_t min_checkpoint_events = 10;
  /// Before a failed write to the store is retried.
  Duration store_retry_delay = std::chrono::milliseconds(150);
  /// Poll interval of a waiting reader while the feed of job rows is unavailable.
  Duration poll_interval = std::chrono::milliseconds(100);
  /// Poll interval of a waiting reader on daemons other than the owner. They fetch unpublished
  /// results ahead of time, so that few are left to read once these are published.
  Duration read_ahead_interval = std::chrono::milliseconds(300);
  /// From receiving a job until the store must have accepted it.
  Duration accept_timeout = std::chrono::milliseconds(2500);
  /// From receiving the request that ends a job until the store must have accepted it.
  Duration end_timeout = std::chrono::milliseconds(3500);
  /// How long the results of an ended job stay in memory, where the trainer's next steps can reuse
  /// them.
  Duration ended_job_cache_time = std::chrono::seconds(10);
  /// From a job's acceptance until it may be removed, provided that it has ended.
  Duration job_retention = std::chrono::seconds(120);
  /// Additional delay before daemons other than the owner remove an ended job.
  Duration removal_delay = std::chrono::seconds(30);
  Duration removal_period = std::chrono::seconds(2);  ///< Poll interval for such jobs.
  /// Time limit for reading the partial results of earlier jobs.
  Duration reuse_timeout = std::chrono::seconds(2);
  /// Earlier jobs searched for partial results. Trainers keep one or two steps in flight.
  std::size_t max_earlier_jobs = 3;
  /// Limit of items in open jobs per owner. Bounds the processor time spent on their events.
  std::size_t max_open_items = 1000;
  /// Upper limit of requests per engine slot, counting all daemons, for an item to start there.
  double requests_per_slot = 1.0;
  run_move_rules move_rules;
  zone_drain_options zone_drain;              ///< How runs are moved out of closed zones.
  std::size_t max_page_bytes = 900 * 1024;    ///< Size of the results in one page.
  std::size_t max_append_bytes = 640 * 1024;  ///< Size of the results in one append.
  /// Unpublished results beyond this size are published at once: they would not fit in one page.
  std::size_t max_unpublished_bytes = 640 * 1024;
  /// Limit of results per append. The store accepts 100 entries per write, one of them for the
  /// job's row.
  std::size_t max_append_rows = 96;
};

struct batch_counts {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_refused = 0;
  std::uint64_t jobs_taken_over = 0;
  std::uint64_t jobs_lost = 0;  ///< Running jobs that were stopped because of another owner.
  /// Part of `jobs_refused`: no engine within the job's residency.
  std::uint64_t jobs_refused_for_residency = 0;
  /// Jobs handed over because this daemon is outside their residency.
  std::uint64_t jobs_handed_over_for_residency = 0;
  std::uint64_t jobs_ended = 0;  ///< Successful requests to end a job, including repeated ones.
  std::uint64_t items_completed = 0;
  std::uint64_t items_terminated = 0;
  std::uint64_t item_attempts = 0;
  std::uint64_t items_scored = 0;
  std::uint64_t scorings_failed = 0;  ///< Reward requests that returned no score.
};

}  // namespace linenpier::batch
