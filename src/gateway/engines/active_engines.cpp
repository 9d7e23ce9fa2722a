#include "gateway/engines/active_engines.h"

#include <algorithm>
#include <vector>

namespace linenpier::engines {

void active_engines::sweep(Instant now, const latency_options& options) {
  std::erase_if(this->engines_, [&](const engine_state* engine) {
    const engine_load& load = engine->load;
    return load.inFlight() == 0 && load.expectedTokens() <= 0 &&
           !engine->latency.isRecent(now, options);
  });
}

double active_engines::medianEventTime(Instant now, const ServiceName& service,
                                       const latency_options& options) const {
  std::vector<double> event_times;
  for (const engine_state* engine : this->engines_) {
    if (engine->record.service != service) continue;
    const double event_time = engine->latency.eventTime(now, options);
    if (event_time > 0) event_times.push_back(event_time);
  }
  if (event_times.empty()) return 0;
  const auto middle =
      event_times.begin() + static_cast<std::ptrdiff_t>((event_times.size() - 1) / 2);
  std::nth_element(event_times.begin(), middle, event_times.end());
  return *middle;
}

double active_engines::meanTokens() const {
  double tokens = 0;
  double requests = 0;
  for (const engine_state* engine : this->engines_) {
    if (engine->load.expectedTokens() <= 0) continue;
    tokens += engine->load.expectedTokens();
    requests += engine->load.inFlight();
  }
  return requests > 0 ? tokens / requests : 0;
}

}  // namespace linenpier::engines
