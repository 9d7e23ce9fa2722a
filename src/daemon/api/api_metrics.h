#pragma once

/// @file
/// Metrics in Prometheus text form.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "daemon/process/node_handle.h"
#include "daemon/process/udp_transport.h"

namespace linenpier::api {

/// All metrics of one daemon; thread-safe.
class ApiMetrics {
 public:
  ApiMetrics();

  /// Counts an answered request by its outcome code ("complete" or a refusal code).
  void countRequest(const std::string& tenant, const std::string& outcome);
  void observeLatency(double seconds) { latency_.Observe(seconds); }
  void countRefusedFrame(const std::string& reason);
  void countTries(int tries);
  /// @return the text of all metrics, with the node's present state.
  std::string render(const node::NodeStatus& status, const daemon::UdpTransport& transport);

 private:
  void setGauge(const std::string& name, double value);

  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refused_frames_;
  prometheus::Counter& retries_;
  prometheus::Histogram& latency_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace linenpier::api
