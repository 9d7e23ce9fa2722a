#include "gateway/metrics/gateway_metrics.h"

#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace linenpier::metrics {

namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10};
const prometheus::Histogram::BucketBoundaries kStoreBuckets = {0.005, 0.01, 0.025, 0.05, 0.1,
                                                               0.25,  0.5,  1,     2.5};

double residentBytes() {
  std::ifstream statistics("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statistics >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double cpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("linenpier_requests_total")
                    .Help("Client requests by route kind, service and outcome.")
                    .Register(registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("linenpier_attempts_total")
                    .Help("Attempts at engines by service and verdict.")
                    .Register(registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("linenpier_request_duration_seconds")
                   .Help("From a request read to its answer, by outcome and attempts.")
                   .Register(registry_)),
      store_calls_(prometheus::BuildCounter()
                       .Name("linenpier_store_calls_total")
                       .Help("Calls to the store by kind and result.")
                       .Register(registry_)),
      store_latency_(prometheus::BuildHistogram()
                         .Name("linenpier_store_call_duration_seconds")
                         .Help("Duration of calls to the store, waiting feeds left out.")
                         .Register(registry_)),
      keys_refused_(prometheus::BuildCounter()
                        .Name("linenpier_keys_refused_total")
                        .Help("Requests turned away for their key, by reason.")
                        .Register(registry_)) {}

void GatewayMetrics::onKeyRefused(const std::string& reason) {
  keys_refused_.Add({{"reason", reason}}).Increment();
}

void GatewayMetrics::onRequestEnded(const std::string& kind, const std::string& service,
                                    const std::string& outcome, int attempts, Duration took) {
  requests_.Add({{"kind", kind}, {"service", service}, {"outcome", outcome}}).Increment();
  latency_.Add({{"outcome", outcome}, {"attempts", std::to_string(attempts)}}, kLatencyBuckets)
      .Observe(toSeconds(took));
}

void GatewayMetrics::onAttemptEnded(const std::string& service, const std::string& verdict) {
  attempts_.Add({{"service", service}, {"verdict", verdict}}).Increment();
}

void GatewayMetrics::onStoreCall(const std::string& call, const std::string& result,
                                 Duration took) {
  store_calls_.Add({{"call", call}, {"result", result}}).Increment();
  if (call != "watch") {
    store_latency_.Add({{"call", call}}, kStoreBuckets).Observe(toSeconds(took));
  }
}

void GatewayMetrics::setGauge(const std::string& name, const std::string& help, double value,
                              const std::map<std::string, std::string>& labels) {
  auto& family = gauges_[name];
  if (family == nullptr) {
    family = &prometheus::BuildGauge().Name("linenpier_" + name).Help(help).Register(registry_);
  }
  family->Add(labels).Set(value);
}

void GatewayMetrics::setProcessMetrics() {
  setGauge("process_resident_bytes", "Resident memory.", residentBytes());
  setGauge("process_cpu_seconds", "Processor time used.", cpuSeconds());
}

std::string GatewayMetrics::render(const GatewayState& state) {
  const auto number = [](auto value) { return static_cast<double>(value); };
  setGauge("config_version", "Version of the configuration in force; 0: none.",
           number(state.config_version));
  for (const auto& [table, healthy] : state.feeds_healthy) {
    setGauge("feed_healthy", "Whether the feed of a store table works.", healthy ? 1 : 0,
             {{"table", table}});
  }
  for (const auto& [table, age] : state.feed_age_seconds) {
    setGauge("feed_age_seconds", "Since the store last answered for a table.", age,
             {{"table", table}});
  }
  for (const auto& [service, states] : state.engines) {
    for (const auto& [name, count] : states) {
      setGauge("engines", "Engines by service and state.", count,
               {{"service", service}, {"state", name}});
    }
  }
  for (const auto& [service, cold] : state.cold_engines) {
    setGauge("cold_engines", "Engines that started lately and bear little.", number(cold.count),
             {{"service", service}});
    setGauge("cold_requests_sent", "Requests of this daemon to cold engines, lately.",
             number(cold.sent), {{"service", service}});
    setGauge("cold_requests_sent_most", "The most of them to one engine.", number(cold.max_sent),
             {{"service", service}});
  }
  setGauge("cold_refusals", "Times an engine was left out as it was, or might be, cold, ever.",
           number(state.cold_refusals));
  setGauge("suspects_known", "Requests under which engines ended lately.",
           number(state.suspects_known));
  setGauge("suspects_barred", "Those that are not let run.", number(state.suspects_blocked));
  setGauge("suspect_engines_ended", "Engines that ended under requests of this daemon, ever.",
           number(state.suspect_engine_crashes));
  setGauge("suspect_refusals", "Times a request was not let run, ever.",
           number(state.suspect_refusals));
  setGauge("suspects_cleared", "Suspects that an engine answered here, ever.",
           number(state.suspects_cleared));
  setGauge("jobs_known", "Batch jobs known.", number(state.jobs_known));
  setGauge("jobs_owned", "Batch jobs owned and under way.", number(state.jobs_owned));
  setGauge("items_waiting", "Items of owned jobs that wait for an engine.",
           number(state.items_waiting));
  setGauge("items_running", "Items of owned jobs that run.", number(state.items_running));
  setGauge("zones_closed", "Zones whose engines the operator closed.", number(state.zones_closed));
  setGauge("runs_in_closed_zones", "Items of owned jobs that still run there.",
           number(state.items_in_closed_zones));
  setGauge("client_connections", "Open client connections.", number(state.client_connections));
  setGauge("requests_in_progress", "Requests being read or answered.",
           number(state.requests_in_progress));
  setGauge("engine_looks", "Engines that choices of one have looked at, ever.",
           number(state.engines_checked_for_selection));
  setGauge("engine_connections_opened", "Connections opened to engines, ever.",
           number(state.engine_connections_opened));
  setGauge("log_lines_dropped", "Log lines dropped, ever.", number(state.log_lines_dropped));
  setGauge("lease_valid", "Whether this daemon may act under what it owns.",
           state.lease_valid ? 1 : 0);
  setGauge("order_rights_held", "Services whose engines this daemon orders.",
           number(state.order_locks_held));
  setGauge("usage_requests_counted", "Requests of tenants that began to run, ever.",
           number(state.usage_requests_counted));
  setGauge("usage_requests_late", "Counted after their window was added up, ever.",
           number(state.usage_requests_late));
  setGauge("usage_windows_reported",
           "Windows of use that the platform took from this daemon, ever.",
           number(state.usage_windows_reported));
  for (const auto& [group, count] : state.engines_present) {
    setGauge("engines_present", "Engines that serve, of services whose number is ordered.",
             number(count), {{"service", group[0]}, {"zone", group[1]}, {"kind", group[2]}});
  }
  for (const auto& [group, count] : state.engines_ordered) {
    setGauge("engines_ordered", "Engines by the last order.", number(count),
             {{"service", group[0]}, {"zone", group[1]}, {"kind", group[2]}});
  }
  setGauge("scaling_orders_sent", "Orders for a number of engines, ever.",
           number(state.scaling_orders_sent));
  setGauge("scaling_orders_refused", "Those that the platform did not take, ever.",
           number(state.scaling_orders_refused));
  setGauge("scaling_orders_unanswered", "Those without an answer, ever.",
           number(state.scaling_orders_unanswered));
  setGauge("orders_sent", "Orders sent to engines, ever.", number(state.orders_sent));
  setGauge("orders_unanswered", "Orders without an answer, ever.", number(state.orders_unanswered));
  setGauge("items_completed", "Results listed as completed, ever.", number(state.items_completed));
  setGauge("items_unscored", "Whole texts that wait for their score.",
           number(state.items_awaiting_score));
  setGauge("items_scored", "Scores received, ever.", number(state.items_scored));
  setGauge("scorings_failed", "Reward requests without a score, ever.",
           number(state.scorings_failed));
  setGauge("items_terminated", "Results listed as terminated, ever.",
           number(state.items_terminated));
  setGauge("item_attempts", "Attempts for items, ever.", number(state.item_attempts));
  setGauge("jobs_accepted", "Jobs accepted, ever.", number(state.jobs_accepted));
  setGauge("jobs_refused", "Jobs refused, ever.", number(state.jobs_refused));
  setGauge("jobs_unknown", "Submissions that may have been accepted or may still be.",
           number(state.jobs_unknown));
  setGauge("jobs_taken_over", "Jobs taken over from others, ever.", number(state.jobs_taken_over));
  setGauge("jobs_waiting_for_home", "Jobs that no daemon at home takes up.",
           number(state.jobs_without_eligible_owner));
  setGauge("jobs_refused_for_home", "Jobs refused for want of an engine at home, ever.",
           number(state.jobs_refused_for_residency));
  setGauge("jobs_given_to_home", "Jobs given up by this daemon since it is not at home, ever.",
           number(state.jobs_handed_over_for_residency));
  setProcessMetrics();
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace linenpier::metrics
