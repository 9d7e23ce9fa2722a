#pragma once

/// @file
/// Faults that can be switched on by an order over HTTP.

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tl/expected.hpp>

#include "common/random.h"

namespace linenpier::standin {

/// How a store treats a call.
enum class StoreTreatment {
  kServe,
  kRefuse,      ///< 503 at once, without effect.
  kHang,        ///< No answer in time, without effect.
  kLoseAnswer,  ///< The effect happens, but the answer does not arrive.
};

/// How an engine behaves.
enum class EngineMode { kNormal, kFrozen, kCrashed, kSlow };

/// Thread-safe.
class Faults {
 public:
  explicit Faults(std::uint64_t seed) : random_(seed) {}

  /// Applies an order such as {"target":"store","mode":"down"}.
  /// @return what is wrong with it, or nothing.
  tl::expected<void, std::string> apply(const std::string& order_json);

  /// @param service "table", "objects", "weights" or "machines".
  StoreTreatment treatStore(const std::string& service, const std::string& caller_zone);
  bool cut(const std::string& zone, const std::string& other) const;
  EngineMode engineMode(const std::string& engine) const;
  bool engineLeaving(const std::string& engine) const;
  /// @return whether the engine's next swap is to fail; takes one failure.
  bool takeSwapFailure(const std::string& engine);
  /// @return how often each fault struck, by name.
  std::map<std::string, std::uint64_t> struck() const;
  void noteStruck(const std::string& fault);

 private:
  mutable std::mutex mutex_;  ///< Guards all members below.
  Random random_;
  std::string store_mode_ = "up";
  double store_probability_ = 1.0;  ///< Share of the calls that the mode hits.
  std::set<std::pair<std::string, std::string>> cuts_;
  std::map<std::string, EngineMode> engine_modes_;
  std::set<std::string> leaving_;
  std::map<std::string, int> swap_failures_;
  std::map<std::string, std::uint64_t> struck_;
};

}  // namespace linenpier::standin
