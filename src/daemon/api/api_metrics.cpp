#include "daemon/api/api_metrics.h"

#include <prometheus/text_serializer.h>

namespace linenpier::api {

ApiMetrics::ApiMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("linenpier_requests_total")
                    .Help("Requests of callers by tenant and outcome.")
                    .Register(registry_)),
      refused_frames_(prometheus::BuildCounter()
                          .Name("linenpier_refused_frames_total")
                          .Help("Datagrams refused, by reason.")
                          .Register(registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("linenpier_retries_total")
                   .Help("Tries beyond the first.")
                   .Register(registry_)
                   .Add({})),
      latency_(prometheus::BuildHistogram()
                   .Name("linenpier_request_seconds")
                   .Help("Time from arrival to the last byte.")
                   .Register(registry_)
                   .Add({}, prometheus::Histogram::BucketBoundaries{0.01, 0.025, 0.05, 0.1, 0.25,
                                                                    0.5, 1, 2.5, 5, 10, 30})),
      gauges_(prometheus::BuildGauge()
                  .Name("linenpier_state")
                  .Help("The daemon's present state, by name.")
                  .Register(registry_)) {}

void ApiMetrics::countRequest(const std::string& tenant, const std::string& outcome) {
  requests_.Add({{"tenant", tenant}, {"outcome", outcome}}).Increment();
}

void ApiMetrics::countRefusedFrame(const std::string& reason) {
  refused_frames_.Add({{"reason", reason}}).Increment();
}

void ApiMetrics::countTries(int tries) {
  if (tries > 1) retries_.Increment(tries - 1);
}

void ApiMetrics::setGauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string ApiMetrics::render(const node::NodeStatus& status,
                               const daemon::UdpTransport& transport) {
  const auto number = [](auto value) { return static_cast<double>(value); };
  setGauge("ready", status.ready ? 1 : 0);
  setGauge("config_revision", number(status.config_revision));
  setGauge("members", number(status.members.size()));
  setGauge("engines", number(status.engines.size()));
  setGauge("engines_assigned", number(status.engines_assigned));
  setGauge("ownership_claims", number(status.claims_made));
  setGauge("queued", number(status.queued));
  setGauge("in_flight", number(status.in_flight));
  setGauge("samples_running", number(status.samples_running));
  setGauge("samples_replaced_stale", number(status.coordinator.replaced_stale));
  setGauge("samples_replaced_lost", number(status.coordinator.replaced_lost));
  setGauge("control_bytes_sent", number(transport.bytesSent()));
  setGauge("control_bytes_received", number(transport.bytesReceived()));
  setGauge("control_datagrams_sent", number(transport.datagramsSent()));
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace linenpier::api
