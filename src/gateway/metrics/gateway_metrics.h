#pragma once

/// @file
/// The gateway's metrics in the Prometheus text format, described in docs/OPERATIONS.md.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <map>
#include <string>

#include "common/time.h"

namespace linenpier::metrics {

/// Metrics of the recently started (cold) engines of one service.
struct ColdEngines {
  std::size_t count = 0;
  /// Requests that this daemon sent to cold engines within the sliding window of the cold-engine
  /// limiter.
  std::size_t sent = 0;
  /// Largest number of requests sent to a single cold engine within the sliding window.
  std::size_t max_sent = 0;
};

/// State of the gateway at the time of a metrics scrape.
struct GatewayState {
  std::uint64_t config_version = 0;
  std::map<std::string, bool> feeds_healthy;  ///< Health of each feed, by table.
  /// Seconds since the store's last answer to each feed.
  std::map<std::string, double> feed_age_seconds;
  /// Number of engines, by service and state.
  std::map<std::string, std::map<std::string, int>> engines;
  /// Cold engines, by service; only for services with a limit for cold engines.
  std::map<std::string, ColdEngines> cold_engines;
  std::uint64_t cold_refusals = 0;
  std::size_t suspects_known = 0;
  std::size_t suspects_blocked = 0;
  std::uint64_t suspect_engine_crashes = 0;
  std::uint64_t suspect_refusals = 0;
  std::uint64_t suspects_cleared = 0;
  std::size_t jobs_known = 0;
  std::size_t jobs_owned = 0;
  std::size_t items_waiting = 0;
  std::size_t items_running = 0;
  std::size_t items_awaiting_score = 0;
  std::size_t zones_closed = 0;
  std::size_t items_in_closed_zones = 0;
  std::size_t client_connections = 0;
  std::size_t requests_in_progress = 0;
  std::uint64_t engine_connections_opened = 0;
  /// Total number of engines checked while selecting engines for requests.
  std::uint64_t engines_checked_for_selection = 0;
  std::uint64_t log_lines_dropped = 0;
  bool lease_valid = false;
  std::size_t order_locks_held = 0;
  std::uint64_t usage_requests_counted = 0;
  /// Requests that were counted too late, after their usage window had been summed.
  std::uint64_t usage_requests_late = 0;
  std::uint64_t usage_windows_reported = 0;
  /// Active engines of scaled services, by service, zone and purchase option (metric label `kind`).
  std::map<std::array<std::string, 3>, std::size_t> engines_present;
  /// Number of engines last ordered, by service, zone and purchase option; empty unless this daemon
  /// holds the scaling lock.
  std::map<std::array<std::string, 3>, std::size_t> engines_ordered;
  std::uint64_t scaling_orders_sent = 0;
  std::uint64_t scaling_orders_refused = 0;
  std::uint64_t scaling_orders_unanswered = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_unanswered = 0;
  std::uint64_t items_completed = 0;
  std::uint64_t items_terminated = 0;
  std::uint64_t jobs_accepted = 0;
  std::uint64_t jobs_refused = 0;
  std::uint64_t jobs_unknown = 0;  ///< Submissions whose outcome could not be determined.
  std::uint64_t jobs_taken_over = 0;
  /// Jobs that no daemon within the zones of their data residency has taken over yet.
  std::size_t jobs_without_eligible_owner = 0;
  /// Jobs refused because no engine is within the zones of their data residency.
  std::uint64_t jobs_refused_for_residency = 0;
  /// Jobs that this daemon handed over to another because it is outside the zones of their data
  /// residency.
  std::uint64_t jobs_handed_over_for_residency = 0;
  std::uint64_t item_attempts = 0;
  std::uint64_t items_scored = 0;
  std::uint64_t scorings_failed = 0;
};

/// Used only on the event loop thread.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// @param kind kind of the request's route, such as "idempotent".
  void onRequestEnded(const std::string& kind, const std::string& service,
                      const std::string& outcome, int attempts, Duration took);
  void onAttemptEnded(const std::string& service, const std::string& verdict);
  /// @param reason why the API key was refused, such as "unknown".
  void onKeyRefused(const std::string& reason);
  /// @param call kind of store call, such as "write", "read" or "watch".
  void onStoreCall(const std::string& call, const std::string& result, Duration took);
  /// @return all metrics in the Prometheus text format.
  std::string render(const GatewayState& state);

 private:
  void setGauge(const std::string& name, const std::string& help, double value,
                const std::map<std::string, std::string>& labels = {});
  void setProcessMetrics();

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Family<prometheus::Counter>& store_calls_;
  prometheus::Family<prometheus::Histogram>& store_latency_;
  prometheus::Family<prometheus::Counter>& keys_refused_;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges_;
};

}  // namespace linenpier::metrics
