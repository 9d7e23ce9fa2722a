#pragma once

/** @file
 * Log lines and metrics of requests and of their attempts. Loop thread only.
 */

#include "common/event_log.h"
#include "common/success_sampler.h"
#include "gateway/engines/engine_registry.h"
#include "gateway/forward/attempt_policy.h"
#include "gateway/forward/forwarded_request.h"
#include "gateway/metrics/gateway_metrics.h"

namespace linenpier::forward {

/** Lines about successes that are all written each second; of more, one in `kSampleInterval` is. */
inline constexpr std::uint32_t kUnsampledLinesPerSecond = 50;
inline constexpr std::uint32_t kSampleInterval = 20;

class request_log {
 public:
  request_log(const engines::engine_registry& registry, metrics::GatewayMetrics& metrics)
      : registry_(registry), metrics_(metrics) {}

  /** Writes a line unless the attempt went well: the request's own line tells that.
   * @param engine_crashed whether the engine's process crashed under the attempt.
   */
  void onAttemptEnded(forwarded_request& forwarded, const engine_call& call, AttemptOutcome outcome,
                      bool engine_crashed);

  /** Writes a line; of many successes, a sample.
   * @param outcome such as "answered", "client_gone".
   * @param status that the caller gets; 0: none.
   */
  void onRequestEnded(const forwarded_request& forwarded, const char* outcome, unsigned status,
                      const attempt_policy& policy);

 private:
  /** Adds how many engines the route has, and how many of them are sent nothing or little. */
  void addEngineCounts(const routing::Route& route, Instant now, logging::LogEvent& event) const;

  const engines::engine_registry& registry_;
  metrics::GatewayMetrics& metrics_;
  logging::SuccessSampler successes_{kUnsampledLinesPerSecond, kSampleInterval};
};

}  // namespace linenpier::forward
