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

/// Applied only by a gateway whose own feeds are down, and only where it is newer than the local
/// state.
struct PeerSnapshot {
  std::uint64_t config_version = 0;
  /// The operator's row, with API keys replaced by their digests.
  std::string configuration;
  Revision zones_revision = 0;  ///< Operator table revision of `closed_zones`.
  std::map<ZoneName, Revision> closed_zones;
  Revision engines_revision = 0;  ///< Engine table revision of `engines`.
  /// All engines or, if `engines_since` is set, those written after that revision.
  std::vector<table::Row> engines;
  /// Empty if `engines` is the full list.
  std::optional<Revision> engines_since;
  std::vector<std::string> removed_engines;  ///< Ids of engines removed after `engines_since`.
  std::vector<table::Row> suspects;          ///< Requests suspected of crashing engines.
};

/// Revisions that the requesting peer already has; 0 if none.
struct KnownRevisions {
  std::uint64_t config_version = 0;
  Revision engines_revision = 0;
};

/// @return the request target that asks for newer state. Gateways of earlier versions ignore the
///     parameters and send everything.
std::string snapshotTarget(const KnownRevisions& known);
/// @return zero revisions if the target does not give them.
KnownRevisions parseSnapshotTarget(const std::string& target);

std::string encodeSnapshot(const PeerSnapshot& snapshot);
/// @return nothing if the text is not a valid snapshot.
std::optional<PeerSnapshot> decodeSnapshot(const std::string& text);

}  // namespace linenpier::gateway
