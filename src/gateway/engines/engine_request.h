#pragma once

/** @file
 * Requirements of a request on its engine: the input of admission and selection.
 */

#include <optional>
#include <set>

#include "common/ids.h"
#include "gateway/fleet/data_residency.h"

namespace linenpier::engines {

struct engine_request {
  ServiceName service;
  std::set<EngineId> excluded;  ///< Engines that were tried before or are unsuitable.
  ModelName model;              ///< Model that the request needs; empty: any model.
  WeightVersion minimum_version = 0;
  fleet::data_residency residency;  ///< Regions in which the engine may be.
  /** The only accepted weight version, as for a started text that a single version must generate.
   */
  std::optional<WeightVersion> exact_version;
  /** Whether engines with the newest weight version are preferred. Set for a new text that a single
   * version must generate: engines hold the newest version longest, so the text can probably be
   * finished.
   */
  bool prefer_newest = false;
  double tokens = 0;         ///< Memory that the request is expected to need, in tokens.
  double memory_tokens = 0;  ///< Memory of an engine in tokens; 0: unlimited.
  /** Whether the engines batch requests, so that one more request hardly slows the others. */
  bool batching = false;
  /** Limit of requests per slot, including those of other daemons; 0: no limit. */
  double max_per_slot = 0;
  /** Whether ejected and excluded engines are accepted; set when no other engine was found. */
  bool last_resort = false;
};

}  // namespace linenpier::engines
