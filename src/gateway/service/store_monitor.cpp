#include "gateway/service/store_monitor.h"

#include <algorithm>

#include "common/event_log.h"
#include "gateway/table/store_keys.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

/** Minimum age of the store calls that are aborted when the store recovers. Calls of this age were
 * sent during the outage, since even a store sixty times slower than normal answers within 0.25 s.
 */
constexpr Duration kMinStaleAge = std::chrono::milliseconds(300);
/** Ratio of the age at which store calls count as stale to the duration of a probe. The ratio is
 * above 1 since a probe only reads a single row, and a write takes longer.
 */
constexpr int kProbeTimeFactor = 3;
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/** Interval of checks whether probes are needed, while none are. */
constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

}  // namespace

void store_monitor::start() {
  spawn(this->deps_.loop, [this] { return this->probeLoop(); });
}

void store_monitor::onStoreReachable() {
  this->onStoreReachable(kMinStaleAge);
}

void store_monitor::onStoreReachable(Duration stale_after) {
  this->deps_.table.cancelOlderThan(stale_after);
  if (!this->leases_readable_) this->deps_.lease_poller.retryNow();
  for (table::TableWatcher* feed : this->deps_.feeds) {
    if (!feed->healthy()) feed->retryNow();
  }
}

void store_monitor::onLeasesRead(bool answered) {
  if (answered && !this->leases_readable_) this->onStoreReachable();
  this->leases_readable_ = answered;
  this->updateLeaseHealth();
}

void store_monitor::onCoordinationHealth(bool healthy) {
  if (healthy) this->onStoreReachable();
  this->updateLeaseHealth();
}

void store_monitor::updateLeaseHealth() {
  const bool healthy = this->leases_readable_ && this->deps_.coordination.healthy();
  if (healthy == this->deps_.leases.storeHealthy()) return;
  if (healthy) {
    this->deps_.leases.onStoreRegained(steadyNow());
  } else {
    this->deps_.leases.onStoreLost();
  }
  LogEvent("lease", healthy ? "store_regained" : "store_lost")
      .text("leases", this->leases_readable_ ? "read" : "not_read")
      .text("feed", this->deps_.coordination.healthy() ? "healthy" : "lost");
}

Task<void> store_monitor::probeLoop() {
  for (;;) {
    const bool wanted = !this->deps_.leases.storeHealthy() && this->deps_.needs_probes();
    co_await sleepFor(this->deps_.loop, wanted ? kProbeInterval : kIdleCheckInterval);
    if (!wanted) continue;
    // Probes overlap, since a probe sent while the store is unavailable may never be answered.
    spawn(this->deps_.loop, [this] { return this->probe(); });
  }
}

Task<void> store_monitor::probe() {
  table::RowRange range = table::singleRow(table::kLeaseTable, this->deps_.leases.own().str());
  range.timeout = kProbeTimeout;
  const Instant begun = steadyNow();
  const auto page = co_await this->deps_.table.read(range);
  if (!page || this->deps_.leases.storeHealthy()) co_return;
  // The age at which calls count as stale grows with the duration of the probe, since a slow store
  // takes longer to answer every call.
  const Duration stale_after = kProbeTimeFactor * (steadyNow() - begun);
  this->onStoreReachable(std::max(kMinStaleAge, stale_after));
}

}  // namespace linenpier::gateway
