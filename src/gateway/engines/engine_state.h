#pragma once

/** @file
 * State of one engine: its record and the results of attempts.
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
  /** Weight versions seen in responses, by model. The entry of a model is removed when the engine's
   * record changes the version of that model.
   */
  std::map<ModelName, WeightVersion> seen_versions;
  /** Whether the engine's record disappeared around a store outage. The engine is removed unless
   * the record returns.
   */
  bool expired = false;

  /** @return the version that the engine holds; 0: none. */
  WeightVersion versionOf(const ModelName& model) const;
  /** Discards the state from before a restart of the engine, except for the attempts in flight. */
  void onRestarted();
  /** Replaces the record. If the new record lists another version of a model than the old one, that
   * version overrides the one seen in responses.
   */
  void setRecord(const engine_record& newer);
};

using engine_list = std::map<EngineId, const engine_state*>;

}  // namespace linenpier::engines
