#include "gateway/usage/usage_service.h"

namespace linenpier::usage {

usage_service::usage_service(const dependencies& deps, const usage_options& options)
    : window_(options.window),
      clock_(deps.lock.table, deps.lock.keeper, options),
      writer_({deps.lock.loop, deps.lock.table, deps.lock.leases, deps.lock.keeper, clock_,
               deps.holder, deps.time_of_day_ms, deps.by_peer},
              options),
      reporter_({deps.lock, deps.port, deps.holder, clock_}, options) {}

void usage_service::start() {
  if (!this->enabled()) return;
  this->writer_.start();
  this->reporter_.start();
}

void usage_service::onRequestStarted(const TenantId& tenant, Instant at) {
  if (this->enabled()) this->writer_.onRequestStarted(tenant, at);
}

usage_totals usage_service::totals() const {
  return {this->writer_.counted(), this->writer_.dropped(), this->writer_.late(),
          this->reporter_.reported()};
}

}  // namespace linenpier::usage
