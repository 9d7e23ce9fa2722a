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
  std::string owner;                  ///< Last owner.
  std::optional<double> step_number;  ///< Number of the training step, not a time.
  std::optional<double> submitted;    ///< Start of the first attempt to submit the job.
  std::optional<double> accepted;
  std::optional<double> active;             ///< The first owner started the job.
  std::optional<double> first_event;        ///< First event of any item.
  std::optional<double> complete;           ///< All groups that the trainer waits for are complete.
  std::optional<double> results_published;  ///< The results of these groups are in the store.
  std::optional<double> first_read;         ///< First read after `results_published`.
  std::optional<double> ended;
  std::optional<double> next_version;     ///< Next version of the model was published.
  std::optional<double> engines_updated;  ///< Last engine loaded that version.
  int owners = 0;

  bool operator==(const step_timeline&) const = default;
};

/** @return the jobs in the order of submission. */
std::vector<step_timeline> collectSteps(const Trace& trace);

/** @return a table with one line per step, in seconds since `begin_ms`. */
std::string formatSteps(const std::vector<step_timeline>& steps, double begin_ms);

}  // namespace linenpier::logging
