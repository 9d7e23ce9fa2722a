#pragma once

/** @file
 * Log events and metrics of requests and their attempts. Event loop thread only.
 */

#include "common/event_log.h"
#include "common/success_sampler.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/metrics/gateway_metrics.h"

namespace linenpier::forward {

/** Number of successful requests per second that are all logged. Of further successful requests,
 * one in `kSampleInterval` is logged.
 */
inline constexpr std::uint32_t kUnsampledLinesPerSecond = 50;
inline constexpr std::uint32_t kSampleInterval = 20;

class request_log {
 public:
  request_log(const engines::engine_registry& registry, metrics::GatewayMetrics& metrics)
      : registry_(registry), metrics_(metrics) {}

  /** Logs an attempt that got no response. A response is logged by `onRequestEnded`.
   * @param engine_crashed whether the engine process crashed during the attempt.
   */
  void onAttemptEnded(forwarded_request& forwarded, const engine_call& call, AttemptOutcome outcome,
                      bool engine_crashed);

  /** Logs a finished request; successes are sampled.
   * @param outcome name of the outcome, such as "answered" or "client_gone".
   * @param status HTTP status sent to the caller; 0 if no status was sent.
   */
  void onRequestEnded(const forwarded_request& forwarded, const char* outcome, unsigned status,
                      const attempt_policy& policy);

 private:
  /** Adds the number of engines of the route, and how many are draining, ejected or cold. */
  void addEngineCounts(const routing::Route& route, Instant now, logging::LogEvent& event) const;

  const engines::engine_registry& registry_;
  metrics::GatewayMetrics& metrics_;
  logging::SuccessSampler successes_{kUnsampledLinesPerSecond, kSampleInterval};
};

}  // namespace linenpier::forward
