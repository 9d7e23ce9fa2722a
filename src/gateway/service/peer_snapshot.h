#pragma once

/// @file
/// What one daemon tells another that cannot reach the store: the configuration, the closed zones,
/// the engines and the requests that end them, as the platform's rows have them.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/table_row.h"

namespace linenpier::gateway {

/// Invariant: taken only by a daemon whose own feeds are lost, and only if it is newer than what
/// that daemon acts on.
struct PeerSnapshot {
  std::uint64_t config_version = 0;
  /// As the operator's row has it, with digests in place of keys.
  std::string configuration;
  Revision zones_revision = 0;  ///< How much of the operator's table the closed zones are as of.
  std::map<ZoneName, Revision> closed_zones;
  Revision engines_revision = 0;  ///< How much of the engine table it knows.
  /// All engines; or, where `engines_since` is set, those whose entries were written after it.
  std::vector<table::Row> engines;
  /// Not told: `engines` is the whole list.
  std::optional<Revision> engines_since;
  std::vector<std::string> removed_engines;  ///< Ids of engines whose entries went after that.
  std::vector<table::Row> suspects;          ///< Requests under which engines ended.
};

/// What an asker knows; 0: nothing.
struct KnownRevisions {
  std::uint64_t config_version = 0;
  Revision engines_revision = 0;
};

/// @return the target of a call that asks for what is newer. Daemons that do not look for it answer
///     with all they know.
std::string snapshotTarget(const KnownRevisions& known);
/// @return nothing known, if the target does not tell.
KnownRevisions parseSnapshotTarget(const std::string& target);

std::string encodeSnapshot(const PeerSnapshot& snapshot);
/// @return nothing if the text is no snapshot.
std::optional<PeerSnapshot> decodeSnapshot(const std::string& text);

}  // namespace linenpier::gateway
