#include "testbed/standin/faults.h"

#include <nlohmann/json.hpp>

namespace linenpier::standin {

using nlohmann::json;

namespace {

std::pair<std::string, std::string> ordered(const std::string& a, const std::string& b) {
  return a < b ? std::pair(a, b) : std::pair(b, a);
}

}  // namespace

tl::expected<void, std::string> Faults::apply(const std::string& order_json) {
  const json order = json::parse(order_json, nullptr, false);
  if (!order.is_object()) return tl::make_unexpected(std::string("not a JSON object"));
  const std::string target = order.value("target", "");
  const std::string mode = order.value("mode", "");
  const std::lock_guard lock(mutex_);
  if (target == "store") {
    const std::set<std::string> modes = {"up", "down", "hang", "lose-answers"};
    if (!modes.contains(mode)) return tl::make_unexpected("unknown mode " + mode);
    store_mode_ = mode;
    store_probability_ = order.value("probability", 1.0);
    return {};
  }
  if (target == "cut") {
    const auto pair = ordered(order.value("zone", ""), order.value("other", ""));
    if (mode == "on") {
      cuts_.insert(pair);
    } else {
      cuts_.erase(pair);
    }
    return {};
  }
  if (target == "engine") {
    const std::string id = order.value("id", "");
    if (mode == "ok") {
      engine_modes_.erase(id);
      leaving_.erase(id);
    } else if (mode == "freeze") {
      engine_modes_[id] = EngineMode::kFrozen;
    } else if (mode == "crash") {
      engine_modes_[id] = EngineMode::kCrashed;
    } else if (mode == "slow") {
      engine_modes_[id] = EngineMode::kSlow;
    } else if (mode == "leave") {
      leaving_.insert(id);
    } else if (mode == "fail-swap") {
      swap_failures_[id] += order.value("times", 1);
    } else {
      return tl::make_unexpected("unknown mode " + mode);
    }
    ++struck_["engine-" + mode];
    return {};
  }
  return tl::make_unexpected("unknown target " + target);
}

StoreTreatment Faults::treatStore(const std::string& service, const std::string& caller_zone) {
  const std::lock_guard lock(mutex_);
  if (cuts_.contains(ordered(caller_zone, "store"))) {
    ++struck_["store-cut"];
    return StoreTreatment::kHang;
  }
  if (store_mode_ == "up" || service == "weights" || service == "machines") {
    return StoreTreatment::kServe;
  }
  if (random_.unit() >= store_probability_) return StoreTreatment::kServe;
  ++struck_["store-" + store_mode_];
  if (store_mode_ == "down") return StoreTreatment::kRefuse;
  if (store_mode_ == "hang") return StoreTreatment::kHang;
  return StoreTreatment::kLoseAnswer;
}

bool Faults::cut(const std::string& zone, const std::string& other) const {
  const std::lock_guard lock(mutex_);
  return zone != other && cuts_.contains(ordered(zone, other));
}

EngineMode Faults::engineMode(const std::string& engine) const {
  const std::lock_guard lock(mutex_);
  const auto found = engine_modes_.find(engine);
  return found == engine_modes_.end() ? EngineMode::kNormal : found->second;
}

bool Faults::engineLeaving(const std::string& engine) const {
  const std::lock_guard lock(mutex_);
  return leaving_.contains(engine);
}

bool Faults::takeSwapFailure(const std::string& engine) {
  const std::lock_guard lock(mutex_);
  const auto found = swap_failures_.find(engine);
  if (found == swap_failures_.end() || found->second == 0) return false;
  --found->second;
  ++struck_["swap-failed"];
  return true;
}

std::map<std::string, std::uint64_t> Faults::struck() const {
  const std::lock_guard lock(mutex_);
  return struck_;
}

void Faults::noteStruck(const std::string& fault) {
  const std::lock_guard lock(mutex_);
  ++struck_[fault];
}

}  // namespace linenpier::standin
