#pragma once

/** @file
 * Orders to engines to load a version of a model's weights, and their results.
 */

#include <cstdint>
#include <optional>

#include "common/address.h"
#include "common/ids.h"
#include "gateway/engines/engine_registry.h"

namespace linenpier::versions {

/** What happens to the model's runs on an engine that changes its weights. */
enum class LoadMode {
  kWait,    ///< The engine finishes the runs before it loads.
  kCancel,  ///< The runs are cancelled; their owners resume them on other engines.
  kRetain,  ///< The runs pause during the load and continue under the new version.
};

/** An order that an engine load a version. */
struct version_order {
  EngineId engine;
  engines::engine_start start = 0;  ///< The order is for this start of the engine, not a later one.
  Address address;
  ModelName model;
  WeightVersion version = 0;
  LoadMode mode = LoadMode::kCancel;
  /// The engine accepts the order only if it has accepted exactly this many orders since its start.
  /// A repetition carries the same number, so at most one of an order and its repetition is
  /// executed.
  std::optional<std::uint64_t> expected_sequence;
};

/** Result of an order. */
enum class OrderResult {
  kStarted,        ///< The engine has started loading.
  kAlreadyLoaded,  ///< The engine already had the version.
  kBusy,           ///< Another order is in progress, or the sequence differs.
  kFenced,         ///< The engine has seen a higher token.
  kRejected,       ///< The order is invalid, or another engine has the address.
  kUnknown,        ///< No response: the order may still be executed.
};

/** An engine's report of its state; the report is slightly outdated on arrival. */
struct order_report {
  engines::engine_start start = 0;
  std::uint64_t accepted_orders = 0;  ///< Orders accepted since the engine started.
  bool busy = false;                  ///< An order is in progress.
  std::uint32_t load = 0;             ///< Number of running and waiting requests.
};

const char* toText(LoadMode mode);
const char* toText(OrderResult answer);

/** @return whether an engine with the version `held` can serve the newest step, which accepts
 * weights one version old.
 */
bool servesNewestStep(WeightVersion held, WeightVersion newest);

}  // namespace linenpier::versions
