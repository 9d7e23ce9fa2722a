#pragma once

/** @file
 * Options of batch jobs, and the counters that their metrics are made of.
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
  Duration connect_timeout = std::chrono::milliseconds(200);  ///< To connect to an engine.
  run_timeouts timeouts;
  Duration rejected_retry_delay =
      std::chrono::milliseconds(40);   ///< Of an item that an engine rejected.
  Duration interrupted_retry_delay{};  ///< Of an item whose run was stopped or broken.
  result_timing_options result_timing;
  Duration checkpoint_interval =
      std::chrono::milliseconds(500);        ///< Between two checkpoints of a job.
  std::uint64_t min_checkpoint_events = 10;  ///< Fewer new ones are not worth a checkpoint.
  Duration store_retry_delay = std::chrono::milliseconds(150);  ///< Before a write is sent again.
  /// Of a reader that waits while the feed of jobs does not say what is published.
  Duration poll_interval = std::chrono::milliseconds(100);
  /// Of a reader that waits elsewhere than at the owner: it reads what is held back in the
  /// meantime, so that little is left to read when it is published.
  Duration read_ahead_interval = std::chrono::milliseconds(300);
  /// From the receipt of a job until the store must have taken it.
  Duration accept_timeout = std::chrono::milliseconds(2500);
  /// From the call that ends a job until the store must have taken that.
  Duration end_timeout = std::chrono::milliseconds(3500);
  /// Results of an ended job in memory. A trainer's next but one step, asked for some eight seconds
  /// later, may hold groups of it.
  Duration ended_job_cache_time = std::chrono::seconds(10);
  /// From a job's acceptance until it may be removed, if it has ended.
  Duration job_retention = std::chrono::seconds(120);
  /// Until daemons that did not own an ended job remove it.
  Duration removal_delay = std::chrono::seconds(30);
  Duration removal_period = std::chrono::seconds(2);  ///< Between two polls for such jobs.
  /// What earlier jobs left is of little use to a job later.
  Duration reuse_timeout = std::chrono::seconds(2);
  /// Trainers ask for the next step while one or two are under way.
  std::size_t max_earlier_jobs = 3;
  /// Items of open jobs that one daemon is given: some four steps of a large trainer. Beyond that
  /// the events of all of them would take more than a small machine's processor.
  std::size_t max_open_items = 1000;
  /// Requests a slot that an engine may have, counting others', for items to start there.
  double requests_per_slot = 1.0;
  run_move_rules move_rules;
  zone_drain_options zone_drain;              ///< Of closed zones.
  std::size_t max_page_bytes = 900 * 1024;    ///< Of results in one answer to a reader.
  std::size_t max_append_bytes = 640 * 1024;  ///< Of results in one append.
  /// Results that are held back for longer are more than one page, which a trainer reads half a
  /// second apart.
  std::size_t max_unpublished_bytes = 640 * 1024;
  /// The store takes 100 entries a write: the condition on the job's row, and a value each.
  std::size_t max_append_rows = 96;
};

struct batch_counts {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t taken_over = 0;
  std::uint64_t lost = 0;
  std::uint64_t refused_for_residency = 0;  ///< Of `refused`: no engine within residency.
  std::uint64_t given_up_for_residency =
      0;  ///< Jobs given up since this daemon is outside their residency.
  std::uint64_t ended = 0;
  std::uint64_t completed = 0;
  std::uint64_t terminated = 0;
  std::uint64_t attempts = 0;
  std::uint64_t scored = 0;
  std::uint64_t scorings_failed = 0;  ///< Reward requests that brought no score.
};

}  // namespace linenpier::batch
