/// @file
/// Zones that the operator closes for their engines: heard of from the store or from another
/// daemon, acted on at once.

#include <algorithm>

#include "common/event_log.h"
#include "gateway/service/gateway.h"

namespace linenpier::gateway {

using logging::LogEvent;

void Gateway::onZoneTable(Revision revision, const std::map<ZoneName, Revision>& closed,
                          const char* source) {
  actOnZones(closings_.onTable(revision, closed), source);
}

void Gateway::onZoneRow(const ZoneName& zone, const table::RowChange& change) {
  // A change is newer than all that the feed has told, also where no revision comes with it.
  const Revision revision = std::max(change.row.revision, operator_watcher_->revision() + 1);
  actOnZones(change.gone ? closings_.onOpened(zone, revision) : closings_.onClosed(zone, revision),
             "store");
}

Revision Gateway::zonesRevision() const {
  return std::max(closings_.revision(), operator_watcher_->revision());
}

void Gateway::actOnZones(const fleet::zone_changes& changes, const char* source) {
  const Instant now = steadyNow();
  const fleet::closed_zones closed = closings_.zones();
  for (const ZoneName& zone : changes.opened) {
    LogEvent("fleet", "zone_opened")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(zonesRevision()))
        .text("source", source)
        .number("engines", static_cast<std::int64_t>(enginesIn(zone)));
  }
  registry_.setClosedZones(closed);
  for (const ZoneName& zone : changes.closed) {
    LogEvent("fleet", "zone_closed")
        .text("zone", zone.str())
        .number("revision", static_cast<std::int64_t>(closed.all().at(zone)))
        .text("source", source)
        .number("engines", static_cast<std::int64_t>(enginesIn(zone)))
        .number("runs", static_cast<std::int64_t>(batches_.runsIn(zone)));
  }
}

std::size_t Gateway::enginesIn(const ZoneName& zone) const {
  return static_cast<std::size_t>(
      std::count_if(registry_.all().begin(), registry_.all().end(),
                    [&zone](const auto& each) { return each.second.record.zone == zone; }));
}

}  // namespace linenpier::gateway
