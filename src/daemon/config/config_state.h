#pragma once

/// @file
/// The configuration in force at one daemon. It only ever moves forward.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/config/documents.h"
#include "daemon/wire/messages.h"

namespace linenpier::config {

/// Key prefixes of the two kinds of document.
inline constexpr char kTemplatePrefix[] = "template/";
inline constexpr char kTenantPrefix[] = "tenant/";

/// The documents in force, parsed. Immutable: a change makes a new snapshot.
struct Snapshot {
  Revision revision = 0;
  std::map<std::string, Template> templates;  ///< By name.
  std::map<TenantId, Tenant> tenants;
  std::map<std::string, TenantId> tenant_by_key_hash;  ///< Bearer key's SHA-256 to its tenant.
  std::set<ModelName> serving_models;                  ///< Models that some serving template uses.

  const Tenant* findTenant(const TenantId& id) const;
  /// @return the tenant that the bearer key belongs to, or nullptr.
  const Tenant* findTenantByKey(const std::string& key) const;
  /// @return the template that the tenant uses for `model`, or nullptr if it may not use it.
  const Template* templateFor(const Tenant& tenant, const ModelName& model) const;
};

using SnapshotSharedPtr = std::shared_ptr<const Snapshot>;

/// All items with their revisions; pure, one owner.
/// Invariant: `revision_` and the revision of every item never decrease.
class ConfigState {
 public:
  ConfigState();

  /// Applies items from the table or from a peer. Items that are not newer are ignored.
  /// @param complete_to everything up to this revision is now known.
  /// @return whether anything changed.
  bool apply(const std::vector<wire::ConfigItem>& items, Revision complete_to);
  /// @param have what the asker has completely.
  /// @param max_bytes bound of the documents' sizes in the answer; at least one item is sent.
  wire::ConfigItems itemsSince(Revision have, std::size_t max_bytes) const;

  Revision revision() const { return revision_; }
  SnapshotSharedPtr snapshot() const { return snapshot_; }
  /// @return all items that are not deleted and whose key begins with `prefix`.
  std::vector<wire::ConfigItem> list(const std::string& prefix) const;

 private:
  void rebuild();

  std::map<std::string, wire::ConfigItem> items_;  ///< By key, deleted ones included.
  Revision revision_ = 0;                          ///< Everything up to here is known.
  SnapshotSharedPtr snapshot_;                     ///< Parsed form of `items_`.
};

}  // namespace linenpier::config
