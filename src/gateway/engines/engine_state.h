#pragma once

/** @file
 * Everything that this daemon knows of one engine: its record and what attempts at it showed.
 */

#include <map>

#include "common/ids.h"
#include "gateway/engines/engine_health.h"
#include "gateway/engines/engine_latency.h"
#include "gateway/engines/engine_load.h"
#include "gateway/engines/engine_record.h"
#include "gateway/engines/model_loading.h"

namespace linenpier::engines {

struct engine_state {
  engine_record record;
  engine_load load;
  engine_latency latency;
  engine_health health;
  model_loading loading;
  /** From answers, for models whose versions in the record have not changed since. */
  std::map<ModelName, WeightVersion> seen_versions;
  /** Its record disappeared around an outage of the store: it is forgotten unless that comes back.
   */
  bool expired = false;

  /** @return the version that the engine holds; 0 if it holds none. */
  WeightVersion versionOf(const ModelName& model) const;
  /** The engine started again under its id: nothing known of the earlier start holds, except that
   * attempts at it are still in flight.
   */
  void onRestarted();
  /** Takes over a newer record. A version that it changes is newer than one seen in answers. */
  void setRecord(const engine_record& newer);
};

using engine_list = std::map<EngineId, const engine_state*>;

}  // namespace linenpier::engines
