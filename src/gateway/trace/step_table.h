#pragma once

/** @file
 * Timeline of training steps from the merged logs of many daemons, to show where the time between
 * two steps is spent.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/trace/trace_reader.h"

namespace linenpier::logging {

/** Timeline of one batch job, which runs one training step. Times are in milliseconds, and empty if
 * no log line gives them.
 */
struct step_timeline {
  std::string job_id;
  std::string model;
  std::string owner;                  ///< Daemon that was the last owner of the job.
  std::optional<double> step_number;  ///< Number of the training step, not a time.
  std::optional<double> submitted;    ///< Start of the first attempt to submit the job.
  std::optional<double> accepted;
  std::optional<double> active;       ///< Time at which the first owner started the job.
  std::optional<double> first_event;  ///< Time of the first event of any item of the job.
  /// Time at which all groups that the trainer waits for were complete.
  std::optional<double> complete;
  /// Time at which the results of all groups that the trainer waits for were in the store.
  std::optional<double> results_published;
  /// Time of the first read of results after `results_published`.
  std::optional<double> first_read;
  std::optional<double> ended;
  /// Time at which the next version of the model was published.
  std::optional<double> next_version;
  /// Time at which the last engine loaded the next version of the model.
  std::optional<double> engines_updated;
  int owners = 0;

  bool operator==(const step_timeline&) const = default;
};

/** @return the timelines of all batch jobs in the trace, in the order of submission. */
std::vector<step_timeline> collectSteps(const Trace& trace);

/** @return a text table with one line per training step and times in seconds since `begin_ms`. */
std::string formatSteps(const std::vector<step_timeline>& steps, double begin_ms);

}  // namespace linenpier::logging
