#include "gateway/lease/lease_row.h"

#include <algorithm>
#include <sstream>

namespace linenpier::lease {

namespace {

/// Separates the daemon's name from its incarnation.
constexpr char kIncarnationSeparator = '#';
/// A row's value is "capacity@zone;engine,engine|peer". Releases that support neither zone nor
/// engines can still read capacity and peer.
constexpr char kPeerSeparator = '|';
constexpr char kZoneSeparator = '@';
constexpr char kAwaitedSeparator = ';';
constexpr char kEngineSeparator = ',';

double decodeCapacity(const std::string& value) {
  return std::max(0.0, std::strtod(value.c_str(), nullptr));
}

std::optional<Address> decodePeer(const std::string& value) {
  const std::size_t separator = value.find(kPeerSeparator);
  if (separator == std::string::npos) return std::nullopt;
  return parseAddress(value.substr(separator + 1));
}

std::set<EngineId> decodeAwaited(const std::string& value) {
  std::set<EngineId> awaited;
  const std::string before_peer = value.substr(0, value.find(kPeerSeparator));
  const std::size_t begin = before_peer.find(kAwaitedSeparator);
  if (begin == std::string::npos) return awaited;
  std::istringstream engines(before_peer.substr(begin + 1));
  std::string engine;
  while (std::getline(engines, engine, kEngineSeparator)) {
    if (!engine.empty()) awaited.insert(EngineId(engine));
  }
  return awaited;
}

ZoneName decodeZone(const std::string& value) {
  const std::string before_peer = value.substr(0, value.find(kPeerSeparator));
  const std::string head = before_peer.substr(0, before_peer.find(kAwaitedSeparator));
  const std::size_t separator = head.find(kZoneSeparator);
  return separator == std::string::npos ? ZoneName() : ZoneName(head.substr(separator + 1));
}

}  // namespace

std::string encodeLeaseRow(const lease_row& row) {
  std::string value = std::to_string(row.capacity);
  if (!row.zone.empty()) value += kZoneSeparator + row.zone.str();
  char separator = kAwaitedSeparator;
  for (const EngineId& engine : row.awaited) {
    value += separator + engine.str();
    separator = kEngineSeparator;
  }
  if (row.peer) value += kPeerSeparator + toString(*row.peer);
  return value;
}

lease_row decodeLeaseRow(Revision revision, const std::string& value) {
  lease_row row;
  row.revision = revision;
  row.capacity = decodeCapacity(value);
  row.peer = decodePeer(value);
  row.zone = decodeZone(value);
  row.awaited = decodeAwaited(value);
  return row;
}

LeaseId makeLeaseId(const std::string& daemon, const std::string& incarnation) {
  return LeaseId(daemon + kIncarnationSeparator + incarnation);
}

std::string daemonOf(const LeaseId& lease) {
  return lease.str().substr(0, lease.str().find(kIncarnationSeparator));
}

}  // namespace linenpier::lease
