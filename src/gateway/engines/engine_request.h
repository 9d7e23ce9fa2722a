#pragma once

/** @file
 * What a request needs of an engine: the input of admission and choice. A value.
 */

#include <optional>
#include <set>

#include "common/ids.h"
#include "gateway/fleet/data_residency.h"

namespace linenpier::engines {

struct engine_request {
  ServiceName service;
  std::set<EngineId> excluded;  ///< Tried before, or not wanted.
  ModelName model;              ///< Empty: any.
  WeightVersion minimum_version = 0;
  fleet::data_residency residency;  ///< Only engines within it.
  /** Only engines with this version: a text that one version must make goes on there. */
  std::optional<WeightVersion> exact_version;
  /** Prefer engines with the newest version, which they keep longest: a text that one version must
   * make is finished there.
   */
  bool prefer_newest = false;
  double tokens = 0;         ///< Memory that the request is expected to need.
  double memory_tokens = 0;  ///< Memory of an engine; 0: not bounded.
  /** The engines work in batches: one more request slows the others by little. */
  bool batching = false;
  /** No more than this many requests a slot, counting others'; 0: no limit. */
  double max_per_slot = 0;
  /** Second pass: ejected and excluded engines are taken rather than none. */
  bool last_resort = false;
};

}  // namespace linenpier::engines
