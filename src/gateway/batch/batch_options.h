#pragma once

/** @file
 * Options of batch jobs, and the counters exported as metrics.
 */

#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "gateway/batch/crash_delays.h"
#include "gateway/batch/result_schedule.h"
#include "gateway/batch/run_move_rules.h"
#include "gateway/batch/run_timeouts.h"
#include "gateway/batch/zone_drain_schedule.h"

namespace linenpier::batch {

struct batch_options {
  /// Time limit for connecting to an engine.
  Duration connect_timeout = std::chrono::milliseconds(200);
  run_timeouts timeouts;
  /// Delay before an item that an engine rejected is sent again.
  Duration rejected_retry_delay = std::chrono::milliseconds(40);
  /// Delay before an item whose run was interrupted is sent again.
  Duration interrupted_retry_delay{};
  crash_delays crash_delay;  ///< Delays after runs whose engine crashed.
  result_timing_options result_timing;
  /// Minimum time between checkpoints of a job.
  Duration checkpoint_interval = std::chrono::milliseconds(500);
  /// Minimum number of events since the last checkpoint for which another one is written.
  std::uint64_t min_checkpoint_events = 10;
  /// Delay before a failed write to the store is retried.
  Duration store_retry_delay = std::chrono::milliseconds(150);
  /// Poll interval of a waiting reader while the feed of job rows is unavailable.
  Duration poll_interval = std::chrono::milliseconds(100);
  /// Poll interval of a reader that waits at a daemon other than the job's owner. At each poll, the
  /// daemon fetches results that are stored but not published yet, so that few are left to fetch
  /// when they are published.
  Duration read_ahead_interval = std::chrono::milliseconds(300);
  /// Time from the receipt of a job within which it must be stored.
  Duration accept_timeout = std::chrono::milliseconds(2500);
  /// Time from the receipt of a request to end a job within which the end must be stored.
  Duration end_timeout = std::chrono::milliseconds(3500);
  /// How long the results of an ended job stay in memory, where jobs of the trainer's next steps
  /// can reuse them. A trainer submits the step after the next some eight seconds later.
  Duration ended_job_cache_time = std::chrono::seconds(10);
  /// Minimum time from a job's acceptance to its removal. Only ended jobs are removed.
  Duration job_retention = std::chrono::seconds(120);
  /// Additional delay before daemons other than the owner remove an ended job.
  Duration removal_delay = std::chrono::seconds(30);
  Duration removal_period = std::chrono::seconds(2);  ///< Poll interval for jobs to remove.
  /// Time limit for reading the partial results of earlier jobs.
  Duration reuse_timeout = std::chrono::seconds(2);
  /// Maximum number of earlier jobs searched for partial results. Trainers keep one or two steps in
  /// flight.
  std::size_t max_earlier_jobs = 3;
  /// Maximum number of items in the open jobs of an owner, some four steps of a large trainer.
  /// Bounds the processor time spent on their events.
  std::size_t max_open_items = 1000;
  /// Maximum number of requests per slot of an engine, including those of other daemons. An item is
  /// not started on an engine where it would exceed this limit.
  double requests_per_slot = 1.0;
  run_move_rules move_rules;
  zone_drain_options zone_drain;              ///< How runs are moved out of closed zones.
  std::size_t max_page_bytes = 900 * 1024;    ///< Maximum size of a page's results.
  std::size_t max_append_bytes = 640 * 1024;  ///< Maximum size of the results in an append.
  /// Results that are stored but not published are published as soon as their size reaches this
  /// limit. It is below `max_page_bytes`, so that they usually fit in one page: a trainer reads
  /// successive pages half a second apart.
  std::size_t max_unpublished_bytes = 640 * 1024;
  /// Maximum number of results per append. The store accepts 100 entries per write, one of them for
  /// the job's row.
  std::size_t max_append_rows = 96;
};

struct batch_counts {
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_refused = 0;
  std::uint64_t jobs_unknown = 0;  ///< Submissions that may have been accepted or may still be.
  std::uint64_t jobs_taken_over = 0;
  std::uint64_t jobs_lost = 0;  ///< Running jobs stopped because another daemon owns them.
  /// Submissions that were rejected because no engine is within their residency.
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
