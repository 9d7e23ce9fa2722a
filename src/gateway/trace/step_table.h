#pragma once

/** @file
 * The way of a trainer's steps, from the logs of many daemons: when each was handed in, accepted,
 * begun, whole, listed, read and ended, and when the next version was named. Tells where the time
 * between two steps goes. Pure.
 */

#include <optional>
#include <string>
#include <vector>

#include "gateway/trace/trace_reader.h"

namespace linenpier::logging {

/** Moments of one batch job in milliseconds; absent where no line tells of them. */
struct step_timeline {
  std::string batch;
  std::string model;
  std::string owner;  ///< Daemon that ran it last.
  std::optional<double> step;
  std::optional<double> submitted;  ///< The first try.
  std::optional<double> accepted;
  std::optional<double> active;       ///< At its first owner.
  std::optional<double> first_event;  ///< Of any of its items.
  std::optional<double> complete;     ///< Every group that the trainer waits for.
  std::optional<double> published;    ///< The same, in the store.
  std::optional<double> first_read;   ///< The first read after that.
  std::optional<double> ended;
  std::optional<double> next_version;     ///< The next version of its model.
  std::optional<double> engines_updated;  ///< The last engine took that version before the next.
  int owners = 0;

  bool operator==(const step_timeline&) const = default;
};

/** @return the jobs in the order in which they were handed in. */
std::vector<step_timeline> collectSteps(const Trace& trace);

/** @return a table with a line a step, in seconds since the trace's first line. */
std::string formatSteps(const std::vector<step_timeline>& steps, double begin_ms);

}  // namespace linenpier::logging
