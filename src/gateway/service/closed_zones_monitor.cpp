#include "gateway/service/closed_zones_monitor.h"

#include <algorithm>

#include "common/event_log.h"

namespace linenpier::gateway {

using logging::LogEvent;

namespace {

const char* const kStoreSource = "store";

}  // namespace

void closed_zones_monitor::onSnapshot(Revision revision, const std::map<ZoneName, Revision>& closed,
                                      const char* source) {
  this->apply(this->closings_.onSnapshot(revision, closed), revision, source);
}

void closed_zones_monitor::onZoneClosed(const ZoneName& zone, Revision revision) {
  this->apply(this->closings_.onClosed(zone, revision), revision, kStoreSource);
}

void closed_zones_monitor::onZoneOpened(const ZoneName& zone, Revision revision) {
  this->apply(this->closings_.onOpened(zone, revision), revision, kStoreSource);
}

void closed_zones_monitor::apply(const fleet::zone_changes& changes, Revision revision,
                                 const char* source) {
  const fleet::closed_zones closed = this->closings_.zones();
  for (const ZoneName& zone : changes.opened) {
    LogEvent("fleet", "zone_opened")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(revision))
        .text("source", source)
        .number("engines", static_cast<std::int64_t>(this->engineCount(zone)));
  }
  this->registry_.setClosedZones(closed);
  for (const ZoneName& zone : changes.closed) {
    LogEvent("fleet", "zone_closed")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(closed.all().at(zone)))
        .text("source", source)
        .number("engines", static_cast<std::int64_t>(this->engineCount(zone)))
        .number("runs", static_cast<std::int64_t>(this->count_runs_(zone)));
  }
}

std::size_t closed_zones_monitor::engineCount(const ZoneName& zone) const {
  const auto& engines = this->registry_.all();
  return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(),
                    [&zone](const auto& each) { return each.second.record.zone == zone; }));
}

}  // namespace linenpier::gateway
