#pragma once

/// @file
/// State that a gateway sends to a peer without store access: the configuration, the closed zones,
/// the engines and the suspect requests, in the platform's row format.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/table_row.h"

namespace linenpier::gateway {

/// State of a gateway that a peer applies only while its own feeds are down, and only the parts
/// that are newer than its local state.
struct PeerSnapshot {
  std::uint64_t config_version = 0;
  /// Configuration as written by the operator, with API keys replaced by their digests.
  std::string configuration;
  Revision zones_revision = 0;  ///< Operator table revision that `closed_zones` reflects.
  std::map<ZoneName, Revision> closed_zones;
  Revision engines_revision = 0;  ///< Engine table revision that `engines` reflects.
  /// All engines or, if `engines_since` is set, the engines written after that revision.
  std::vector<table::Row> engines;
  /// Engine table revision after which `engines` lists all changes; empty if `engines` is the full
  /// list.
  std::optional<Revision> engines_since;
  std::vector<std::string> removed_engines;  ///< Ids of engines removed after `engines_since`.
  std::vector<table::Row> suspects;          ///< Requests suspected of crashing engines.
};

/// Revisions of the state that the requesting peer already has; 0 if it has no state.
struct KnownRevisions {
  std::uint64_t config_version = 0;
  Revision engines_revision = 0;
};

/// @return the request target that asks for state newer than `known`. Gateways of earlier versions
/// ignore the parameters and send all state.
std::string snapshotTarget(const KnownRevisions& known);
/// @return the revisions in the request target; 0 for each revision that the target does not give.
KnownRevisions parseSnapshotTarget(const std::string& target);

std::string encodeSnapshot(const PeerSnapshot& snapshot);
/// @return the snapshot, or nothing if the text is not a valid snapshot.
std::optional<PeerSnapshot> decodeSnapshot(const std::string& text);

}  // namespace linenpier::gateway
