#pragma once

/** @file
 * Reads what an engine answers to an item's request, event by event, into the state of the job.
 */

#include <optional>
#include <vector>

#include "gateway/batch/batch_options.h"
#include "gateway/batch/batch_run.h"
#include "gateway/forward/engine_call.h"

namespace linenpier::batch {

struct active_job;

/** How a run went, for its judgement and for the log. */
struct run_report {
  std::optional<Duration> first_event_delay;
  Duration max_gap{};           ///< Between two of its events.
  bool engine_crashed = false;  ///< Its engine crashed under it.
};

/** Holds no state of its own; tells the registry of versions and event times seen. Loop thread
 * only.
 */
class run_reader {
 public:
  struct dependencies {
    engines::engine_registry& registry;
    const forward::field_names& names;
    const batch_options& options;
  };

  explicit run_reader(dependencies deps) : deps_(deps) {}

  /** Sends the request and reads its answer to the end, or until an event does not come in time.
   * The caller keeps the job, the call and `course` alive.
   * @param model empty: the item names none.
   */
  Task<forward::AttemptVerdict> read(active_job& active, ItemIndex item, forward::engine_call& call,
                                     const ModelName& model, run_report& report);

 private:
  struct read_context;

  /** @return whether all events fit the item; otherwise the run is broken. */
  bool takeEvents(Instant now, read_context& run, const std::vector<forward::stream_event>& events);
  /** Notes when the events came; some did. */
  void recordEventTimes(Instant now, read_context& run, std::size_t events, run_report& report);
  void reportVersion(const read_context& run);
  Duration eventTimeout(const read_context& run, Duration first_limit) const;

  dependencies deps_;
};

}  // namespace linenpier::batch
