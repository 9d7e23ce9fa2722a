#pragma once

/** @file
 * Orders to engines to load a version of a model's weights, and what engines answer. Values.
 */

#include <cstdint>
#include <optional>

#include "common/address.h"
#include "common/ids.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::versions {

/** What becomes of the model's runs at an engine that changes its weights. */
enum class LoadMode {
  kWait,    ///< They end first.
  kCancel,  ///< They are reset; their owners go on with them elsewhere.
  kRetain,  ///< They stand still for the load, then go on under the new version.
};

/** That an engine shall load a version. */
struct version_order {
  EngineId engine;
  engines::engine_start start = 0;  ///< The order is meant for this start of the engine.
  Address address;
  ModelName model;
  WeightVersion version = 0;
  LoadMode mode = LoadMode::kCancel;
  /// Orders that the engine must have taken before: of an order and its repetition at most one is
  /// carried out.
  std::optional<std::uint64_t> expected_sequence;
};

/** How an engine answered an order. */
enum class OrderResult {
  kStarted,        ///< It loads now.
  kAlreadyLoaded,  ///< It held the version already.
  kBusy,           ///< Another order is under way, or the sequence differs.
  kFenced,         ///< It has seen a higher token.
  kRejected,       ///< The order is wrong, or another engine has the address.
  kUnknown,        ///< No answer: it may be carried out yet.
};

/** What an engine reports of itself; a little old when it arrives. */
struct order_report {
  engines::engine_start start = 0;
  std::uint64_t taken = 0;  ///< Orders it has taken since its start.
  bool busy = false;        ///< One of them is under way.
  std::uint32_t load = 0;   ///< Requests that run or wait.
};

const char* toText(LoadMode mode);
const char* toText(OrderResult answer);

/** @return whether an engine with the version `held` can work for the newest step, which takes
 *     weights one version old.
 */
bool servesNewestStep(WeightVersion held, WeightVersion newest);

}  // namespace linenpier::versions
