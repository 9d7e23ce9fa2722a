#pragma once

/** @file
 * Reads the event stream of an engine into the state of an item.
 */

#include <optional>
#include <vector>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/batch_run.h"
#include "gateway/forward/engine_call.h"

namespace linenpier::batch {

struct active_job;

/** Measurements of a run, for its evaluation and for the log. */
struct run_report {
  std::optional<Duration> first_event_delay;
  Duration max_gap{};           ///< Longest time between two events.
  bool engine_crashed = false;  ///< The engine crashed during the run.
};

/** Stateless; reports versions and event times to the engine registry. The class must be used from
 * the event loop thread only.
 */
class run_reader {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    const forward::field_names& names;
    const batch_options& options;
  };

  explicit run_reader(dependencies deps) : deps_(deps) {}

  /** Sends the request and reads the response until it ends or an event does not arrive in time.
   * The caller keeps the job, the call and `report` alive.
   * @param model empty: the item specifies none.
   */
  Task<forward::AttemptOutcome> read(active_job& active, ItemIndex item, forward::engine_call& call,
                                     const ModelName& model, run_report& report);

 private:
  struct read_context;

  /** Adds events to the item's text. @return false if one was rejected: the run must be stopped. */
  bool takeEvents(Instant now, read_context& run, const std::vector<forward::stream_event>& events);
  /** Records the arrival time of one or more events of a run. */
  void recordEventTimes(Instant now, read_context& run, std::size_t events, run_report& report);
  void reportVersion(const read_context& run);
  Duration eventTimeout(const read_context& run, Duration first_limit) const;

  dependencies deps_;
};

}  // namespace linenpier::batch
