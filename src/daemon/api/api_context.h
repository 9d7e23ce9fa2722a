#pragma once

/// @file
/// What all routes share.

#include <mutex>
#include <optional>
#include <string>

#include "common/random.h"
#include "daemon/api/answers.h"
#include "daemon/api/api_metrics.h"
#include "daemon/process/effect_runner.h"
#include "daemon/process/node_handle.h"
#include "daemon/process/services.h"
#include "daemon/settings/settings.h"

namespace linenpier::api {

/// References to the daemon's parts; they outlive the server. All are thread-safe.
struct ApiContext {
  const settings::DaemonSettings& settings;
  const daemon::Services& services;
  const daemon::NodeHandle& node;
  daemon::EffectRunner& effects;
  const daemon::ConfigHolder& config;
  const daemon::UdpTransport& transport;
  ApiMetrics& metrics;
  std::atomic<bool>& ready;  ///< The core may serve.
  std::atomic<bool>& stopping;
  std::atomic<std::uint32_t>& open_requests;  ///< Requests of callers under way.
};

/// Makes unique ids; thread-safe.
class IdSource {
 public:
  IdSource(std::string prefix, std::uint64_t seed) : prefix_(std::move(prefix)), random_(seed) {}
  std::string next() {
    const std::lock_guard lock(mutex_);
    return prefix_ + "-" + random_.hex16();
  }

 private:
  std::string prefix_;
  std::mutex mutex_;  ///< Guards `random_`.
  Random random_;
};

/// @return the bearer key of the request; empty if there is none.
std::string bearerKey(const httplib::Request& request);
/// @return a header as a whole number; nothing if it is absent or not one in the range.
std::optional<long> integerHeader(const httplib::Request& request, const char* name, long lowest,
                                  long highest);

}  // namespace linenpier::api
